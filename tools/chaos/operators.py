"""Operators that submit conflicting changes and check changes that are in force."""

import random
import threading
import time

from chaos.callers import post
from chaos.history import Outage
from plantainstage._errors import ControlUnavailableError
from plantainstage.messages import configuration, control

CALL_TIMEOUT_S = 4.0
IN_FORCE_POLL_S = 0.05
IN_FORCE_LIMIT_S = 60.0
PAUSE_S = 0.2


class Operators(threading.Thread):
    """Submits one change after another until ``stopping`` is set."""

    def __init__(self, *, seed, tier, history):
        super().__init__(name="operators", daemon=True)
        self.random = random.Random(f"{seed}:operators")
        self.tier = tier
        self.history = history
        self.stopping = threading.Event()
        self.newest_version = 0
        self.round = 0

    def run(self):
        """Submits changes of random kinds; abandons one if control is unavailable."""
        kinds = (
            self._submit_conflicting_changes,
            self._publish_and_retire,
            self._take_out_and_put_in,
        )
        while not self.stopping.is_set():
            self.round += 1
            try:
                self.random.choice(kinds)()
            except (ControlUnavailableError, TimeoutError):
                self.history.changes["unavailable"] += 1
            self.stopping.wait(PAUSE_S)

    # ---- Calls ----

    def call(self, request, addresses=None):
        """Sends one control request; raises ControlUnavailableError."""
        return self.tier.call(request, addresses=addresses, timeout_s=CALL_TIMEOUT_S)

    def _next_number(self):
        reply = self.call(control.QueryNextNumber())
        if reply.version < self.newest_version:
            self.history.record_violation(
                f"version decreased from {self.newest_version} to {reply.version}"
            )
        self.newest_version = max(self.newest_version, reply.version)
        return reply.number

    def submit_until_decided(self, change, addresses=None):
        """Submits a change until it has a verdict; resubmits after a lost reply."""
        while True:
            try:
                reply = self.call(control.SubmitChange(change=change), addresses)
            except (ControlUnavailableError, TimeoutError):
                if self.stopping.is_set():
                    return None
                continue
            match reply:
                case control.ChangeVerdict(verdict=verdict):
                    self._record_verdict(verdict)
                    return verdict
                case control.ChangeConflict(winner=winner):
                    self._record_conflict(change, winner)
                    return None
            return None

    def _record_verdict(self, verdict):
        self.history.changes[verdict.kind.value] += 1
        self.history.verdicts.append(verdict)

    def _record_conflict(self, change, winner):
        self.history.changes["conflict"] += 1
        self.history.conflicts.append((change, winner))
        if winner.change.number != change.number or winner.change == change:
            self.history.record_violation(f"wrong winner for {change}: {winner}")

    def _submit_with_next_number(self, body):
        """Submits a change under the next free number until one has a verdict."""
        while not self.stopping.is_set():
            change = control.Change(
                number=self._next_number(), operator="chaos", body=body
            )
            verdict = self.submit_until_decided(change)
            if verdict is not None:
                return verdict
        raise ControlUnavailableError(addresses=(), waited_ms=0, last_error="stopping")

    def _wait_in_force(self, version):
        """Returns whether control reported a version in force within the limit."""
        limit = time.monotonic() + IN_FORCE_LIMIT_S
        while time.monotonic() < limit and not self.stopping.is_set():
            status = self.call(control.QueryStatus(version=version))
            if status.settled and not status.lacking:
                return True
            time.sleep(IN_FORCE_POLL_S)
        return False

    # ---- Kinds of changes ----

    def _submit_conflicting_changes(self):
        """Two operators submit different changes under the same number concurrently."""
        number = self._next_number()
        changes = [
            control.Change(
                number=number,
                operator=f"operator-{side}",
                body=publish_change(f"race-{side}", deadline_ms=1000 + self.round),
            )
            for side in ("a", "b")
        ]
        shuffled = self.random.sample(
            self.tier.control_addresses, len(self.tier.control_addresses)
        )
        threads = [
            threading.Thread(
                target=self.submit_until_decided,
                args=(change, (address, *self.tier.control_addresses)),
            )
            for change, address in zip(changes, shuffled, strict=False)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _publish_and_retire(self):
        """Publishes and retires a profile.

        Each entry host must know it once its change is in force, and refuse it once
        its retirement is in force.
        """
        name = f"temporary-{self.round}"
        verdict = self._submit_with_next_number(publish_change(name, deadline_ms=1500))
        if self._wait_in_force(verdict.version):
            self._check_all_entries(name, refused=False, version=verdict.version)
        verdict = self._submit_with_next_number(control.RetireProfile(name=name))
        if self._wait_in_force(verdict.version):
            self._check_all_entries(name, refused=True, version=verdict.version)

    def _check_all_entries(self, name, *, refused, version):
        for entry, address in self.tier.entry_addresses.items():
            request = {"profile": name, "query": {"token": name}}
            status, body, _ = post(address, request)
            unknown = body.get("error") == "unknown_profile"
            wrong = status == 200 if refused else unknown
            if wrong:
                self.history.record_violation(
                    f"{entry} uses a version before {version}, which is in force: "
                    f"{name} got {status} {body.get('error', '')}"
                )
        self.history.changes["checked_in_force"] += 1

    def _take_out_and_put_in(self):
        """Takes a searcher out for some time, in which it must not get new work."""
        searchers = self.tier.searchers()
        upstream_id = self.random.choice(searchers)["upstream_id"]
        verdict = self._submit_with_next_number(
            control.TakeUpstreamOut(upstream_id=upstream_id)
        )
        accepted_at = time.monotonic()
        in_force = self._wait_in_force(verdict.version)
        in_force_at = time.monotonic()
        self.stopping.wait(self.random.uniform(0.2, 1.0))
        back_at = time.monotonic()
        if in_force:
            self.history.outages.append(
                Outage(
                    upstream_id=upstream_id,
                    accepted_at=accepted_at,
                    in_force_at=in_force_at,
                    back_at=back_at,
                )
            )
        self._submit_with_next_number(control.PutUpstreamIn(upstream_id=upstream_id))


def publish_change(name, *, deadline_ms, minimum_coverage=0.3):
    """Returns the change that publishes a profile."""
    return control.PublishProfile(
        profile=configuration.Profile(
            name=name,
            index="ditch-turns",
            deadline_ms=deadline_ms,
            minimum_coverage=minimum_coverage,
            extra_load_limit=0.2,
        )
    )
