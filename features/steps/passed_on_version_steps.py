"""Steps for the versions of hosts that pass requests on to each other."""

import msgspec
from behave import then, when

from plantainstage._gateway.relay_decisions import relay_refusal_reason
from plantainstage._gateway.relay_headers import RelayOrigin
from plantainstage._serving.configuration import OneOf, Route, RouteKind, Share

ROUTE = Route(
    name="r",
    host="a.example",
    path_prefix="/x/",
    kind=RouteKind.IDEMPOTENT,
    timeout_ms=1000,
    aim_ms=100,
    target=OneOf(shares=(Share(service="cards", weight=1),)),
)
ROUTES = {
    "the route": ROUTE,
    "another route": msgspec.structs.replace(ROUTE, timeout_ms=2000),
    "no route": None,
}


@when("a helper with version {helper:d} and {name} is asked from version {origin:d}")
def step_ask(context, helper, name, origin):
    asking = RelayOrigin(host_id="h", version=origin, route=ROUTE.digest, counted=False)
    context.reason = relay_refusal_reason(asking, version=helper, route=ROUTES[name])


@then("it takes the request")
def step_takes(context):
    assert context.reason is None, context.reason


@then("it refuses as {reason} the request")
def step_refuses(context, reason):
    assert context.reason == reason, context.reason
