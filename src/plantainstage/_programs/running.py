"""Runs a daemon until SIGTERM or SIGINT asks for a planned stop."""

import asyncio
import signal


async def wait_for_stop_signal():
    """Returns once SIGTERM or SIGINT has arrived."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
