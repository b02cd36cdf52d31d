"""Steps for the shares of entry hosts in the connections to searchers."""

import asyncio
from collections import Counter

from behave import given, then, when

from plantainstage._gateway import pool as pool_module
from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.pool import SearcherPool
from plantainstage._serving.connection_shares import HostCounts
from plantainstage._serving.searchers import Searcher
from plantainstage._transport.buffer_memory import BufferMemory

SERVICE = "shard-1"


def searcher_in(data_centre, number):
    return Searcher(
        searcher_id=f"s-{number}",
        service=SERVICE,
        address=f"127.0.0.1:{7000 + number}",
        data_centre=data_centre,
        slots=3,
        started_at_ms=number,
    )


@given("{hosts:d} entry hosts in each of {data_centres:d} data centres")
def step_hosts(context, hosts, data_centres):
    context.data_centres = [f"dc-{number}" for number in range(data_centres)]
    context.hosts = [
        (f"host-{place}-{number}", place)
        for place in context.data_centres
        for number in range(hosts)
    ]


@given(
    "a service with a searcher in {places:d} of them, which accepts {cap:d} connections"
)
def step_service(context, places, cap):
    context.cap = cap
    counts = HostCounts(by_data_centre=Counter(place for _, place in context.hosts))
    context.kept = {}  # host id -> searcher id -> connections kept

    async def learn():
        for host_id, place in context.hosts:
            fleet = Fleet(
                host_id=host_id,
                data_centre=place,
                make_pool=pool_of,
            )
            for number, data_centre in enumerate(context.data_centres[:places]):
                fleet.update_searcher(searcher_in(data_centre, number))
            fleet.set_limits(hosts=counts, caps={SERVICE: cap})
            context.kept[host_id] = {
                member.searcher: fleet.share(member).kept
                for member in fleet.members.values()
            }

    asyncio.run(learn())


@then("the hosts together keep at most {share:g} of what each searcher accepts")
def step_within_cap(context, share):
    totals = Counter()
    for kept in context.kept.values():
        totals.update(kept)
    assert max(totals.values()) <= share * context.cap, totals


@then(
    "each host keeps a connection to a searcher, in its own data centre if it has one"
)
def step_each_keeps(context):
    for host_id, place in context.hosts:
        kept = context.kept[host_id]
        near = [count for s, count in kept.items() if s.data_centre == place]
        assert max(near or kept.values()) >= 1, (host_id, kept)


class IdleConnection:
    """A connection whose reply has arrived."""

    reusable = True
    closed = False
    usable_until = float("inf")

    def close(self):
        self.closed = True


def pool_of(searcher):
    return SearcherPool(
        address=searcher.address, names=HeaderNames(), memory=BufferMemory(limit=1024)
    )


@given("a searcher to which this host keeps {kept:d} connection")
def step_pool(context, kept):
    context.pool = pool_of(searcher_in("dc-0", 0))
    context.pool.kept = kept


@when("{count:d} connections become idle at the same time")
def step_idle(context, count):
    context.connections = [IdleConnection() for _ in range(count)]

    async def put_back():
        for connection in context.connections:
            context.pool.put_back(connection, None)
        await asyncio.sleep(pool_module.EXTRA_IDLE_S * 1.2)

    asyncio.run(put_back())


@then("one of them is closed after a while and the other one is kept")
def step_one_kept(context):
    closed = [connection.closed for connection in context.connections]
    assert closed == [False, True], closed
    assert context.pool.idle == [context.connections[0]]
