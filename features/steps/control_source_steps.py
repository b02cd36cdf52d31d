"""Steps for what an entry host gets from which control replica."""

import random

from behave import given, then, when

from plantainstage._messages.serving import SourceReport
from plantainstage._registry.mirror import SourceMirror
from plantainstage._registry.register import SearcherRegister
from plantainstage._serving.control_sources import ControlSources
from plantainstage._serving.searchers import Searcher, SearcherState, differs

HEARTBEAT_S = 1.0


def names(text):
    return [name.strip() for name in text.split(",")]


def report(context, address, *, process="p", cursor=1, age_ms=0, hosts=0):
    return SourceReport(
        address=address,
        process=process,
        cursor=cursor,
        data_centre=context.places[address],
        hosts=hosts,
        age_ms=age_ms,
    )


def reply(context, relay, now, others, age_ms):
    context.sources.record_reply(relay, now)
    context.sources.record_report(relay, report(context, relay), now)
    for other in others:
        passed_on = report(context, other, age_ms=age_ms)
        context.sources.record_report(relay, passed_on, now)


def polled(context, now):
    return [a for a in context.places if not context.sources.is_relayed(a, now)]


@given(
    'an entry host in "{own}" and replicas "a" in "{a}", "b" in "{b}", "c" in "{c}"',
)
def step_host(context, own, a, b, c):
    context.sources = ControlSources(host_id="h", data_centre=own)
    context.places = {"a": a, "b": b, "c": c}


@when(
    '"{relay}" replies at {now:g} s and was in contact with "{others}" {age:d} ms before'
)
def step_reply(context, relay, now, others, age):
    context.now = now
    reply(context, relay, now, names(others), age)


@when(
    "each replica replies at {now:g} s and was in contact with all others {age:d} ms before"
)
def step_each_replies(context, now, age):
    context.now = now
    for relay in context.places:
        reply(context, relay, now, [a for a in context.places if a != relay], age)


@then('at {now:g} s the host polls "{expected}"')
def step_polls(context, now, expected):
    assert polled(context, now) == names(expected), polled(context, now)


@then("at {now:g} s the host polls one replica")
def step_polls_one(context, now):
    context.polled = polled(context, now)
    assert len(context.polled) == 1, context.polled


@then('the host counts itself at "{expected}"')
def step_counts_at(context, expected):
    counting = context.sources.counting_replica(context.now)
    assert counting == expected, counting


@then("the host counts itself at the replica that it polls")
def step_counts_at_polled(context):
    counting = context.sources.counting_replica(context.now)
    assert [counting] == context.polled, (counting, context.polled)


@when(
    '"{relay}" reports process "{process}" of "{address}" at {now:g} s, '
    "in contact {age:d} ms before"
)
def step_reports_process(context, relay, process, address, now, age):
    passed_on = report(context, address, process=process, age_ms=age, cursor=7)
    context.sources.record_report(relay, passed_on, now)


@then('the host holds process "{process}" of "{address}"')
def step_holds_process(context, process, address):
    held = {source.address: source.process for source in context.sources.held()}
    assert held[address] == process, held


@then("at {now:g} s no replica is lost")
def step_none_lost(context, now):
    assert context.sources.take_lost(now) == []


@then('at {now:g} s "{address}" is lost with process "{process}"')
def step_lost(context, now, address, process):
    lost = [(s.address, s.process) for s in context.sources.take_lost(now)]
    assert lost == [(address, process)], lost


@then('the host asks "{address}" for all searchers')
def step_asks_for_all(context, address):
    source = context.sources.sources[address]
    assert (source.process, source.cursor) == ("", 0), source


@when("the replicas count {a:d}, {b:d} and {c:d} hosts at {now:g} s")
def step_count_hosts(context, a, b, c, now):
    for address, hosts in zip("abc", (a, b, c), strict=True):
        counted = report(context, address, hosts=hosts)
        context.sources.record_report("a", counted, now)


@when(
    "the replicas count {a:d}, {b:d} and {c:d} hosts each second from {first:d} s to "
    "{last:d} s"
)
def step_count_hosts_each_second(context, a, b, c, first, last):
    for now in range(first, last + 1):
        step_count_hosts(context, a, b, c, now)


@then("at {now:g} s the host counts {hosts:d} hosts")
def step_counts_hosts(context, now, hosts):
    # The count changes with reports only, not with time.
    assert context.sources.hosts.total == hosts, context.sources.hosts


# ---- Mirrors --------------------------------------------------------------------------


def announcement(source, sequence):
    return Searcher(
        searcher_id=f"s-{source.randrange(40)}",
        service="cards",
        address=f"127.0.0.1:{source.randrange(1000, 9999)}",
        data_centre="dc-1",
        slots=2,
        state=source.choice((SearcherState.READY, SearcherState.READY, 1)),
        sequence=sequence,
        started_at_ms=source.randrange(4),
    )


def own_report(register, cursor):
    changed = register.changes_since(cursor)
    return SourceReport(
        address="r",
        process="p",
        cursor=register.cursor,
        searchers=tuple(e.searcher for e in changed if not e.silent),
        silent=tuple(e.searcher.searcher_id for e in changed if e.silent),
    )


class PollingHost:
    """A host that takes reports, as ControlLink does."""

    def __init__(self):
        self.sources = ControlSources(host_id="h", data_centre="dc-1")
        self.searchers = {}
        self.silent = set()

    @property
    def cursor(self):
        held = self.sources.held()
        return held[0].cursor if held else 0

    def take(self, relay, taken, now):
        if not self.sources.record_report(relay, taken, now).current:
            return
        for searcher in taken.searchers:
            self.searchers[searcher.searcher_id] = searcher
            self.silent.discard(searcher.searcher_id)
        self.silent.update(taken.silent)

    def ask_mirror(self, mirror, now):
        taken = mirror.report_since(process="p", cursor=self.cursor, now=now)
        self.take("relay", taken, now)


def check_same_searchers(register, host):
    for name, entry in register.entries.items():
        assert (name in host.silent) == entry.silent, name
        assert entry.silent or not differs(host.searchers[name], entry.searcher), name
    # The replica forgets departures and silent searchers after a while, a host does not.
    in_use = [
        searcher
        for name, searcher in host.searchers.items()
        if name not in register.entries and name not in host.silent
    ]
    assert all(s.state is not SearcherState.READY for s in in_use), in_use


@given(
    "a mirror of a replica that is updated while {changes:d} changes happen, seed {seed:d}"
)
def step_mirror(context, changes, seed):
    source = random.Random(seed)
    register = SearcherRegister(heartbeat_s=HEARTBEAT_S)
    mirror = SourceMirror()
    host = PollingHost()
    now = 0.0
    mirror.record(own_report(register, mirror.cursor), now)
    for sequence in range(changes):
        now += source.random() * 0.5
        register.record_announcement(announcement(source, sequence), now)
        register.expire(now)
        match source.randrange(4):
            case 0:
                mirror.record(own_report(register, mirror.cursor), now)
            case 1 if mirror.is_current(now):
                host.ask_mirror(mirror, now)
            case 2:
                host.take("r", own_report(register, host.cursor), now)
                if mirror.is_current(now):
                    host.ask_mirror(mirror, now)
                check_same_searchers(register, host)
    mirror.record(own_report(register, mirror.cursor), now)
    host.ask_mirror(mirror, now)
    context.register, context.host = register, host


@then(
    "a host that asks the mirror and the replica at random ends with the same searchers"
)
def step_same_searchers(context):
    check_same_searchers(context.register, context.host)
