"""A tier of separate processes for scenarios."""

import asyncio
import json
import tempfile
from pathlib import Path

from plantainstage._transport.rpc import ControlClient
from plantainstage.messages import configuration, control
from support.processes import (
    Program,
    free_address,
    free_ports,
    get_json,
    get_status,
    post_json,
    wait_until,
)

CONTROL = ("-m", "plantainstage._programs.control")
ENTRY = ("-m", "plantainstage._programs.entry")
SEARCHER = ("examples/standin_searcher.py",)


class Tier:
    """Control, entry hosts and stand-in searchers on loopback."""

    def __init__(self, resources):
        self.resources = resources
        self.folder = Path(
            resources.enter_context(tempfile.TemporaryDirectory(prefix="tier-"))
        )
        self.control_addresses = []
        self.entry_addresses = []
        self.programs = {}
        self.standins = {}
        self.last_records = {}

    def start(self, name, module, *arguments):
        """Starts a program under ``name``; it is killed when the scenario ends."""
        program = Program(
            module=module,
            arguments=[str(argument) for argument in arguments],
            log_path=self.folder / f"{name}.log",
        )
        self.resources.callback(program.close)
        self.programs[name] = program
        return program

    def start_control(self):
        address = free_address()
        self.control_addresses.append(address)
        return self.start("control-1", CONTROL, "--listen", address)

    def start_controls(self, count):
        """Starts a group of control replicas, each with its own data folder."""
        names = [f"control-{number + 1}" for number in range(count)]
        address_pairs = {name: (free_address(), free_address()) for name in names}
        for name, (listen, peer_listen) in address_pairs.items():
            peers = [
                part
                for other in names
                if other != name
                for part in ("--peers", f"{other}={','.join(address_pairs[other])}")
            ]
            self.control_addresses.append(listen)
            self.start(
                name,
                CONTROL,
                *("--replica-id", name, "--listen", listen, "--bootstrap"),
                *("--peer-listen", peer_listen, "--data-folder", self.folder / name),
                *peers,
            )

    def start_entry(self, name, *flags, module=ENTRY, data_centre="upper-canal"):
        address = free_address()
        self.entry_addresses.append(address)
        control = [part for a in self.control_addresses for part in ("--control", a)]
        return self.start(
            name,
            module,
            *("--entry-id", name, "--data-centre", data_centre),
            *("--listen", address, "--forward-listen", free_address()),
            *control,
            *flags,
        )

    def start_searchers(self, *flags, partitions, replicas, name="searchers"):
        shape = ("--partitions", partitions, "--replicas", replicas)
        return self.start_standins(
            *shape, *flags, count=partitions * replicas, name=name
        )

    def start_standins(self, *flags, count, name):
        """Starts a process of ``count`` searchers, configured by the flags."""
        self.standins[name] = free_address()
        entries = [part for a in self.entry_addresses for part in ("--entry", a)]
        return self.start(
            name,
            SEARCHER,
            *("--first-port", free_ports(count)),
            *("--control-listen", self.standins[name], *entries, *flags),
            *("--runs-file", self._runs_path(name)),
        )

    def _runs_path(self, name):
        return self.folder / f"{name}.runs"

    def kill(self, *names):
        """Kills processes with SIGKILL; all signals are sent before the first wait."""
        for name in names:
            if name in self.standins:
                self.last_records[name] = self.records_of(name)
        for name in names:
            self.programs[name].process.kill()
        for name in names:
            self.programs[name].kill()

    def wait_until_ready(self):
        for address in self.entry_addresses:
            wait_until(
                lambda address=address: get_status(address, "/readyz") == 200,
                what=f"entry host {address} is ready",
            )

    def query(self, body, entry=0):
        return post_json(self.entry_addresses[entry], "/v1/query", body)

    def control_call(self, request):
        """Returns the control leader's reply to a request."""

        async def run():
            client = ControlClient(addresses=tuple(self.control_addresses))
            try:
                return await client.call(request, timeout_s=30)
            finally:
                client.close()

        return asyncio.run(run())

    def publish(self, **fields):
        """Publishes a profile and waits until it is in force on every host."""
        profile = configuration.Profile(**{"index": "ditch-turns", **fields})
        number = self.control_call(control.QueryNextNumber()).number
        change = control.Change(
            number=number,
            operator="test",
            body=control.PublishProfile(profile=profile),
        )
        verdict = self.control_call(control.SubmitChange(change=change)).verdict
        self.wait_until_in_force(verdict.version)

    def wait_until_in_force(self, version):
        """Waits until every entry host has applied a configuration version."""

        def in_force():
            status = self.control_call(control.QueryStatus(version=version))
            return status.settled and not status.lacking

        wait_until(in_force, what=f"version {version} is in force")

    def wait_until_announced(self, upstream_id, condition):
        """Waits until an announcement that meets ``condition`` is in force.

        ``condition`` is called with the searcher's partitions by snapshot.
        """

        def version_of_it():
            value = self.control_call(control.QueryConfiguration()).configuration
            known = {upstream.upstream_id: upstream for upstream in value.upstreams}
            if upstream_id not in known:
                return 0  # its first announcement has not been recorded yet
            holdings = {
                holding.snapshot: holding.partitions
                for holding in known[upstream_id].holdings
            }
            return value.version if condition(holdings) else 0

        version = wait_until(
            version_of_it, what=f"{upstream_id} has announced the expected holdings"
        )
        self.wait_until_in_force(version)

    def wait_until_full(self, profile):
        """Waits until every entry host answers with full coverage."""
        for entry in range(len(self.entry_addresses)):
            wait_until(
                lambda entry=entry: self.answers_in_full(profile, entry),
                what=f"entry host {entry + 1} answers in full",
            )

    def answers_in_full(self, profile, entry):
        """Whether an entry host answers a query with full coverage."""
        status, body = self.query({"profile": profile, "query": "full"}, entry)
        return status == 200 and body["coverage"]["fraction"] == 1.0

    def records(self):
        """Returns the records; for a killed process, those from before the kill."""
        return [
            record
            for name in self.standins
            for record in self.last_records.get(name) or self.records_of(name)
        ]

    def records_of(self, name):
        """Returns the current records of the searchers in one process."""
        return get_json(self.standins[name], "/control/searchers")["searchers"]

    def runs(self, request_id=""):
        """Returns the sub-requests that reached the searchers."""
        path = f"/control/runs?request_id={request_id}"
        return [
            run
            for address in self.standins.values()
            for run in get_json(address, path)["runs"]
        ]

    def runs_from_files(self):
        """Returns all runs from the searchers' files, also those of killed searchers."""
        lines = [
            line
            for name in self.standins
            for line in self._runs_path(name).read_bytes().splitlines(keepends=True)
        ]
        # A kill can truncate the last line; in that case no answer was sent.
        return [json.loads(line) for line in lines if line.endswith(b"\n")]

    def order(self, **order):
        """Sends an order to all searchers; returns how many connections were silenced."""
        return sum(
            post_json(address, "/control/order", order)[1]["silenced"]
            for address in self.standins.values()
        )
