"""Steps for the decision whether an entry host is cut off."""

import random
from collections import Counter

from behave import given, then, when

from plantainstage._serving.helper_hosts import HELPERS, choose_helpers
from plantainstage._serving.searcher_reach import SILENT_S, SearcherReach

CALL_GAP_S = 0.02
REPLY_S = 0.03
SLOW_S = 0.3
CUT_GAP_S = 20.0
CUT_S = 2.0


def start(number):
    return (f"s-{number}", 1)


def starts(count):
    return [start(number) for number in range(count)]


@given("a host that got a reply {seconds:g} s ago")
def step_host(context, seconds):
    context.reach = SearcherReach()
    context.now = 100.0
    context.reach.record_reply(start(99), context.now - seconds)


@when("calls to {count:d} searchers fail")
def step_fail(context, count):
    for failed in starts(count):
        context.reach.record_failure(failed, context.now)


@when("{count:d} searchers leave requests on open connections unanswered")
def step_silent(context, count):
    context.reach.record_silence(starts(count), context.now)


@then("the host is cut off, but a request tried there may succeed")
def step_uncertain(context):
    assert context.reach.is_cut_off and not context.reach.is_certain


@then("the host is cut off, and a request tried there would fail")
def step_certain(context):
    assert context.reach.is_cut_off and context.reach.is_certain


@when("a call to a third searcher fails")
def step_third(context):
    context.reach.record_failure(start(2), context.now)


@when("a searcher replies")
def step_reply(context):
    context.reach.record_reply(start(3), context.now)


@when("{count:d} calls fail, and after each second one another searcher replies")
def step_mixed(context, count):
    for number in range(count):
        context.now += 1.0
        context.reach.record_failure(start(number), context.now)
        if number % 2:
            context.reach.record_reply(start(99), context.now)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds


@then("the host is cut off")
def step_cut_off(context):
    assert context.reach.is_cut_off


@then("the host is not cut off")
def step_not_cut_off(context):
    assert not context.reach.is_cut_off


@then("the host is not cut off and reaches every service")
def step_reaches_all(context):
    assert context.reach.is_clear


@then("a service of these {count:d} is out of reach")
def step_out(context, count):
    assert not context.reach.reaches_any(starts(count), context.now)


@then("a service of these {count:d} is in reach")
def step_in(context, count):
    assert context.reach.reaches_any(starts(count), context.now)


@then("a service of these {count:d} and another one is in reach")
def step_in_with_another(context, count):
    assert context.reach.reaches_any(starts(count + 1), context.now)


# ---- Random calls ---------------------------------------------------------------------


class RandomCalls:
    """Calls of one host to searchers that crash or are slow, and cuts of the host."""

    def __init__(self, *, searchers, seed):
        self.random = random.Random(seed)
        self.searchers = starts(searchers)
        self.reach = SearcherReach()
        self.now = 0.0
        self.down_until = {}
        self.pending = []  # (time of the reply or failure, start, replies)
        self.unanswered = []  # (time sent, start)
        self.cuts = []  # (began, ended)
        self.found = []  # (began, ended) as the host saw it
        self.next_cut = CUT_GAP_S
        self.mode = ""

    def run(self, calls):
        for _ in range(calls):
            self.now += CALL_GAP_S
            self._change_faults()
            self._call()
            self._deliver()
            self._note()
        if self.found and self.found[-1][1] is None:
            self.found.pop()

    def is_cut(self):
        return bool(self.cuts) and self.cuts[-1][0] <= self.now < self.cuts[-1][1]

    def _change_faults(self):
        if self.now >= self.next_cut:
            self.cuts.append((self.now, self.now + CUT_S))
            self.mode = self.random.choice(["hang", "refuse"])
            self.next_cut = self.now + CUT_GAP_S
            self.unanswered += [(at, name) for at, name, _ in self.pending]
            self.pending.clear()
        if self.random.random() < 0.01:
            for name in self.random.sample(self.searchers, 3):
                self.down_until[name] = self.now + 2.0

    def _call(self):
        name = self.random.choice(self.searchers)
        refused = self.now < self.down_until.get(name, 0.0)
        if self.is_cut():
            if self.reach.is_cut_off:
                return  # its requests go to helpers
            refused = self.mode == "refuse"
            if not refused:
                self.unanswered.append((self.now, name))
                return
        if refused:
            self.reach.record_failure(name, self.now)
            return
        slow = self.random.random() < 0.1
        delay_s = SLOW_S if slow else self.random.expovariate(1 / REPLY_S)
        self.pending.append((self.now + delay_s, name, True))

    def _deliver(self):
        due = [entry for entry in self.pending if entry[0] <= self.now]
        self.pending = [entry for entry in self.pending if entry[0] > self.now]
        for _, name, _ in due:
            self.reach.record_reply(name, self.now)
        if self.reach.is_silent(self.now):
            silent = [n for at, n in self.unanswered if self.now - at > SILENT_S]
            self.reach.record_silence(silent, self.now)
        if not self.is_cut():
            self.unanswered.clear()
            if self.reach.is_cut_off:  # the probe of the host gets a reply
                self.reach.record_reply(self.searchers[0], self.now)

    def _note(self):
        is_open = bool(self.found) and self.found[-1][1] is None
        if self.reach.is_cut_off and not is_open:
            self.found.append((self.now, None))
        elif is_open and not self.reach.is_cut_off:
            self.found[-1] = (self.found[-1][0], self.now)


@when(
    "{calls:d} calls go to {searchers:d} searchers with crashes, slow replies and cuts, "
    "seed {seed:d}"
)
def step_random(context, calls, searchers, seed):
    context.calls = RandomCalls(searchers=searchers, seed=seed)
    context.calls.run(calls)
    assert len(context.calls.cuts) >= 3


@then("each cut that lasted 2 s was found, and no host was cut off without one")
def step_found(context):
    cuts, found = context.calls.cuts, context.calls.found
    assert len(found) == len(cuts), (cuts, found)
    for (began, ended), (seen, _) in zip(cuts, found, strict=True):
        assert began <= seen <= ended, (began, seen, ended)


@then("the host was found to reach searchers after each cut")
def step_ended(context):
    for (_, ended), (_, seen) in zip(
        context.calls.cuts, context.calls.found, strict=True
    ):
        assert ended <= seen < ended + 1.0, (ended, seen)


# ---- Helpers --------------------------------------------------------------------------


@given("{hosts:d} hosts of which {cut:d} are cut off")
def step_hosts(context, hosts, cut):
    names = [f"host-{number}" for number in range(hosts)]
    context.reaching = [f"{name}:1" for name in names[cut:]]
    context.helpers = {
        name: choose_helpers(name, context.reaching, ()) for name in names[:cut]
    }


@then(
    "each helper is named by at most {most:d} of them as its first, and each of them "
    "names 3"
)
def step_spread(context, most):
    assert all(len(named) == HELPERS for named in context.helpers.values())
    first = Counter(named[0] for named in context.helpers.values())
    assert max(first.values()) <= most, first.most_common(3)


@then("no host is named that is cut off")
def step_only_reaching(context):
    named = {address for chosen in context.helpers.values() for address in chosen}
    assert named <= set(context.reaching)
