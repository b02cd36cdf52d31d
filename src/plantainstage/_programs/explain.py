"""``plantainstage-explain``: the story of one request from several hosts' logs."""

import sys

import click
import msgspec

EXIT_NOT_FOUND = 3
_decoder = msgspec.json.Decoder(dict)


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File("rb"))
def main(request_id, files):
    """Prints, in order, what the event lines in FILES say of REQUEST_ID.

    Lines that are no event are skipped. What was dropped by a host that took part
    is told, since the story may then lack steps.
    """
    story = collect(request_id, files)
    for line in tell(request_id, story):
        click.echo(line)
    sys.exit(0 if story.lines else EXIT_NOT_FOUND)


class Story:
    """The lines about one request, and what the hosts dropped."""

    def __init__(self):
        self.lines = []
        self.dropped = {}  # host -> [(time, count)]

    def hosts(self):
        """Returns the hosts that took part."""
        return sorted({line["host"] for line in self.lines})


def collect(request_id: str, files) -> Story:
    """Reads the files and returns the story of a request."""
    story = Story()
    for file in files:
        for raw in file:
            # A prefix such as the time and the host of a collector is skipped.
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                line = _decoder.decode(raw[start:])
            except msgspec.MsgspecError:
                continue
            if line.get("event") == "lines_dropped":
                story.dropped.setdefault(line["host"], []).append(line)
            elif line.get("request_id") == request_id and "event" in line:
                story.lines.append(line)
    story.lines.sort(key=lambda line: (line["host"], line["event"] != "request"))
    return story


def tell(request_id: str, story: Story):
    """Yields the lines to print."""
    if not story.lines:
        yield f"{request_id}: no line in these files; it may have been dropped"
        for host, dropped in sorted(story.dropped.items()):
            yield f"  {host} dropped {sum(d['count'] for d in dropped)} lines"
        return
    for line in story.lines:
        yield _describe(line)
    for host in story.hosts():
        near = [d for d in story.dropped.get(host, ()) if _is_near(d, story)]
        if near:
            count = sum(d["count"] for d in near)
            yield f"{host} dropped {count} lines at that time; steps may be missing"


def _is_near(dropped, story):
    return any(abs(dropped["time"] - line["time"]) < 2.0 for line in story.lines)


def _describe(line):
    hidden = ("event", "host", "program", "time", "request_id")
    fields = ", ".join(
        f"{name} {value}" for name, value in line.items() if name not in hidden
    )
    return f"{line['time']:.3f} {line['host']} {line['event']}: {fields}"


if __name__ == "__main__":
    main()
