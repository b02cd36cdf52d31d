"""A searcher whose replies are controlled by the scenario, on its own event loop."""

import asyncio
import json
import time

HANG_LIMIT_S = 30


class ScriptedSearcher:
    """Collects sub-requests, which are answered by calls of ``answer`` and ``reply``.

    ``run`` runs the event loop until a coroutine is done.
    """

    def __init__(self, resources):
        self.loop = asyncio.new_event_loop()
        self.received = []
        self.writers = []
        self.tasks = []
        self.server = self.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        resources.callback(self.close)

    def run(self, work):
        return self.loop.run_until_complete(work)

    def call(self, function, *arguments):
        """Calls a function that needs a running loop."""

        async def call():
            return function(*arguments)

        return self.run(call())

    def wait_for(self, condition):
        """Runs the event loop until the condition holds; fails after HANG_LIMIT_S."""
        limit = time.monotonic() + HANG_LIMIT_S
        while not condition():
            assert time.monotonic() < limit, "timed out waiting for the condition"
            self.run(asyncio.sleep(0.001))

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        task = asyncio.current_task()
        self.tasks.append(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
                body = await reader.readexactly(int(length))
                self.received.append((json.loads(body), writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, number):
        """Answers the sub-request with this index in the order of receipt."""
        request, _ = self.received[number]
        body = json.dumps(
            {
                "sub_request_id": request["sub_request_id"],
                "snapshot": request["snapshot"],
                "partition": request["partition"],
                "documents": 10,
                "hits": [],
            }
        )
        self.reply(number, status=200, body=body)

    def reply(self, number, *, status, body):
        """Sends a reply to the sub-request with this index."""
        _, writer = self.received[number]
        head = f"HTTP/1.1 {status} Reply\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())

    def close(self):
        async def close():
            self.server.close()
            for writer in self.writers:
                writer.close()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        self.run(close())
        self.loop.close()
