"""Helpers for scenarios that drive an owner queue without sockets."""

from plantainstage._limits.owner_queue import StartExchange
from plantainstage._messages.forward import SubRequest


def sub_request(key, profile, *, idempotent=True, epoch=1, remaining_ms=60_000.0):
    return SubRequest(
        sub_request_id=key,
        request_id=key,
        profile=profile,
        upstream_id="r1",
        epoch=epoch,
        index="i",
        snapshot="s1",
        partition="p1",
        fingerprint=key,
        query=b"1",
        remaining_ms=remaining_ms,
        idempotent=idempotent,
    )


def submit(context, item):
    context.actions += context.queue.submit("e1", item, context.now)


def started(context):
    return [
        action.sub_request
        for action in context.actions
        if isinstance(action, StartExchange)
    ]
