"""A control machine loses its disk, and once more while it is being taken back in."""

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

# After the machine listens again. It takes about 1.5 s until it is a voter.
SECOND_LOSS_S = 0.9
# With TROUBLE=spaced the machine has had twice the time to catch up.
SPACED_LOSS_S = 2.0 * BOUNDS["catchUpS"]
READ_S = 2.0 * BOUNDS["recoveryS"]


def play(record, deployment, trouble):
    """Plays the case; returns whether the rule held."""
    machines, seeds = start_control(deployment)
    operator = Operator(record, machines)
    if not operator.put(simple_document(1), within_s=20.0):
        raise CannotRunError("the first configuration was not accepted")
    time.sleep(BOUNDS["stableWindowMs"] / 1000)
    first = operator.follower()
    if first is None:
        raise CannotRunError("no machine redirects to a leader")
    if trouble != "0":
        lose_disk(record, first, seeds)
        time.sleep(SPACED_LOSS_S if trouble == "spaced" else SECOND_LOSS_S)
        lose_disk(record, first, seeds)
    # Three times as long as the machine counts as lost.
    time.sleep(3 * BOUNDS["catchUpS"])
    acknowledged = operator.put(simple_document(2), within_s=BOUNDS["ackMs"] / 1000)
    other = next(machine for machine in machines if machine is not first)
    if trouble != "0":
        lose_disk(record, other, seeds)
    time.sleep(BOUNDS["stableWindowMs"] / 1000)
    read = operator.read(within_s=READ_S)
    operator.put(simple_document(3), within_s=2 * BOUNDS["ackMs"] / 1000)
    add_control_logs(record, deployment)
    return read is not None and read["version"] >= (2 if acknowledged else 1)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
