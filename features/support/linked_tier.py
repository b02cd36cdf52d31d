"""A tier of real processes in which every connection can be cut.

Each pair of hosts has its own links, so that a scenario can cut one host off
from some others. Callers, operators and the stand-ins' control interface are part
of the test and connect directly.
"""

import asyncio
import json
import tempfile
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

from plantainstage._transport.rpc import ControlClient
from plantainstage.messages import control
from support.processes import (
    CONDITION_TIMEOUT_S,
    ROOT,
    Program,
    free_address,
    free_ports,
    get_status,
    post_json,
    wait_until,
)
from support.proxy import Network

LAUNCHER = str(ROOT / "features" / "support" / "dial_through.py")
SEARCHER_SERVICE_MS = 3


@dataclass(kw_only=True)
class Host:
    """One process with the addresses it listens on."""

    name: str
    addresses: tuple[str, ...]
    module: str
    arguments: list[str]
    program: Program = None
    starts: int = 0
    routes: dict[str, str] = field(default_factory=dict)


class LinkedTier:
    """Control replicas, entry hosts and searchers on loopback."""

    def __init__(self, resources, *, controls, entries, partitions, replicas):
        self.resources = resources
        self.folder = Path(
            resources.enter_context(tempfile.TemporaryDirectory(prefix="tier-"))
        )
        self.network = Network()
        resources.callback(self.network.close)
        self.hosts = {}
        self.links = {}
        self.controls = [f"control-{number + 1}" for number in range(controls)]
        self.entries = [f"entry-{number + 1}" for number in range(entries)]
        self._add_controls()
        self._add_entries()
        self._add_searchers(partitions, replicas)
        self._add_links()

    # ---- Hosts -------------------------------------------------------------------

    def _add_controls(self):
        addresses = {name: (free_address(), free_address()) for name in self.controls}
        for name in self.controls:
            listen, peer_listen = addresses[name]
            peers = [
                part
                for other in self.controls
                if other != name
                for part in ("--peers", f"{other}={','.join(addresses[other])}")
            ]
            self._add_host(
                name,
                addresses[name],
                "plantainstage._programs.control",
                *("--replica-id", name, "--listen", listen),
                *("--peer-listen", peer_listen, "--bootstrap"),
                *("--data-folder", str(self.folder / name), *peers),
            )
        self.control_addresses = tuple(addresses[name][0] for name in self.controls)

    def _add_entries(self):
        replicas = [part for a in self.control_addresses for part in ("--control", a)]
        self.entry_addresses = {}
        for name in self.entries:
            listen, forward_listen = free_address(), free_address()
            self.entry_addresses[name] = listen
            self._add_host(
                name,
                (listen, forward_listen),
                "plantainstage._programs.entry",
                *("--entry-id", name, "--data-centre", "upper-canal"),
                *("--listen", listen, "--forward-listen", forward_listen),
                *("--drain-delay", "0", *replicas),
            )

    def _add_searchers(self, partitions, replicas):
        count = partitions * replicas
        first = free_ports(count)
        self.standin_address = free_address()
        entries = [
            part for a in self.entry_addresses.values() for part in ("--entry", a)
        ]
        self._add_host(
            "searchers",
            tuple(f"127.0.0.1:{first + number}" for number in range(count)),
            str(ROOT / "examples" / "standin_searcher.py"),
            *("--first-port", str(first), "--partitions", str(partitions)),
            *("--replicas", str(replicas), "--control-listen", self.standin_address),
            *("--service-ms", str(SEARCHER_SERVICE_MS), *entries),
        )

    def _add_host(self, name, addresses, module, *arguments):
        self.hosts[name] = Host(
            name=name,
            addresses=tuple(addresses),
            module=module,
            arguments=list(arguments),
        )

    def _add_links(self):
        for source in self.hosts.values():
            for target in self.hosts.values():
                if source is target or not _connects(source.name, target.name):
                    continue
                for address in target.addresses:
                    link = self.network.link(address)
                    self.links.setdefault((source.name, target.name), []).append(link)
                    source.routes[address] = link.address
            path = self.folder / f"{source.name}.routes"
            path.write_text(json.dumps(source.routes), encoding="utf-8")

    def start(self, *names):
        """Starts or restarts hosts (all by default)."""
        for name in names or self.hosts:
            host = self.hosts[name]
            host.starts += 1
            host.program = Program(
                module=(LAUNCHER, str(self.folder / f"{name}.routes"), host.module),
                arguments=host.arguments,
                log_path=self.folder / f"{name}.log",
            )
            self.resources.callback(host.program.close)

    def program(self, name):
        """Returns the running Program of a host."""
        return self.hosts[name].program

    def log_lines(self, name):
        """Returns the log lines of a host from all of its runs."""
        return self.program(name).log_lines()

    # ---- Faults --------------------------------------------------------------------

    def links_between(self, one, others):
        """Returns the links between a host and others, in both directions."""
        return [
            link
            for other in others
            for pair in ((one, other), (other, one))
            for link in self.links.get(pair, ())
        ]

    def others(self, name):
        """Returns the names of all other hosts."""
        return [other for other in self.hosts if other != name]

    def cut_off(self, name, others=None):
        """Holds all traffic between a host and others (all by default)."""
        for link in self.links_between(name, others or self.others(name)):
            link.hold()

    def heal(self, name, others=None):
        """Ends ``cut_off``; traffic that was held is delivered."""
        for link in self.links_between(name, others or self.others(name)):
            link.release()

    def silence(self, name, others):
        """Makes the existing connections between hosts permanently silent."""
        for link in self.links_between(name, others):
            link.silence_existing()

    # ---- Conditions -----------------------------------------------------------------

    def ready(self, name):
        """Whether an entry host is ready."""
        return get_status(self.entry_addresses[name], "/readyz") == 200

    def wait_until_ready(self, *names):
        """Waits until entry hosts (all by default) are ready."""
        for name in names or self.entries:
            wait_until(lambda name=name: self.ready(name), what=f"{name} is ready")

    def query(self, name, body):
        """Sends a query to an entry host; returns status and body."""
        return post_json(self.entry_addresses[name], "/v1/query", body)

    def wait_until_answered(self, name, profile):
        """Waits until an entry host answers with full coverage."""

        def answered():
            status, body = self.query(name, {"profile": profile, "query": {}})
            full = status == 200 and body["coverage"]["fraction"] == 1.0
            return body if full else None

        return wait_until(answered, what=f"{name} answers in full")

    def leader(self):
        """Returns the name of the control leader that status queries reach."""
        status = self.call(control.QueryStatus())
        leaders = [item.replica_id for item in status.replicas if item.leader]
        return leaders[0] if leaders else None

    def call(self, request, *, addresses=None, timeout_s=CONDITION_TIMEOUT_S):
        """Sends a control request and returns the leader's reply."""

        async def run():
            client = ControlClient(addresses=tuple(addresses or self.control_addresses))
            try:
                return await client.call(request, timeout_s=timeout_s)
            finally:
                client.close()

        return asyncio.run(run())

    def submit(self, body, operator="test"):
        """Submits a change with the next free number; returns its verdict."""
        while True:
            number = self.call(control.QueryNextNumber()).number
            change = control.Change(number=number, operator=operator, body=body)
            reply = self.call(control.SubmitChange(change=change))
            if isinstance(reply, control.ChangeVerdict):
                return reply.verdict

    def wait_until_in_force(self, version):
        """Waits until no host can still act on an earlier version."""

        def in_force():
            status = self.call(control.QueryStatus(version=version))
            return status.settled and not status.lacking

        wait_until(in_force, what=f"version {version} is in force")

    # ---- The stand-ins' own records ------------------------------------------------

    def searchers(self):
        """Returns the searchers' own records."""
        return self._standin("/control/searchers")["searchers"]

    def runs(self, request_id=""):
        """Returns the sub-requests that reached the searchers."""
        return self._standin(f"/control/runs?request_id={request_id}")["runs"]

    def order(self, **order):
        """Sends an order to the searchers."""
        return post_json(self.standin_address, "/control/order", order)

    def _standin(self, path):
        url = f"http://{self.standin_address}{path}"
        with urllib.request.urlopen(url, timeout=CONDITION_TIMEOUT_S) as reply:
            return json.loads(reply.read())


def _connects(source, target):
    """Whether hosts of these kinds open connections in this direction."""
    kinds = source.partition("-")[0], target.partition("-")[0]
    return kinds in {
        ("control", "control"),
        ("entry", "control"),
        ("entry", "entry"),
        ("entry", "searchers"),
        ("searchers", "entry"),
    }
