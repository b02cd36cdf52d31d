"""Steps for silent network partitions between real processes."""

import asyncio
import time

from behave import given, then, when

from plantainstage._transport.rpc import RpcClient
from plantainstage.messages import configuration, control
from support.callers import Callers
from support.linked_tier import LinkedTier
from support.processes import wait_until

DEADLINE_MS = 5000


def profile_change(number):
    return control.PublishProfile(
        profile=configuration.Profile(
            name=f"profile-{number}", index="ditch-turns", deadline_ms=DEADLINE_MS
        )
    )


def make_change(context, number, *, addresses=None):
    tier = context.linked
    addresses = addresses or tier.control_addresses
    while True:
        free = tier.call(control.QueryNextNumber(), addresses=addresses).number
        change = control.Change(
            number=free, operator="test", body=profile_change(number)
        )
        reply = tier.call(control.SubmitChange(change=change), addresses=addresses)
        if isinstance(reply, control.ChangeVerdict):
            context.verdicts.append(reply.verdict)
            return reply.verdict


def addresses_without(tier, name):
    own = tier.hosts[name].addresses
    return tuple(a for a in tier.control_addresses if a not in own)


def replica_statuses(tier, addresses=None):
    status = tier.call(control.QueryStatus(), addresses=addresses)
    return status.commit_index, status.replicas


@given(
    "a linked tier of {controls:d} control replicas, {entries:d} entry hosts and {partitions:d} partitions of {replicas:d} searchers"
)
def start_linked_tier(context, controls, entries, partitions, replicas):
    context.verdicts = []
    context.linked = LinkedTier(
        context.resources,
        controls=controls,
        entries=entries,
        partitions=partitions,
        replicas=replicas,
    )
    context.linked.start()
    context.linked.wait_until_ready()
    verdict = make_change(context, 0)
    context.linked.wait_until_in_force(verdict.version)
    for name in context.linked.entries:
        context.linked.wait_until_answered(name, "profile-0")


# ---- Control replicas ----------------------------------------------------------


def choose_replica(context, role):
    tier = context.linked
    leader = wait_until(tier.leader, what="a leader is known")
    context.cut = (
        leader
        if role == "leader"
        else next(name for name in tier.controls if name != leader)
    )
    context.reachable = addresses_without(tier, context.cut)


@when("the control {role} is cut off silently from all other hosts")
def cut_off_replica(context, role):
    choose_replica(context, role)
    context.linked.cut_off(context.cut)


@when('the control leader and "{entry}" are cut off together')
def cut_off_both(context, entry):
    choose_replica(context, "leader")
    tier = context.linked
    for name in (context.cut, entry):
        outside = [other for other in tier.hosts if other not in (context.cut, entry)]
        tier.cut_off(name, outside)


@when("{count:d} changes are made through the other control replicas")
def make_changes(context, count):
    for number in range(1, count + 1):
        make_change(context, number, addresses=context.reachable)
    context.newest = f"profile-{count}"


@then("both entry hosts answer in full under the newest change")
def check_answers(context):
    for name in context.linked.entries:
        context.linked.wait_until_answered(name, context.newest)


@then("the cut-off replica accepts no change and shows no status")
def check_cut_off_replica(context):
    address = context.linked.hosts[context.cut].addresses[0]
    verdict = context.verdicts[-1]
    change = control.Change(
        number=verdict.change.number + 1, operator="test", body=profile_change(999)
    )
    for request in (control.SubmitChange(change=change), control.QueryStatus()):
        reply = call_once(address, request)
        assert reply is None or isinstance(reply, control.NotLeader), reply


def call_once(address, request):
    """Returns the reply of this replica alone, or None if it does not reply."""

    async def run():
        client = RpcClient(address=address)
        try:
            return await client.call(request, timeout_s=1)
        except TimeoutError:
            return None
        finally:
            client.close()

    return asyncio.run(run())


@when("the cut-off replica is connected again")
def heal_replica(context):
    for name in context.linked.hosts:
        context.linked.heal(name)


@then(
    "all {count:d} control replicas hold the same log and every change has its first verdict"
)
def check_same_log(context, count):
    tier = context.linked

    def caught_up():
        commit_index, replicas = replica_statuses(tier)
        return len(replicas) == count and all(
            item.match_index >= commit_index for item in replicas
        )

    wait_until(caught_up, what="all replicas hold the committed log")
    for verdict in context.verdicts:
        reply = tier.call(control.SubmitChange(change=verdict.change))
        assert isinstance(reply, control.ChangeVerdict), reply
        assert reply.verdict == verdict, (reply.verdict, verdict)


# ---- Entry hosts -----------------------------------------------------------------


@when('"{entry}" is cut off silently from all control replicas')
def cut_off_entry(context, entry):
    context.linked.cut_off(entry, context.linked.controls)


