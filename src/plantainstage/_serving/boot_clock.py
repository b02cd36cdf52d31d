"""The clock that leases of quota permits go by."""

import time


def boot_time() -> float:
    """Returns the time since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
