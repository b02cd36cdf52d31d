"""Callers, the operator and probers of a soak."""

import asyncio
import json

from .contents import configuration
from .http import HEADER_NAMES, Connection, call
from .record import Attempt, Probe

CALL_TIMEOUT_S = 4.0
MEAN_THINK_TIME_S = 0.02
PUT_INTERVAL_S = 0.6
PROBE_INTERVAL_S = 0.25
KEPT_VERSIONS = 40  # each version holds the routes of this many earlier ones
PATHS = (("GET", "/all/x", 5), ("GET", "/read/x", 3), ("POST", "/card/x", 2))


class Caller:
    """Sends one request after another over persistent connections."""

    def __init__(self, *, soak, number):
        self.soak = soak
        self.number = number
        self.sent = 0
        self.connections = {}

    async def run(self):
        """Runs until the soak stops; finishes the current request first."""
        weights = [weight for *_, weight in PATHS]
        while not self.soak.stopping:
            method, path, _ = self.soak.random.choices(PATHS, weights=weights)[0]
            await self.send(method, path, self.soak.random.choice(self.soak.gateways))
            await asyncio.sleep(self.soak.random.expovariate(1 / MEAN_THINK_TIME_S))

    async def send(self, method, path, gateway):
        """Sends one request and records it with its reply."""
        self.sent += 1
        attempt = Attempt(
            request_id=f"c{self.number}-{self.sent}",
            path=path,
            gateway=gateway.name,
            sent_at=self.soak.now(),
        )
        self.soak.record.attempts.append(attempt)
        connection = self.connections.setdefault(
            gateway.name, Connection(gateway.address)
        )
        headers = (
            (HEADER_NAMES.request_id, attempt.request_id),
            (HEADER_NAMES.deadline, "1500"),
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await connection.open()
                attempt.sent_at = self.soak.now()
                body = b"b" * 50 if method == "POST" else b""
                await connection.send(method, path, body=body, headers=headers)
                attempt.fully_sent = True
                answer = await connection.receive()
        except (OSError, TimeoutError, EOFError):
            connection.close()
        else:
            attempt.status, attempt.headers, attempt.body = answer
        attempt.ended_at = self.soak.now()
        return attempt


class Operator:
    """Publishes one version after another; retries each until it is acknowledged."""

    def __init__(self, *, soak):
        self.soak = soak
        self.version = 0

    async def run(self):
        """Runs until the soak stops; finishes the current version first."""
        while not self.soak.stopping:
            self.version += 1
            await self.publish(self.version)
            await asyncio.sleep(PUT_INTERVAL_S)

    async def publish(self, version):
        """Sends a version to random replicas until one acknowledges it."""
        record = self.soak.record
        document = configuration(version, max(1, version - KEPT_VERSIONS))
        record.documents[version] = document
        body = json.dumps(document).encode()
        while version not in record.acknowledged:
            registry = self.soak.random.choice(self.soak.registries)
            status, _ = await call(registry.address, "POST", "/v1/configuration", body)
            if status == 200:
                record.acknowledged[version] = self.soak.now()
            elif 400 <= status < 500 and status != 408:
                self.soak.record_violation(
                    f"valid version {version} was refused with status {status}"
                )
                return
            else:
                await asyncio.sleep(0.1)


class Prober:
    """Probes an entry host for the route of the newest acknowledged version."""

    def __init__(self, *, soak, gateway):
        self.soak = soak
        self.gateway = gateway

    async def run(self):
        """Runs until the soak stops; finishes the current probe first."""
        while not self.soak.stopping:
            await asyncio.sleep(PROBE_INTERVAL_S)
            acknowledged = self.soak.record.acknowledged
            if acknowledged:
                await self.probe(max(acknowledged))

    async def probe(self, version):
        """Sends one probe; only an answer is recorded."""
        process_id = self.gateway.pid
        at = self.soak.now()
        path = f"/v{version}/probe"
        status, _ = await call(self.gateway.address, "GET", path, timeout_s=2.0)
        if status and process_id == self.gateway.pid:
            self.soak.record.probes.append(
                Probe(
                    gateway=self.gateway.name,
                    process_id=process_id,
                    version=version,
                    status=status,
                    at=at,
                )
            )
        return status
