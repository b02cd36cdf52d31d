"""``plantainstage-explain``: traces one request in the logs of several hosts."""

import sys

import click
import msgspec

from plantainstage._reports.refusal_texts import refusal_text

EXIT_NOT_FOUND = 3
_decoder = msgspec.json.Decoder(dict)


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File("rb"))
def main(request_id, files):
    """Prints the event lines in FILES about REQUEST_ID, host by host.

    Other lines are skipped. Lines that a host of the request dropped around that
    time are reported, since the trace may then lack steps.
    """
    trace = collect_trace(request_id, files)
    for line in format_trace(request_id, trace):
        click.echo(line)
    sys.exit(0 if trace.lines else EXIT_NOT_FOUND)


class RequestTrace:
    """The event lines about one request, and the reports of dropped lines."""

    def __init__(self):
        self.lines = []
        self.dropped = {}  # host -> its lines_dropped events

    def hosts(self):
        """Returns the hosts with lines about the request."""
        return sorted({line["host"] for line in self.lines})


def collect_trace(request_id: str, files) -> RequestTrace:
    """Reads the files and returns the trace of a request."""
    trace = RequestTrace()
    for file in files:
        for raw in file:
            # Skips a prefix of a log collector, such as time and host.
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                line = _decoder.decode(raw[start:])
            except msgspec.MsgspecError:
                continue
            if line.get("event") == "lines_dropped":
                trace.dropped.setdefault(line["host"], []).append(line)
            elif line.get("request_id") == request_id and "event" in line:
                trace.lines.append(line)
    trace.lines.sort(key=lambda line: (line["host"], line["event"] != "request"))
    return trace


def format_trace(request_id: str, trace: RequestTrace):
    """Yields the lines to print."""
    if not trace.lines:
        yield f"{request_id}: no line in these files; it may have been dropped"
        for host, dropped in sorted(trace.dropped.items()):
            yield f"  {host} dropped {sum(d['count'] for d in dropped)} lines"
        return
    for line in trace.lines:
        yield _describe(line)
        reason = refusal_text(line) if line["event"] == "request" else None
        if reason is not None:
            yield f"{line['host']} refused it: {reason}"
    for host in trace.hosts():
        dropped_nearby = [d for d in trace.dropped.get(host, ()) if _is_near(d, trace)]
        if dropped_nearby:
            count = sum(d["count"] for d in dropped_nearby)
            yield f"{host} dropped {count} lines at that time; steps may be missing"


def _is_near(dropped, trace):
    return any(abs(dropped["time"] - line["time"]) < 2.0 for line in trace.lines)


def _describe(line):
    hidden = ("event", "host", "program", "time", "request_id")
    fields = ", ".join(
        f"{name} {value}" for name, value in line.items() if name not in hidden
    )
    return f"{line['time']:.3f} {line['host']} {line['event']}: {fields}"


if __name__ == "__main__":
    main()
