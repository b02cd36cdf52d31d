"""Starts routed requests: to one service, or to all shards."""

from collections.abc import Callable

from plantainstage._gateway.answers import Answer
from plantainstage._gateway.gather_request import GatherRequest
from plantainstage._gateway.messages import CallerRequest
from plantainstage._gateway.single_request import SingleRequest
from plantainstage._serving.configuration import AllOf, OneOf, Route


def refusal_of_share(*, router, route: Route, request: CallerRequest) -> Answer | None:
    """Returns the answer to a request whose account is over its share, or None."""
    if router.room_gate is None:
        return None
    return router.room_gate.refusal(route, request)


def start_request(*, router, route: Route, request: CallerRequest, reply: Callable):
    """Starts a request on its route and returns it."""
    match route.target:
        case OneOf():
            kind = SingleRequest
        case AllOf():
            kind = GatherRequest
    routed = kind(router=router, route=route, request=request, reply=reply)
    routed.start()
    return routed
