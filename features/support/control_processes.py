"""Control replicas as processes, and the operator command."""

import asyncio
import json
import os
import shutil
import subprocess
import sys
import threading

from plantainstage._operator.session import open_session
from plantainstage._transport.rpc import RpcClient, RpcServer
from support.processes import ROOT, Program, free_address, wait_until
from support.tier import CONTROL, Tier

CTL = (sys.executable, "-m", "plantainstage._programs.ctl")
CALL_TIMEOUT_S = 60


class ControlProcesses(Tier):
    """Adds a replicated control group to a tier of processes."""

    def __init__(self, resources):
        super().__init__(resources)
        self.addresses = {}

    def add_addresses(self, name):
        client, peer = free_address(), free_address()
        self.addresses[name] = (client, peer)
        self.control_addresses.append(client)

    def start_group(self, count):
        names = [f"control-{number}" for number in range(1, count + 1)]
        for name in names:
            self.add_addresses(name)
        for name in names:
            self.start_replica(name, "--bootstrap", *self.peer_flags(name, names))
        return names

    def peer_flags(self, name, names):
        others = [other for other in names if other != name]
        return [
            part
            for other in others
            for part in ("--peers", f"{other}={','.join(self.addresses[other])}")
        ]

    def start_replica(self, name, *flags):
        client, peer = self.addresses[name]
        return self.start(
            name,
            CONTROL,
            *("--replica-id", name, "--listen", client, "--peer-listen", peer),
            *("--data-folder", self.folder / name, *flags),
        )

    def ctl(self, *arguments, timeout_s=CALL_TIMEOUT_S):
        """Runs the operator command; returns the exit code and the decoded JSON."""
        control = [part for a in self.control_addresses for part in ("--control", a)]
        result = subprocess.run(
            [*CTL, *arguments, "--json", "--timeout", str(timeout_s), *control],
            env=dict(os.environ, PYTHONPATH=str(ROOT / "src")),
            cwd=ROOT,
            capture_output=True,
            timeout=4 * CALL_TIMEOUT_S,
            check=False,
        )
        output = result.stdout.strip()
        assert output, result.stderr
        return result.returncode, json.loads(output)

    def run_session(self, action):
        """Runs ``action(session)`` with one client for all replicas."""

        async def run():
            with open_session(
                addresses=self.control_addresses, timeout_s=CALL_TIMEOUT_S
            ) as session:
                return await action(session)

        return asyncio.run(run())

    def ask(self, name, request):
        """Sends a request to one replica only; returns its reply."""

        async def run():
            client = RpcClient(address=self.addresses[name][0])
            try:
                return await client.call(request, timeout_s=CALL_TIMEOUT_S)
            finally:
                client.close()

        return asyncio.run(run())

    def status(self):
        return self.run_session(lambda session: session.status())

    def leader(self):
        """Returns the name of the current leader."""
        return next(item.replica_id for item in self.status().replicas if item.leader)

    def incarnation(self, name):
        """Returns the incarnation that a running replica logged last."""
        program: Program = self.programs[name]

        def logged():
            starts = [
                line["incarnation"]
                for line in program.log_lines()
                if line["event"] == "replica started"
            ]
            return starts[-1] if starts else None

        return wait_until(logged, what=f"{name} logs its incarnation")

    def lose_folder(self, name):
        shutil.rmtree(self.folder / name)
        (self.folder / f"{name}.log").unlink()


class ScriptedControl:
    """A control replica in this process that replies with the results of ``reply``.

    A result of None stands for a lost reply.
    """

    def __init__(self, resources, reply):
        self.address = free_address()
        self.reply = reply
        self.requests = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.server = RpcServer(address=self.address, handler=self._handle)
        self._run(self._start())
        resources.callback(self.close)

    async def _start(self):
        self.server.start()

    async def _handle(self, request):
        self.requests.append(request)
        reply = self.reply(request)
        if reply is None:
            await asyncio.sleep(3600)
        return reply

    def _run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(CALL_TIMEOUT_S)

    def close(self):
        self._run(self.server.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_S)
        self.loop.close()
