"""Steps for the operator's command and its exit codes."""

import shlex

from behave import given, then, when

from plantainstage.messages import control
from support.control_processes import ControlProcesses, ScriptedControl
from support.processes import wait_until
from support.tier import CONTROL

NUMBER = 7


@given('a control process with the profile "{name}" as change 1')
def start_control(context, name):
    context.group = ControlProcesses(context.resources)
    context.group.start_control()
    code, report = context.group.ctl(
        *("profile", "publish", name, "--index", "turns", "--deadline-ms", "80"),
        *("--operator", "ada"),
    )
    assert code == 0 and report["number"] == 1, report


def start_scripted(context, reply):
    def answer(request):
        if isinstance(request, control.QueryNextNumber):
            return control.NextNumber(number=NUMBER, version=3)
        return reply(request)

    context.group = ControlProcesses(context.resources)
    context.scripted = ScriptedControl(context.resources, answer)
    context.group.control_addresses = [context.scripted.address]


@given('a scripted control replica that accepts changes which "{host}" lacks')
def script_lacking(context, host):
    def reply(request):
        if isinstance(request, control.SubmitChange):
            return control.ChangeVerdict(
                verdict=control.Verdict(
                    change=request.change,
                    kind=control.VerdictKind.ACCEPTED,
                    version=4,
                )
            )
        return control.Status(
            version=4,
            asked_version=request.version,
            commit_index=1,
            term=1,
            settled=True,
            lacking=(host,),
            entries=(),
            replicas=(),
        )

    start_scripted(context, reply)


@given("a scripted control replica whose replies to changes are lost")
def script_lost(context):
    start_scripted(context, lambda request: None)


@given("a scripted control replica that replies with an unknown outcome")
def script_unknown(context):
    start_scripted(context, lambda request: control.OutcomeUnknown())


@when("an operator runs {arguments} for {seconds:d} s")
def run_command_limited(context, arguments, seconds):
    context.code, context.report = context.group.ctl(
        *shlex.split(arguments), timeout_s=seconds
    )


@when("an operator runs {arguments}")
def run_command(context, arguments):
    context.code, context.report = context.group.ctl(*shlex.split(arguments))


@then('the command exits with {code:d} and reports "{outcome}"')
def check_outcome(context, code, outcome):
    assert (context.code, context.report["outcome"]) == (code, outcome), context.report


@then('the report names "{host}" and the accepted change')
def check_lacking(context, host):
    assert context.report["lacking"] == [host], context.report
    assert context.report["number"] == NUMBER and context.report["version"] == 4


@then("all changes sent were the same, and more than one")
def check_resends(context):
    sent = [
        request.change
        for request in context.scripted.requests
        if isinstance(request, control.SubmitChange)
    ]
    assert len(sent) > 1 and len({item.number for item in sent}) == 1, sent
    assert all(item == sent[0] for item in sent)


@then("the remedy names the number to send again")
def check_remedy(context):
    assert f"--number {NUMBER}" in context.report["remedy"], context.report
    assert context.report["accepted_known"] is False


@when("another control process starts on its address")
def start_second(context):
    address = context.group.control_addresses[0]
    context.second = context.group.start("second", CONTROL, "--listen", address)


@then("it exits with 2 and names the address in use and a remedy")
def check_address_in_use(context):
    wait_until(
        lambda: context.second.process.poll() is not None,
        what="the second process ends",
    )
    assert context.second.process.returncode == 2
    text = context.second.log_path.read_text(encoding="utf-8")
    address = context.group.control_addresses[0]
    assert f"error: --listen: '{address}' is not valid" in text, text
    assert "choose another port" in text and "Traceback" not in text, text
