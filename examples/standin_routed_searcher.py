"""A stand-in searcher for routed requests, for demos; not part of the product.

It answers every request with its name and announces itself to a control replica once a
second::

    python examples/standin_routed_searcher.py --listen 127.0.0.1:9100 \
        --service cards --registry 127.0.0.1:8100
"""

import asyncio
import json
import signal
import time

import click
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.web import Application, RequestHandler

ANNOUNCE_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.1  # while the replica does not listen yet
SLOTS = 8


class AnswerHandler(RequestHandler):
    """Answers each request as a searcher does (docs/routing.md)."""

    def initialize(self, name):
        self.name = name

    def _answer(self):
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))
        self.set_header("X-Signature", f"signed-by-{self.name}")
        self.finish({"searcher": self.name})

    get = post = _answer


def announcement(name, service, address, started_at_ms, sequence):
    """Returns the body of an announcement."""
    fields = {
        "searcher_id": name,
        "service": service,
        "address": address,
        "data_centre": "dc-1",
        "slots": SLOTS,
        "state": 0,
        "sequence": sequence,
        "started_at_ms": started_at_ms,
    }
    return json.dumps(fields)


async def announce(name, service, address, registry):
    """Announces the searcher until it is cancelled."""
    client = AsyncHTTPClient(force_instance=True)
    url = f"http://{registry}/v1/searchers/{name}/announcement"
    started_at_ms = time.time_ns() // 1_000_000
    sequence = 0
    while True:
        sequence += 1
        body = announcement(name, service, address, started_at_ms, sequence)
        try:
            await client.fetch(url, method="POST", body=body)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        except (HTTPError, OSError):
            await asyncio.sleep(RETRY_INTERVAL_S)


async def serve(name, service, listen, registry):
    """Serves until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    application = Application(
        [(".*", AnswerHandler, {"name": name})], log_function=lambda handler: None
    )
    host, _, port = listen.rpartition(":")
    server = application.listen(int(port), host)
    announcing = asyncio.create_task(announce(name, service, listen, registry))
    await stop.wait()
    announcing.cancel()
    server.stop()


@click.command(context_settings={"auto_envvar_prefix": "STANDIN"})
@click.option("--name", default="searcher-1", show_default=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="IP:port for requests.")
@click.option("--registry", required=True, help="IP:port of a control replica.")
def main(name, service, listen, registry):
    """Answer routed requests and announce the searcher."""
    asyncio.run(serve(name, service, listen, registry))


if __name__ == "__main__":
    main()
