"""Starting and running the tasks of a daemon."""

import asyncio
import importlib
import traceback
from collections.abc import Awaitable, Callable

# A fault that comes back at once must not take the whole processor.
RETRY_INTERVAL_S = 0.3
MAX_TRACE_CHARACTERS = 1500


async def run_supervised(run: Callable[[], Awaitable], *, task: str, events):
    """Runs ``run()`` to its end, again after each failure.

    The failures that a task expects it handles itself. Any other one is a fault of
    the program: it is logged with its trace, and the task starts anew, since a
    host without the task would go on with what it knew at that moment. For
    example::

        asyncio.create_task(run_supervised(link.run, task="control", events=events))
    """
    while True:
        try:
            return await run()
        except Exception as error:
            lines = traceback.format_exception(error)
            trace = "".join(lines)[-MAX_TRACE_CHARACTERS:]
            events.note("task_failed", task=task, trace=trace)
        await asyncio.sleep(RETRY_INTERVAL_S)


async def load_modules(names: tuple[str, ...]) -> list:
    """Imports modules on a thread; the event loop answers meanwhile.

    The modules come in the order of their names.
    """
    loop = asyncio.get_running_loop()
    return [
        await loop.run_in_executor(None, importlib.import_module, name)
        for name in names
    ]
