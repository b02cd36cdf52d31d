"""JSON-line logs on standard error."""

import sys

import msgspec
from loguru import logger


def _write_json_line(message):
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
    sys.stderr.flush()


def configure_logs(*, level, program, host_id):
    """Makes loguru write one JSON object a line, with program and host id."""
    logger.remove()
    logger.add(_write_json_line, level=level)
    logger.configure(extra={"program": program, "host": host_id})
