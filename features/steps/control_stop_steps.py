"""Steps for planned stops of control replicas under load."""

import threading
import time

from behave import given, then, when

from plantainstage.messages import control
from support.callers import Callers
from support.control_processes import ControlProcesses
from support.processes import wait_until

PROFILE = "rider-gate"
PARTITION = "rider-desk-01"


class Bookings:
    """Sends bookings one after another and repeats each until it is answered."""

    def __init__(self, tier):
        self.tier = tier
        self.answered = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopping.is_set():
            number = len(self.answered) + 1
            request_id = f"{time.time_ns() // 1_000_000}-booking{number:04}"
            body = {
                "profile": PROFILE,
                "query": "book",
                "request_id": request_id,
                "idempotent": False,
                "partitions": [PARTITION],
            }
            wait_until(
                lambda body=body, number=number: self._is_answered(body, number % 2),
                what=f"booking {request_id} is answered",
            )
            self.answered.append(request_id)

    def _is_answered(self, body, entry):
        return self.tier.query(body, entry)[0] == 200

    def stop(self):
        """Stops after the current booking has been answered."""
        self.stopping.set()
        self.thread.join()


@given("three control replicas, 2 entry hosts and 2 partitions of 2 searchers")
def start_tier(context):
    context.tier = tier = ControlProcesses(context.resources)
    context.names = tier.start_group(3)
    for number in (1, 2):
        tier.start_entry(f"entry-{number}")
    tier.wait_until_ready()
    tier.start_searchers(partitions=2, replicas=2)
    tier.publish(name=PROFILE, deadline_ms=5000, minimum_coverage=1.0)
    tier.wait_until_full(PROFILE)


def all_caught_up(tier, count):
    """Whether all replicas have synced all committed entries."""
    status = tier.control_call(control.QueryStatus())
    caught_up = [
        replica
        for replica in status.replicas
        if replica.match_index >= status.commit_index
    ]
    return len(caught_up) == count


@when("queries and bookings are sent while each control replica restarts in turn")
def restart_in_turn(context):
    tier = context.tier
    addresses = dict(enumerate(tier.entry_addresses))
    context.callers = Callers(addresses, profile=PROFILE)
    context.bookings = Bookings(tier)
    context.codes = []
    for name in context.names:
        before = len(context.bookings.answered)
        context.codes.append(tier.programs[name].stop())
        flags = tier.peer_flags(name, context.names)
        tier.start_replica(name, "--bootstrap", *flags)
        wait_until(
            lambda: all_caught_up(tier, len(context.names)),
            what=f"{name} has caught up",
        )
        wait_until(
            lambda before=before: len(context.bookings.answered) > before + 2,
            what="more bookings are answered",
        )
    context.bookings.stop()
    context.callers.stop()


@then("each control replica has stopped with exit code 0")
def check_codes(context):
    assert context.codes == [0, 0, 0], context.codes


@then("every query was answered in full")
def check_queries(context):
    replies = context.callers.replies
    bad = [reply for reply in replies if reply.status != 200]
    assert replies and not bad, (len(bad), len(replies), bad[:2])
    assert all(reply.body["coverage"]["fraction"] == 1.0 for reply in replies)


@then("every booking was answered and has run once")
def check_bookings(context):
    answered = context.bookings.answered
    runs = {name: len(context.tier.runs(name)) for name in answered}
    assert answered and set(runs.values()) == {1}, runs
