"""Steps for the service that answers hosts' reports on accounts."""

import asyncio

from behave import given, then, when

from plantainstage._errors import InvalidConfigurationError, NotLeaderError
from plantainstage._messages.serving import AccountsRequest, AccountUse
from plantainstage._registry.account_service import AccountService
from plantainstage._registry.machine import PutConfiguration
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import (
    ClientAccount,
    ServingConfiguration,
)

ACME = ClientAccount(name="acme", rate_per_s=25.0, burst=25.0)


class ReplicaModel:
    """A replica whose leadership the scenario decides on."""

    def __init__(self, context):
        self.context = context
        self.is_leader = True
        self.term = 3
        self.leader_address = "own"
        self.confirmed = 0
        self.takes_s = 0.0
        self.refuses = False

    async def confirm_leadership(self):
        self.confirmed += 1
        self.context.now += self.takes_s
        if self.refuses:
            raise NotLeaderError
        return 1


class MachineModel:
    """Holds the newest document."""

    def __init__(self):
        self.newest = PutConfiguration(version=1, document=b"good")


class EventsModel:
    """Keeps the names of events."""

    def __init__(self):
        self.names = []

    def log_event(self, event, **fields):
        self.names.append(event)


@given('an account service of a replica that leads in term 3, with an account "acme"')
def step_service(context):
    context.now = 100.0
    context.decoded = 0
    context.replica = ReplicaModel(context)
    context.machine = MachineModel()
    context.events = EventsModel()
    context.replies = []
    context.number = 0

    def decode(document):
        context.decoded += 1
        if document == b"unreadable":
            raise InvalidConfigurationError(problems=())
        return ServingConfiguration(version=1, accounts=(ACME,))

    context.service = AccountService(
        process="p",
        machine=context.machine,
        decode=decode,
        bounds=QuotaBounds(),
        replica=lambda: context.replica,
        sync_address_of=lambda address: f"sync of {address}",
        events=context.events,
        clock=lambda: context.now,
    )


def report(context, number=None):
    if number is None:
        context.number += 1
        number = context.number
    request = AccountsRequest(
        host_id="host-1",
        process="h",
        number=number,
        uses=(AccountUse(account="acme", asked=1, wanted=1),),
    )
    reply = asyncio.run(context.service.reply(request))
    context.replies.append(reply)
    return reply


@when("a host reports at 0, 0.14 and 0.16 s")
def step_reports(context):
    began_at = context.now
    for after_s in (0.0, 0.14, 0.16):
        context.now = began_at + after_s
        report(context)


@when("leadership is confirmed only after 0.2 s while a host reports")
def step_slow(context):
    context.replica.takes_s = 0.2
    report(context)


@when("a host reports to a replica that {case}")
def step_case(context, case):
    match case:
        case "follows another one":
            context.replica.is_leader = False
            context.replica.leader_address = "other"
        case "is refused confirmation":
            context.replica.refuses = True
        case "is not started yet":
            context.replica = None
    report(context)


@when("a host reports, and again after the replica has led in term 5")
def step_terms(context):
    report(context)
    context.replica.term = 5
    context.now += 1.0
    report(context)


@when("a host reports 20 times, and a new document is committed in between")
def step_documents(context):
    for number in range(20):
        if number == 10:
            context.machine.newest = PutConfiguration(version=2, document=b"newer")
        report(context)
        context.now += 0.3


@when("a document that cannot be read is committed and a host reports")
def step_unreadable(context):
    report(context)
    context.machine.newest = PutConfiguration(version=2, document=b"unreadable")
    report(context)


@when('a host sends one report twice while "acme" is to get 0.4 of its requests')
def step_shares(context):
    context.passed = []
    context.service.on_uses = lambda *arguments: context.passed.append(arguments)
    context.service.room_share = lambda account, now: 0.4
    report(context, number=1)
    report(context, number=1)


@then("leadership was confirmed {count:d} times")
def step_confirmed(context, count):
    assert context.replica.confirmed == count, context.replica.confirmed


@then("each reply has the ledger of term 3")
def step_ledgers(context):
    assert {reply.ledger for reply in context.replies} == {"3-p"}, context.replies


@then("the reply has no ledger and no grants")
def step_no_grants(context):
    reply = context.replies[-1]
    assert not reply.ledger and not reply.grants, reply


@then("it names {leader}")
def step_names(context, leader):
    named = {"the other replica": "sync of other", "no leader": ""}[leader]
    assert context.replies[-1].leader == named, context.replies[-1]


@then("the ledgers of the replies differ")
def step_differ(context):
    assert [reply.ledger for reply in context.replies] == ["3-p", "5-p"]


@then("the second ledger has empty buckets")
def step_empty(context):
    assert context.service.ledger.accounts["acme"].level < 1.0
    assert not context.replies[-1].grants[0].permits, context.replies[-1]


@then("documents were decoded {count:d} times")
def step_decoded(context, count):
    assert context.decoded == count, context.decoded


@then('the ledger still has the quota of "acme", and a line tells it')
def step_kept(context):
    assert context.service.ledger.accounts["acme"].quota == ACME
    assert "accounts_unreadable" in context.events.names


@then("the uses were passed on once")
def step_passed(context):
    assert [host for host, _, _ in context.passed] == ["host-1"], context.passed


@then("both replies have a share of 0.4")
def step_share(context):
    shares = [reply.grants[0].room_share for reply in context.replies]
    assert shares == [0.4, 0.4], shares
