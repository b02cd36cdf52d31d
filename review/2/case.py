"""A control machine is replaced as planned; then another one loses its disk."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Operator,
    add_control_logs,
    lose_disk,
    run_case,
    simple_document,
    start_control,
)

# The successor has had its time to catch up before the old machine is stopped.
SUCCESSOR_LEAD_S = BOUNDS["catchUpS"] + 1.0
# After the old machine has ended: catchUpS and a little more.
LOSS_S = BOUNDS["catchUpS"] + 0.5
# With TROUBLE=spaced the loss comes when the repair has long ended.
SPACED_S = 5.0 * BOUNDS["catchUpS"]
# With TROUBLE=unplanned the old machine is gone first, and the loss comes as soon as
# the successor has had its time.
SUCCESSOR_AFTER_S = 1.0
MARGIN_S = 0.3
READ_S = 2.0 * BOUNDS["recoveryS"]


def start_successor(record, deployment, operator, old):
    """Starts an empty machine that takes the place of ``old``."""
    successor = deployment.add(
        name=f"core-{old.zone}-2", role="core", number=9, zone=old.zone
    )
    seeds = [machine.control for machine in operator.nodes][:3]
    successor.write_settings(seeds=seeds, bootstrap=False)
    successor.start()
    record.add(f"{successor.name} starts with an empty disk")
    return successor


def replace_as_planned(record, deployment, operator, old, loss_s):
    """Starts the successor first, then stops the old machine for good."""
    successor = start_successor(record, deployment, operator, old)
    time.sleep(SUCCESSOR_LEAD_S)
    operator.nodes.append(successor)
    record.add(f"{old.name} gets SIGTERM and leaves for good")
    operator.nodes.remove(old)
    old.process.send_signal(signal.SIGTERM)
    old.process.wait(timeout=BOUNDS["graceS"])
    record.add(f"{old.name} has ended")
    time.sleep(loss_s)


def replace_a_lost_one(record, deployment, operator, old):
    """Loses the old machine for good, then starts its successor."""
    record.add(f"{old.name} is gone for good")
    old.kill()
    operator.nodes.remove(old)
    time.sleep(SUCCESSOR_AFTER_S)
    operator.nodes.append(start_successor(record, deployment, operator, old))
    time.sleep(BOUNDS["catchUpS"] + MARGIN_S)


def play(record, deployment, trouble):
    """Plays the case; returns whether the rule held."""
    machines, _ = start_control(deployment)
    operator = Operator(record, list(machines))
    if not operator.put(simple_document(1), within_s=20.0):
        raise CannotRunError("the first configuration was not accepted")
    time.sleep(BOUNDS["stableWindowMs"] / 1000)
    leader = operator.leader()
    if leader is None:
        raise CannotRunError("no machine is named as the leader")
    second = next(machine for machine in machines if machine is not leader)
    if trouble == "unplanned":
        replace_a_lost_one(record, deployment, operator, leader)
    else:
        loss_s = SPACED_S if trouble == "spaced" else LOSS_S
        replace_as_planned(record, deployment, operator, leader, loss_s)
    if trouble != "0":
        seeds = [machine.control for machine in operator.nodes]
        lose_disk(record, second, seeds)
    time.sleep(BOUNDS["stableWindowMs"] / 1000)
    read = operator.read(within_s=READ_S)
    operator.put(simple_document(2), within_s=2 * BOUNDS["ackMs"] / 1000)
    add_control_logs(record, deployment)
    return read is not None and read["version"] >= 1


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
