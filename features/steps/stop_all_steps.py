"""Steps for entry hosts that all stop with different drain delays."""

from behave import given, then, when

from support.tier import Tier


@given("2 entry hosts of which the first drains for {first:d} s and the second for 0 s")
def start_hosts(context, first):
    tier = context.tier = Tier(context.resources)
    tier.start_control()
    tier.start_entry("entry-1", "--drain-delay", first)
    tier.start_entry("entry-2", "--drain-delay", 0)
    # With many partitions, each host owns searchers that the other one needs.
    tier.start_searchers(partitions=8, replicas=1)
    tier.wait_until_ready()


@when("both are stopped and the first gets queries until it refuses them")
def stop_both(context):
    tier = context.tier
    context.stopped = [tier.programs["entry-1"], tier.programs["entry-2"]]
    for program in context.stopped:
        program.signal(15)
    context.replies = []
    while not context.replies or context.replies[-1][0] == 200:
        body = {"profile": "rider-gate", "query": len(context.replies)}
        context.replies.append(tier.query(body, 0))
    context.exit_codes = [program.process.wait(60) for program in context.stopped]


@then('it has answered every query in full until it refused one with "{code}"')
def check_served(context, code):
    *answers, (_, refusal) = context.replies
    assert refusal["error"] == code, (len(answers), refusal)
    assert answers, "no query came before the refusal"
    assert all(body["coverage"]["fraction"] == 1.0 for _, body in answers), answers


@then("both have stopped with exit code 0 and without a wait that timed out")
def check_stopped(context):
    assert context.exit_codes == [0, 0], context.exit_codes
    for program in context.stopped:
        log = program.log_path.read_text(encoding="utf-8")
        assert "not finished in time" not in log, log[-2000:]
