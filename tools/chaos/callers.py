"""Callers that send queries and bookings; a booking must run at most once."""

import http.client
import json
import random
import threading
import time

from chaos.history import Attempt

REPLY_TIMEOUT_S = 8.0
RESEND_PAUSE_S = 0.05
BOOKING_ATTEMPTS = 8
CRASH_ATTEMPTS = 4
CRASH_SUFFIX = "-crash"
QUERY_PROFILE = "chaos-query"
BOOKING_PROFILE = "chaos-booking"


class Caller(threading.Thread):
    """Sends one request after another until ``stopping`` is set."""

    def __init__(self, *, name, seed, tier, history, partitions):
        super().__init__(name=name, daemon=True)
        self.random = random.Random(f"{seed}:{name}")
        self.tier = tier
        self.history = history
        self.partitions = partitions
        self.stopping = threading.Event()
        self.number = 0

    def run(self):
        """Sends a random mix of queries and bookings, with short pauses."""
        while not self.stopping.is_set():
            self.number += 1
            draw = self.random.random()
            if draw < 0.003:
                self._send_crashing_query()
            elif draw < 0.3:
                self._send_booking()
            else:
                self._send_query()
            self.stopping.wait(self.random.uniform(0, 0.02))

    def _send_query(self):
        token = f"{self.name}-{self.number}"
        self._send(
            self._random_entry(),
            request_id=token,
            token=token,
            idempotent=True,
            parts=(),
        )

    def _send_booking(self):
        token = f"{self.name}-{self.number}"
        request_id = f"{round(time.time() * 1000)}-{token}-booking"
        parts = (self.random.choice(self.partitions),)
        for _ in range(BOOKING_ATTEMPTS):
            attempt = self._send(
                self._random_entry(),
                request_id=request_id,
                token=token,
                idempotent=False,
                parts=parts,
            )
            # Some answered bookings are sent again; the reply must be the recorded
            # answer.
            if attempt.status == 200 and self.random.random() < 0.8:
                return
            self.stopping.wait(RESEND_PAUSE_S * self.random.uniform(0.2, 4))

    def _send_crashing_query(self):
        """Repeats a query that crashes every searcher that runs it."""
        token = f"{self.name}-{self.number}{CRASH_SUFFIX}"
        query = {
            "token": token,
            "crash": True,
            "only": self.random.choice(self.partitions),
        }
        # Each attempt of an idempotent request has its own id, since "not_run"
        # refers to that attempt only. The fingerprint is the same for all attempts.
        for number in range(CRASH_ATTEMPTS):
            self._send(
                self._random_entry(),
                request_id=f"{token}-{number}",
                token=token,
                idempotent=True,
                parts=(),
                query=query,
            )

    def _random_entry(self):
        return self.random.choice(self.tier.entries)

    def _send(self, entry, *, request_id, token, idempotent, parts, query=None):
        profile = QUERY_PROFILE if idempotent else BOOKING_PROFILE
        request = {
            "profile": profile,
            "query": query or {"token": token},
            "request_id": request_id,
            "idempotent": idempotent,
            "partitions": list(parts),
        }
        sent_at = time.monotonic()
        status, body, error = post(self.tier.entry_addresses[entry], request)
        attempt = Attempt(
            entry=entry,
            request_id=request_id,
            token=token,
            profile=profile,
            idempotent=idempotent,
            partitions=parts,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            body=body,
            error=error,
        )
        self.history.attempts.append(attempt)
        return attempt


def post(address, request):
    """Returns status, decoded body and error; without a reply the status is 0."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=REPLY_TIMEOUT_S)
    try:
        connection.connect()
    except OSError as error:
        return 0, {}, f"connect {type(error).__name__}"
    try:
        connection.request("POST", "/v1/query", json.dumps(request).encode())
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read()), ""
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, {}, f"reply {type(error).__name__}"
    finally:
        connection.close()
