"""Steps for searchers that break off their answers in the middle."""

from behave import given

from support.routed_tier import reply_head

CHUNKED = ["Transfer-Encoding: chunked"]


def bytes_until(place, searcher, request):
    """Returns the bytes that a searcher sends before it closes the connection."""
    head = reply_head(searcher, request)
    sized = head + b"Content-Length: %d\r\n" % len(searcher.record)
    chunked = reply_head(searcher, request, extra=CHUNKED) + b"\r\n"
    chunk = b"%x\r\n%b\r\n" % (len(searcher.record), searcher.record)
    return {
        "inside the status line": b"HTTP/1.1 20",
        "inside a header": sized[:-5],
        "before the end of the head": sized,
        "after the head": sized + b"\r\n",
        "inside the body": sized + b"\r\n" + searcher.record[:-1],
        "inside a chunk size": chunked + chunk[:1],
        "inside a chunk": chunked + chunk[:-4],
        "after a chunk": chunked + chunk,
        "before the end of a trailer": chunked + chunk + b"0\r\nX-Sum: 1",
    }[place]


@given("answers of each searcher end {place}")
def step_break_off(context, place):
    async def break_off(searcher, request, writer):
        writer.write(bytes_until(place, searcher, request))
        await writer.drain()
        writer.close()

    for searcher in context.tier.searchers.values():
        searcher.behave = break_off
