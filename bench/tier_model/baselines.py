"""Baselines: a random replica of each partition, with or without a hedge."""

from collections import deque

import msgspec

from plantainstage._limits.actions import ReturnResult, StartExchange
from plantainstage._messages.callers import AnswerBody, Coverage
from plantainstage._messages.forward import SubOutcome, SubRequest, SubResult
from plantainstage._routing.actions import FinishRequest, SendSubRequest, WakeAt

REQUEST_TIMEOUT_S = (
    2.0  # far beyond the deadline, since a baseline waits for all answers
)


class BaselineGather:
    """Sends a request to all partitions and waits for an answer of each."""

    def __init__(self, *, policy, record, body, profile, now):
        self.policy = policy
        self.record = record
        self.body = body
        self.profile = profile
        self.arrived_at = now
        self.snapshot = policy.snapshot
        self.results = {}
        self.finished = False

    def start(self, now):
        """Sends a sub-request to one random replica of each partition."""
        actions = []
        for partition, replicas in self.policy.replicas.items():
            if replicas:
                self._send(partition, replicas, actions, extra=False)
        self.timeout_at = now + REQUEST_TIMEOUT_S
        hedge_s = self.policy.hedge_s
        wake = self.timeout_at if hedge_s is None else now + hedge_s
        actions.append(WakeAt(time=wake))
        return actions

    def on_result(self, result, now):
        """Stores the first answer for each partition."""
        if self.finished or result.outcome is not SubOutcome.ANSWERED:
            return []
        self.results.setdefault(result.partition, result)
        if len(self.results) == len(self.snapshot.documents):
            return [self._finish(now)]
        return []

    def on_timer(self, now):
        """Hedges the missing partitions once; finishes the request at the time-out."""
        if self.finished:
            return []
        if now >= self.timeout_at:
            return [self._finish(now)]
        actions = []
        for partition, replicas in self.policy.replicas.items():
            if partition not in self.results and replicas:
                self._send(partition, replicas, actions, extra=True)
        actions.append(WakeAt(time=self.timeout_at))
        return actions

    def _send(self, partition, replicas, actions, *, extra):
        policy = self.policy
        upstream_id, owner = policy.random.choice(replicas)
        policy.count += 1
        actions.append(
            SendSubRequest(
                owner_id=owner,
                sub_request=SubRequest(
                    sub_request_id=f"{policy.prefix}.{policy.count}",
                    request_id=self.record.request_id,
                    profile=self.profile.name,
                    upstream_id=upstream_id,
                    epoch=1,
                    index=self.snapshot.index,
                    snapshot=self.snapshot.snapshot,
                    partition=partition,
                    fingerprint="",
                    query=bytes(self.body.query),
                    remaining_ms=REQUEST_TIMEOUT_S * 1000,
                    idempotent=True,
                    extra=extra,
                ),
            )
        )

    def _finish(self, now):
        self.finished = True
        documents = self.snapshot.documents
        answered = sum(item.documents for item in self.results.values())
        total = sum(documents.values())
        return FinishRequest(
            answer=AnswerBody(
                request_id=self.record.request_id,
                profile=self.profile.name,
                index=self.snapshot.index,
                snapshot=self.snapshot.snapshot,
                coverage=Coverage(
                    documents_answered=answered,
                    documents_total=total,
                    fraction=answered / total,
                    partitions_missing=tuple(
                        name for name in documents if name not in self.results
                    ),
                ),
                elapsed_ms=(now - self.arrived_at) * 1000,
                hits={
                    name: msgspec.Raw(item.hits) for name, item in self.results.items()
                },
            )
        )


class BaselineQueue:
    """A first-in first-out queue within the slots of a searcher."""

    def __init__(self, *, spec):
        self.spec = spec
        self.queue = deque()
        self.running = {}
        self.idle = []
        self.last_connection_id = 0

    def begin_ownership(self, *, epoch):
        """Baselines ignore epochs."""

    def submit(self, requester_id, sub_request, now):
        """Queues a sub-request."""
        self.queue.append((requester_id, sub_request))
        return self._dispatch(now)

    def cancel(self, sub_request_id, now):
        """Baselines ignore cancellation."""
        return []

    def on_timer(self, now):
        """Baselines set no timers here."""
        return []

    def connection_lost(self, connection_id, now):
        """Forgets an idle connection that the searcher closed."""
        if connection_id in self.idle:
            self.idle.remove(connection_id)
        return []

    def finished(self, result, now, *, connection_usable):
        """Returns the result and starts the next sub-request."""
        requester_id, sub_request, connection_id = self.running.pop(
            result.sub_request_id
        )
        if connection_usable:
            self.idle.append(connection_id)
        result = SubResult(
            sub_request_id=result.sub_request_id,
            upstream_id=self.spec.upstream_id,
            partition=sub_request.partition,
            outcome=result.outcome,
            snapshot=result.snapshot,
            documents=result.documents,
            hits=result.hits,
        )
        return [
            *self._dispatch(now),
            ReturnResult(requester_id=requester_id, result=result),
        ]

    def _dispatch(self, now):
        actions = []
        while self.queue and len(self.running) < self.spec.slots:
            requester_id, sub_request = self.queue.popleft()
            must_open = not self.idle
            if must_open:
                self.last_connection_id += 1
                self.idle.append(self.last_connection_id)
            connection_id = self.idle.pop()
            self.running[sub_request.sub_request_id] = (
                requester_id,
                sub_request,
                connection_id,
            )
            actions.append(
                StartExchange(
                    requester_id=requester_id,
                    sub_request=sub_request,
                    deadline=now + sub_request.remaining_ms / 1000,
                    connection_id=connection_id,
                    open_connection=must_open,
                )
            )
        return actions
