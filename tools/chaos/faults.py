"""Faults that are injected into a LinkedTier and repaired later."""

import shutil
import time
from dataclasses import dataclass

from plantainstage._messages.control import MemberAction
from plantainstage.messages import control
from support.processes import wait_until

CONTROL = "control"
ENTRY = "entry"
SEARCHERS = "searchers"

DATA_FAULTS = ("lose_folder", "older_folder")


@dataclass(kw_only=True)
class Fault:
    """An applied fault; ``repair`` ends it."""

    name: str
    host: str
    kind: str
    repair: object


class Faults:
    """Draws faults from a seeded random source and applies them to healthy hosts."""

    def __init__(self, *, random_source, tier, history):
        self.random = random_source
        self.tier = tier
        self.history = history
        self.snapshot_number = 1
        self.faults_by_kind = {
            CONTROL: (
                self.kill,
                self.freeze,
                self.cut_off,
                self.stop_control,
                self.lose_folder,
                self.older_folder,
            ),
            ENTRY: (
                self.kill,
                self.freeze,
                self.cut_off,
                self.cut_from_control,
                self.silence,
                self.stop_entry,
            ),
            SEARCHERS: (
                self.crash_searcher,
                self.slow_searchers,
                self.new_snapshot,
                self.silent_searchers,
                self.drain_searcher,
            ),
        }

    def apply_next(self, active):
        """Applies a random fault to a healthy host; returns the Fault or None."""
        busy = {fault.host for fault in active}
        kind = self.random.choice((CONTROL, ENTRY, ENTRY, SEARCHERS))
        candidates = {
            CONTROL: self.tier.controls,
            ENTRY: self.tier.entries,
            SEARCHERS: [SEARCHERS],
        }[kind]
        healthy = [name for name in candidates if name not in busy]
        if not healthy:
            return None
        host = self.random.choice(healthy)
        choice = self.random.choice(self.faults_by_kind[kind])
        # With a second lost folder, no majority might hold the committed data.
        loses_data = choice in (self.lose_folder, self.older_folder)
        if loses_data and any(fault.kind == CONTROL for fault in active):
            choice = self.freeze
        self.history.faults[choice.__name__] += 1
        self.history.print_step(f"fault {choice.__name__} on {host}")
        return Fault(
            name=choice.__name__, host=host, kind=kind, repair=choice(host) or no_repair
        )

    # ---- Processes ----

    def kill(self, host):
        """Kills a process without a planned stop."""
        self.tier.program(host).kill()
        return lambda: self.tier.start(host)

    def freeze(self, host):
        """Suspends a process."""
        self.tier.program(host).freeze()
        return lambda: self.tier.program(host).resume()

    def stop_entry(self, host):
        """Requests a planned stop of an entry host; requests in flight must finish."""
        self.history.planned_stops.append((host, time.monotonic()))
        self._stop_as_planned(host)
        return lambda: self.tier.start(host)

    def stop_control(self, host):
        """Requests a planned stop of a control replica."""
        self._stop_as_planned(host)
        return lambda: self.tier.start(host)

    def _stop_as_planned(self, host):
        # While the interpreter still loads the program, SIGTERM ends the process
        # with code -15, before any code of the tier has run. So wait for a log line.
        program = self.tier.program(host)
        wait_until(program.has_logged, what=f"{host} has logged")
        code = program.stop()
        if code != 0:
            self.history.record_violation(
                f"planned stop of {host} ended with code {code}"
            )

    def lose_folder(self, host):
        """Kills a control replica, deletes its data folder and replaces the replica."""
        tier = self.tier
        before = wait_until(lambda: self._replica_status(host), what=f"{host} is known")
        tier.program(host).kill()
        shutil.rmtree(tier.folder / host)
        arguments = tier.hosts[host].arguments
        if "--bootstrap" in arguments:  # the first loss of this folder
            arguments[arguments.index("--peers") :] = []
            arguments[arguments.index("--bootstrap")] = "--join"
        tier.start(host)

        def repair():
            new = wait_until(
                lambda: self._started_incarnation(host, other_than=before.incarnation),
                what=f"{host} has started with a new folder",
            )
            client, peer = tier.hosts[host].addresses
            self._change_member(MemberAction.ADD_LEARNER, host, new, client, peer)
            self._change_member(MemberAction.PROMOTE, host, new)
            self._change_member(MemberAction.REMOVE, host, before.incarnation)

        return repair

    def older_folder(self, host):
        """Restores an older copy of a replica's folder; the replica must refuse it."""
        tier = self.tier
        folder = tier.folder / host
        copy = tier.folder / f"{host}.copy"
        wait_until(lambda: self._replica_status(host), what=f"{host} is known")
        tier.program(host).kill()
        shutil.copytree(folder, copy)
        before = self._count_leader_changes(host)
        tier.start(host)
        # The replica follows a leader only after its peers have recorded this boot;
        # from then on the copy is outdated.
        wait_until(
            lambda: self._count_leader_changes(host) > before,
            what=f"{host} follows a leader again",
        )
        tier.program(host).kill()
        shutil.rmtree(folder)
        copy.rename(folder)
        tier.start(host)

        def repair():
            wait_until(
                lambda: tier.program(host).process.poll() is not None,
                what=f"{host} has refused its outdated folder",
            )
            self.lose_folder(host)()

        return repair

    def _count_leader_changes(self, host):
        lines = self.tier.log_lines(host)
        return sum(line["event"] == "leader changed" for line in lines)

    def _replica_status(self, host):
        replicas = self.tier.call(control.QueryStatus()).replicas
        return next((item for item in replicas if item.replica_id == host), None)

    def _started_incarnation(self, host, *, other_than):
        incarnations = [
            line["incarnation"]
            for line in self.tier.log_lines(host)
            if line["event"] == "replica started"
        ]
        return (
            incarnations[-1]
            if incarnations and incarnations[-1] != other_than
            else None
        )

    def _change_member(self, action, host, incarnation, client="", peer=""):
        def done():
            reply = self.tier.call(
                control.ChangeMember(
                    action=action,
                    replica_id=host,
                    incarnation=incarnation,
                    client_address=client,
                    peer_address=peer,
                )
            )
            return isinstance(reply, control.Done)

        wait_until(done, what=f"{action.value} of {host}")

    # ---- Network ----

    def cut_off(self, host):
        """Holds all traffic between a host and all others."""
        self.tier.cut_off(host)
        return lambda: self.tier.heal(host)

    def cut_from_control(self, host):
        """Holds the traffic between an entry host and the control replicas."""
        self.tier.cut_off(host, self.tier.controls)
        return lambda: self.tier.heal(host, self.tier.controls)

    def silence(self, host):
        """Makes the existing connections of a host permanently silent."""
        self.tier.silence(host, self.tier.others(host))

    # ---- Searchers ----

    def _random_searcher(self):
        return self.random.choice(self.tier.searchers())["upstream_id"]

    def crash_searcher(self, host):
        """Crashes one searcher; it restarts after a second."""
        self.tier.order(upstream_ids=[self._random_searcher()], crash=True)

    def slow_searchers(self, host):
        """Slows a fifth of the sub-requests down by a factor of ten."""
        self.tier.order(behaviour={"slow_fraction": 0.2})
        return lambda: self.tier.order(behaviour={"slow_fraction": 0.0})

    def silent_searchers(self, host):
        """Makes the existing connections of one searcher permanently silent."""
        self.tier.order(upstream_ids=[self._random_searcher()], silence=-1)

    def drain_searcher(self, host):
        """One searcher announces that it is draining; the repair restarts it."""
        upstream_id = self._random_searcher()
        self.tier.order(upstream_ids=[upstream_id], behaviour={"state": "draining"})

        def repair():
            self.tier.order(upstream_ids=[upstream_id], behaviour={"state": "serving"})
            self.tier.order(upstream_ids=[upstream_id], crash=True)

        return repair

    def new_snapshot(self, host):
        """Half of the searchers load a new snapshot.

        On repair the others load it too, and all drop the old one.
        """
        old = f"s{self.snapshot_number}"
        self.snapshot_number += 1
        number = self.snapshot_number
        take = {
            "snapshot": f"s{number}",
            "sequence": number,
            "manifest": self.manifest(number),
        }
        names = [item["upstream_id"] for item in self.tier.searchers()]
        self.tier.order(
            upstream_ids=self.random.sample(names, len(names) // 2), take=take
        )

        def repair():
            self.tier.order(take=take)
            self.tier.order(drop=old)

        return repair

    def manifest(self, number):
        """Returns the document count of each partition in a snapshot."""
        names = sorted({item["partition"] for item in self.tier.searchers()})
        return {
            name: 1000 * number + 10 * position for position, name in enumerate(names)
        }


def no_repair():
    """Does nothing: the fault ends by itself."""
