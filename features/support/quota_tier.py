"""A routed tier whose control replicas are processes that can be killed or frozen."""

import tempfile
from functools import partial
from pathlib import Path
from unittest.mock import patch

from plantainstage._gateway.messages import CallerRequest
from plantainstage._settings.serving import peer_from_address
from support.processes import Program, free_ports
from support.routed_tier import NAMES, RoutedTier

REGISTRY = ("-m", "plantainstage._programs.registry")
PORTS = 3
BEARER = "Bearer key-"


def set_accounts_of_requests(resources):
    """Sets the account of each request from its key ``key-NAME``, as part A will."""
    build = CallerRequest.of

    def of(*, headers, **others):
        request = build(headers=headers, **others)
        key = headers.get("Authorization", "")
        if key.startswith(BEARER):
            object.__setattr__(request, "account", key.removeprefix(BEARER))
        return request

    resources.enter_context(patch.object(CallerRequest, "of", staticmethod(of)))


class QuotaTier(RoutedTier):
    """Control replicas as processes; entry hosts and searchers on the event loop."""

    def __init__(self, resources):
        super().__init__(resources)
        self.resources = resources
        self.programs = {}  # client address -> Program
        self.peers = []

    def start_control(self, count):
        addresses = [f"127.0.0.1:{free_ports(PORTS)}" for _ in range(count)]
        self.peers = [peer_from_address(address) for address in addresses]
        for address in addresses:
            self._start_program(address, addresses)
        for address in addresses:
            self.wait_for(partial(self._has_started, address), "a control process")

    def _has_started(self, address):
        return bool(self.events_of(address, "started"))

    def _start_program(self, address, addresses):
        folder = Path(
            self.resources.enter_context(tempfile.TemporaryDirectory(prefix="quota-"))
        )
        arguments = [
            *("--listen", address, "--host-id", address.replace(":", "-")),
            *("--data-folder", str(folder / "data"), "--found", "--heartbeat", "0.2"),
        ]
        for seed in addresses:
            arguments += ["--seed", seed]
        program = Program(
            module=REGISTRY, arguments=arguments, log_path=folder / "log.jsonl"
        )
        self.resources.callback(program.close)
        self.programs[address] = program

    async def announce(self, searcher, body=None, address=None):
        address = address or next(iter(self.programs))
        return await super().announce(searcher, body, address)

    def put(self, document):
        reply = self.put_with_retries(document, next(iter(self.programs)))
        assert reply.status == 200, reply

    def events_of(self, address, event):
        lines = self.programs[address].log_lines()
        return [line for line in lines if line["event"] == event]

    def ledger_leader(self):
        """Returns the client address of the replica that began the last ledger."""
        begun = [
            (line["time"], address)
            for address in self.programs
            for line in self.events_of(address, "quota_ledger_begun")
        ]
        return max(begun)[1] if begun else None

    async def call_as(self, number, account, target, request_id="r-1"):
        """Sends a request of an account to one entry host."""
        daemon = self.gateways[number][0]
        names = {
            NAMES.request_id: request_id,
            NAMES.deadline: "2000",
            "Authorization": f"{BEARER}{account}",
        }
        return await self.call(daemon.settings.listen, target=target, **names)
