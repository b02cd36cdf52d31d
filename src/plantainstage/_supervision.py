"""Starting, supervising and waking the tasks of a daemon."""

import asyncio
import contextlib
import importlib
import traceback
from collections.abc import Awaitable, Callable

# Limits the CPU use of a task that fails again immediately.
RETRY_INTERVAL_S = 0.3
MAX_TRACE_CHARACTERS = 1500


async def run_supervised(run: Callable[[], Awaitable], *, task: str, events):
    """Runs ``run()`` until it returns, and restarts it after each failure.

    A task handles the failures that it expects. Any other failure is a fault of the
    program: it is logged, and the task is restarted, since a host without the task
    would continue with outdated state. The trace is logged again only if it differs
    from that of the failure before. For example::

        asyncio.create_task(run_supervised(link.run, task="control", events=events))
    """
    last_trace = ""
    while True:
        try:
            return await run()
        except Exception as error:
            trace = trace_of(error)
            if trace != last_trace:
                events.log_event("task_failed", task=task, trace=trace)
            else:
                events.log_event("task_failed", task=task, error=type(error).__name__)
            last_trace = trace
        await asyncio.sleep(RETRY_INTERVAL_S)


def trace_of(error: Exception) -> str:
    """Returns the end of an error's trace, as log lines hold it."""
    return "".join(traceback.format_exception(error))[-MAX_TRACE_CHARACTERS:]


def log_failure(events, task: str, error: Exception):
    """Logs a fault of the program in a part of a task, which goes on without it."""
    events.log_event("task_failed", task=task, trace=trace_of(error))


async def load_modules(names: tuple[str, ...]) -> list:
    """Imports modules on a thread, so that the event loop is not blocked.

    Returns the modules in the order of ``names``.
    """
    loop = asyncio.get_running_loop()
    return [
        await loop.run_in_executor(None, importlib.import_module, name)
        for name in names
    ]


class ChangeSignal:
    """Wakes up tasks that wait for the next change."""

    def __init__(self):
        self.next_change = asyncio.Event()

    def notify(self):
        """Wakes up all tasks that wait now."""
        self.next_change.set()
        self.next_change = asyncio.Event()

    async def wait(self, timeout_s: float):
        """Returns after the next change, at the latest after ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.next_change.wait()
