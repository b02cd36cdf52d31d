"""Generated minute records, and hosts and logs that contain them."""

import http.server
import threading

import msgspec
from loguru import logger

from plantainstage._programs.logs import encode_line
from plantainstage.messages import callers
from plantainstage.reports import MinuteRecorder, encode_kept, log_minute

LAST_MINUTE = 1009


class FakeHost:
    """A minute recorder that is fed whole minutes up to LAST_MINUTE."""

    def __init__(self, name, *, minutes):
        self.name = name
        self.first_minute = LAST_MINUTE - minutes + 1
        self.recorder = MinuteRecorder(
            host=name, incarnation="i1", now=self.first_minute * 60
        )
        self.pending = {
            minute: [] for minute in range(self.first_minute, LAST_MINUTE + 1)
        }

    def fill(self, *, profile, requests, late, extra):
        """Queues the same requests for each minute."""
        for minute in self.pending:
            self.add(minute, profile, answered=requests - late)
            self.add(minute, profile, late=late, extra=extra, first=requests)

    def add(self, minute, profile, *, answered=0, late=0, below=0, first=0, extra=0):
        """Queues requests for one minute."""
        self.pending[minute].append((profile, answered, late, below, first, extra))

    def finish(self):
        """Records the queued requests in the order of their minutes."""
        for minute, items in self.pending.items():
            for profile, answered, late, below, first, extra in items:
                now = minute * 60 + 30
                for _ in range(answered):
                    self._answer(profile, now, 41.5, 1000)
                for _ in range(below):
                    self._answer(profile, now, 41.5, 900)
                for number in range(late):
                    if number % 2:
                        self._answer(profile, now, 95.0, 1000)
                    else:
                        self.recorder.request_refused(
                            profile=profile,
                            now=now,
                            code="overloaded",
                            run=callers.RunState.NOT_RUN,
                        )
                self.recorder.sub_requests_sent(
                    profile=profile, now=now, first=first, extra=extra
                )
            self.pending[minute] = []
        return self.recorder

    def _answer(self, profile, now, elapsed_ms, documents):
        self.recorder.request_answered(
            profile=profile,
            now=now,
            elapsed_ms=elapsed_ms,
            deadline_ms=80,
            documents_answered=documents,
            documents_total=1000,
            minimum_coverage=1.0,
        )

    def body(self):
        """Returns the body of /v1/minutes after the last minute."""
        return encode_kept(self.finish(), now=(LAST_MINUTE + 1) * 60)

    def log_bytes(self):
        """Returns the log lines that an entry host writes for its minutes."""
        lines = []
        logger.remove()
        sink = logger.add(lambda message: lines.append(encode_line(message.record)))
        self.finish()
        for minute in self.recorder.kept(now=(LAST_MINUTE + 1) * 60).minutes:
            log_minute(minute)
        logger.remove(sink)
        return "".join(f"{line}\n" for line in lines).encode()


class MinutesServer:
    """Serves one body at /v1/minutes on loopback, in a thread."""

    def __init__(self, body):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever)
        self.thread.start()

    def close(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


def write_profiles(path, profiles):
    """Writes a JSON file for --profiles."""
    path.write_bytes(msgspec.json.encode(profiles))
