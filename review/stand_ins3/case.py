"""Runs one case: sets up its deployment, writes the record and ends the programs."""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

from small_site import CannotRun, Site

LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(script: str, play, **machines):
    """Runs ``await play(site, trouble)``, which returns why the rule is broken or "".

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Path(script).resolve().parent / "record.txt"
    sys.exit(asyncio.run(_run(record, play, trouble, machines)))


async def _run(record, play, trouble, machines):
    site = None
    # Ended early, the script still ends the programs that it started.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        site = Site(**machines)
        site.note(event="begin", trouble=trouble)
        async with asyncio.timeout(LIMIT_S):
            broken = await play(site, trouble)
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        if site is not None:
            site.stop()
            site.write_record(record)
    print(f"broken: {broken}" if broken else "held")
    site.note(event="end", broken=broken)
    site.write_record(record)
    return BROKEN if broken else HELD
