"""Handles SIGTERM and SIGINT as requests for a planned stop."""

import asyncio
import signal


def catch_stop_signals():
    """Returns an event that SIGTERM and SIGINT set from now on.

    A daemon calls this before it starts any other work: until then, a signal ends
    the process at once.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
