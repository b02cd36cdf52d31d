"""Reports why a program cannot start or go on, as one JSON line on standard output.

Only the standard library is imported here, since a missing dependency is one of the
reasons.
"""

import contextlib
import json
import sys
import time
import traceback

EXIT_FAULT = 1  # a fault of the program
EXIT_SETTINGS = 2  # settings, an address or a folder that cannot be used
EXIT_DEPENDENCY = 3
MAX_TRACE_CHARACTERS = 1500


@contextlib.contextmanager
def reported_failures(*, program: str):
    """Ends the program with a logged reason if the block fails.

    For example, a program whose dependencies are not installed prints one line with
    the event ``program_failed`` and exits with EXIT_DEPENDENCY::

        with reported_failures(program="gateway"):
            import msgspec
    """
    try:
        yield
    except ImportError as error:
        remedy = "Install the dependencies that requirements.lock names."
        _write_line(program, error, remedy=remedy)
        raise SystemExit(EXIT_DEPENDENCY) from None
    except Exception as error:
        # Importable here: a failed import is handled above.
        from plantainstage._errors import PlantainstageError

        if isinstance(error, PlantainstageError):
            _write_line(program, error)
            raise SystemExit(EXIT_SETTINGS) from None
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE_CHARACTERS:]
        _write_line(program, error, trace=trace)
        raise SystemExit(EXIT_FAULT) from None


def write_event(event: str, *, program: str, **fields):
    """Writes an event line without the event log, which may not run yet."""
    line = {"time": round(time.time(), 3), "event": event, "program": program}
    sys.stdout.write(json.dumps(line | fields) + "\n")
    sys.stdout.flush()


def _write_line(program, error, **fields):
    write_event(
        "program_failed",
        program=program,
        error=type(error).__name__,
        reason=str(error),
        **fields,
    )