@when('"{entry}" is connected to control again')
def heal_entry(context, entry):
    context.linked.heal(entry, context.linked.controls)


def send_numbered(context, entry):
    context.sent = getattr(context, "sent", 0) + 1
    request_id = f"numbered-{context.sent}"
    status, body = context.linked.query(
        entry, {"profile": "profile-0", "query": {}, "request_id": request_id}
    )
    return request_id, status, body


@then('"{entry}" starts to refuse with "{code}" and "{run}"')
def check_refuses(context, entry, code, run):
    context.refused = []

    def refuses():
        request_id, status, body = send_numbered(context, entry)
        if status == 200:
            return False
        if body["run"] == "not_run":
            context.refused.append(request_id)
        return (body["error"], body["run"]) == (code, run)

    wait_until(refuses, what=f"{entry} refuses with {code}")
    assert not context.linked.ready(entry)


@then('no request that "{entry}" refuses as not run has reached a searcher')
def check_not_run(context, entry):
    for _ in range(50):
        request_id, _, body = send_numbered(context, entry)
        assert body["error"] == "configuration_unconfirmed", body
        context.refused.append(request_id)
    ran = {run["request_id"] for run in context.linked.runs()}
    assert not ran & set(context.refused), ran & set(context.refused)


@then(
    '"{entry}" stays unready and refuses while {count:d} changes are made on the other side'
)
def check_stays_unready(context, entry, count):
    for number in range(1, count + 1):
        make_change(context, number, addresses=context.reachable)
        _, _, body = send_numbered(context, entry)
        assert body.get("error") == "configuration_unconfirmed", body
        assert not context.linked.ready(entry)


@then('"{entry}" answers in full again')
def check_answers_again(context, entry):
    context.linked.wait_until_answered(entry, "profile-0")


# ---- An upstream taken out ----------------------------------------------------------


@given("callers that send queries continuously to every entry host")
def start_callers(context):
    context.callers = Callers(context.linked.entry_addresses, profile="profile-0")
    context.resources.callback(context.callers.stop)

    def all_received():
        return all(item["received"] for item in context.linked.searchers())

    wait_until(all_received, what="every searcher has received a sub-request")


@when('the searcher that "{entry}" owns is taken out')
def take_out(context, entry):
    tier = context.linked
    reply = tier.call(control.QueryConfiguration())
    context.upstream = next(
        item.upstream_id
        for item in reply.configuration.ownerships
        if item.entry_id == entry
    )
    verdict = tier.submit(control.TakeUpstreamOut(upstream_id=context.upstream))
    context.accepted_at = time.monotonic()
    tier.wait_until_in_force(verdict.version)
    context.in_force_at = time.monotonic()


def late_runs(context, since):
    # Replies from the other hosts show that there are still sub-requests to send.
    answered = len(context.callers.replies)
    wait_until(
        lambda: len(context.callers.replies) > answered + 100,
        what="100 more requests are answered",
    )
    return [
        run["started"] - since
        for run in context.linked.runs()
        if run["upstream_id"] == context.upstream and run["started"] > since
    ]


@then(
    "the searcher's own record has no work that started after the change was in force"
)
def check_none_after_in_force(context):
    late = late_runs(context, context.in_force_at)
    assert not late, late


@then("none that started more than {limit:d} s after the change was accepted")
def check_none_after_limit(context, limit):
    late = late_runs(context, context.accepted_at + limit)
    assert not late, late


# ---- Silent connections ----------------------------------------------------------------


def silence_links(context, others_of):
    tier = context.linked
    pairs = [(name, other) for name in tier.entries for other in others_of(name)]
    context.silenced = [
        link for pair in pairs for link in tier.links.get(pair, ()) if link.opened
    ]
    context.opened = [link.opened for link in context.silenced]
    assert context.silenced
    for name in tier.entries:
        tier.silence(name, others_of(name))


@when("all connections between entry hosts go silent while new ones work")
def silence_entries(context):
    tier = context.linked
    silence_links(context, lambda name: [e for e in tier.entries if e != name])


@when("all connections between entry hosts and control go silent while new ones work")
def silence_control(context):
    silence_links(context, lambda name: context.linked.controls)


@then("both entry hosts answer in full through new connections to each other")
def check_replaced(context):
    for name in context.linked.entries:
        context.linked.wait_until_answered(name, "profile-0")
    for link, opened in zip(context.silenced, context.opened, strict=True):
        assert link.opened > opened, (link.target, opened)


@then("both entry hosts apply a change made after that")
def check_change_applied(context):
    verdict = make_change(context, 1)
    for name in context.linked.entries:
        context.linked.wait_until_answered(name, "profile-1")
    context.linked.wait_until_in_force(verdict.version)
