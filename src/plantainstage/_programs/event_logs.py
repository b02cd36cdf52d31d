"""Event lines of the daemons for routed requests, on standard output."""

import asyncio
import logging
import signal
import sys

import msgspec
from loguru import logger

from plantainstage._gateway.events import EventLog
from plantainstage._programs.failures import reported_failures
from plantainstage._programs.line_writer import LineWriter
from plantainstage._programs.logs import exception_fields
from plantainstage._programs.stop_signals import catch_stop_signals


def start_event_log(*, program: str, host_id: str) -> EventLog:
    """Returns the program's event log, which also gets loguru's messages."""
    writer = LineWriter(descriptor=sys.stdout.fileno())
    events = EventLog(program=program, host_id=host_id, put=writer.put)

    def write_message(message):
        record = message.record
        fields = {name: str(value) for name, value in record["extra"].items()}
        events.log_event(
            "message", level=record["level"].name, text=record["message"], **fields
        )

    logger.remove()
    logger.add(write_message, level="INFO")
    # Below this level tornado logs the values of invalid headers, which may have keys.
    logging.basicConfig(level=logging.WARNING, handlers=[_LoguruHandler()])
    return events


class _LoguruHandler(logging.Handler):
    """Passes messages of the standard logging module on to loguru."""

    def emit(self, record):
        fields = {}
        if record.exc_info and record.exc_info[1] is not None:
            fields["exception"] = msgspec.json.encode(
                exception_fields(record.exc_info[1])
            ).decode()
        logger.bind(**fields).log(record.levelname, record.getMessage()[:500])


def run_daemon(daemon_class, *, program: str, settings):
    """Runs a daemon until SIGTERM or SIGINT.

    It is created as ``daemon_class(settings=..., events=...)``; ``settings`` has a
    ``host_id``. A failure is reported as one line, see ``reported_failures``.
    """
    with reported_failures(program=program):
        asyncio.run(_run_until_stopped(daemon_class, program, settings))


async def _run_until_stopped(daemon_class, program, settings):
    stop = catch_stop_signals()
    events = start_event_log(program=program, host_id=settings.host_id)
    # SIGHUP is only logged: settings are read again whenever they are needed.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, events.log_event, "reload")
    await daemon_class(settings=settings, events=events).run(stop)
