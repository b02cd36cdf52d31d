"""Stand-in searcher for demos and tests; not part of the product."""

import asyncio
import contextlib
import uuid

import click
import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from plantainstage.messages import upstreams


class SearchHandler(RequestHandler):
    """Answers sub-requests for the partition that this searcher holds."""

    def initialize(self, searcher):
        self.searcher = searcher

    async def post(self):
        body = msgspec.json.decode(self.request.body, type=upstreams.SearchBody)
        await asyncio.sleep(0.003)
        self.finish(
            msgspec.json.encode(
                upstreams.SearchAnswer(
                    sub_request_id=body.sub_request_id,
                    snapshot=body.snapshot,
                    partition=body.partition,
                    documents=self.searcher.manifest[body.partition],
                    hits=msgspec.Raw(b'["hit"]'),
                )
            )
        )


class Searcher:
    """One searcher with one partition."""

    def __init__(self, *, upstream_id, address, partition, manifest, index):
        self.upstream_id = upstream_id
        self.address = address
        self.partition = partition
        self.manifest = manifest
        self.index = index
        self.incarnation = uuid.uuid4().hex

    def announcement(self):
        """Returns what the searcher tells about itself."""
        return upstreams.Announcement(
            upstream_id=self.upstream_id,
            incarnation=self.incarnation,
            address=self.address,
            data_centre="upper-canal",
            index=self.index,
            slots=3,
            connections=30,
            snapshots=(
                upstreams.AnnouncedSnapshot(
                    snapshot="s1",
                    sequence=1,
                    partitions=(self.partition,),
                    manifest=self.manifest,
                ),
            ),
        )

    async def run(self, entry_address):
        """Serves and announces every second until cancelled."""
        host, _, port = self.address.rpartition(":")
        server = HTTPServer(
            Application([("/v1/search", SearchHandler, {"searcher": self})])
        )
        server.listen(int(port), address=host)
        client = AsyncHTTPClient()
        while True:
            # The entry host may not listen yet; the next announcement follows.
            with contextlib.suppress(OSError):
                await client.fetch(
                    f"http://{entry_address}/v1/upstreams",
                    method="POST",
                    body=msgspec.json.encode(self.announcement()),
                    raise_error=False,
                )
            await asyncio.sleep(1.0)


@click.command()
@click.option("--first-port", default=7400, show_default=True)
@click.option("--partitions", default=3, show_default=True)
@click.option("--replicas", default=3, show_default=True)
@click.option("--index", default="ditch-turns", show_default=True)
@click.option("--entry", required=True)
def main(first_port, partitions, replicas, index, entry):
    """Run a group of stand-in searchers in one process."""
    asyncio.run(run(first_port, partitions, replicas, index, entry))


async def run(first_port, partitions, replicas, index, entry):
    """Runs all searchers of the group."""
    names = [f"rider-desk-{number:02}" for number in range(1, partitions + 1)]
    manifest = {name: 1000 + 10 * position for position, name in enumerate(names)}
    async with asyncio.TaskGroup() as group:
        for position, name in enumerate(names):
            for replica in range(replicas):
                port = first_port + position * replicas + replica
                searcher = Searcher(
                    upstream_id=f"{name}-{replica + 1}",
                    address=f"127.0.0.1:{port}",
                    partition=name,
                    manifest=manifest,
                    index=index,
                )
                group.create_task(searcher.run(entry))


if __name__ == "__main__":
    main()
