"""Scatters a request over one snapshot and gathers the answers."""

import asyncio
import random
import time
import uuid

import msgspec

from plantainstage._errors import ExchangeError, RefusalError
from plantainstage._messages.callers import AnswerBody, Coverage, RunState
from plantainstage._messages.upstreams import SearchAnswer, SearchBody
from plantainstage._transport.http_pool import HttpConnection

CONNECT_TIMEOUT_S = 1.0
_answer_decoder = msgspec.json.Decoder(SearchAnswer)


class Scatter:
    """Sends each partition's sub-request to a random replica, waits for all."""

    def __init__(self):
        self.idle = {}

    async def run(self, *, configuration, profile, body):
        """Returns an AnswerBody or raises RefusalError."""
        started = time.monotonic()
        manifest = newest_manifest(configuration, profile.index)
        replicas = replicas_by_partition(configuration, manifest)
        request_id = body.request_id or uuid.uuid4().hex
        answers = {}
        async with asyncio.TaskGroup() as group:
            for partition, upstreams in replicas.items():
                group.create_task(
                    self._ask(
                        upstream=random.choice(upstreams),
                        manifest=manifest,
                        partition=partition,
                        body=body,
                        request_id=request_id,
                        deadline=started + profile.deadline_ms / 1000,
                        answers=answers,
                    )
                )
        answered = sum(manifest.documents[partition] for partition in answers)
        total = sum(manifest.documents.values())
        if answered < profile.minimum_coverage * total:
            raise RefusalError(
                code="coverage_not_met",
                message=f"{answered} of {total} documents answered in time.",
                remedy="Send the request again.",
                run=RunState.UNKNOWN,
                http_status=503,
            )
        return AnswerBody(
            request_id=request_id,
            profile=profile.name,
            index=profile.index,
            snapshot=manifest.snapshot,
            coverage=Coverage(
                documents_answered=answered,
                documents_total=total,
                fraction=answered / total,
                partitions_missing=tuple(
                    sorted(set(manifest.documents) - set(answers))
                ),
            ),
            elapsed_ms=(time.monotonic() - started) * 1000,
            hits=dict(sorted(answers.items())),
        )

    async def _ask(
        self, *, upstream, manifest, partition, body, request_id, deadline, answers
    ):
        remaining = deadline - time.monotonic()
        search = SearchBody(
            request_id=request_id,
            sub_request_id=uuid.uuid4().hex,
            index=manifest.index,
            snapshot=manifest.snapshot,
            partition=partition,
            query=body.query,
            remaining_ms=remaining * 1000,
        )
        idle = self.idle.setdefault(upstream.address, [])
        try:
            async with asyncio.timeout(remaining):
                if idle:
                    connection = idle.pop()
                else:
                    connection = await HttpConnection.open(
                        address=upstream.address, timeout_s=CONNECT_TIMEOUT_S
                    )
                reply = await connection.post(
                    path="/v1/search", body=msgspec.json.encode(search)
                )
        except (TimeoutError, ExchangeError):
            return
        idle.append(connection)
        if reply.status == 200:
            answer = _answer_decoder.decode(reply.body)
            if answer.snapshot == manifest.snapshot:
                answers[partition] = answer.hits


def newest_manifest(configuration, index):
    """Returns the manifest with the highest sequence; raises RefusalError."""
    manifests = [item for item in configuration.manifests if item.index == index]
    if not manifests:
        raise RefusalError(
            code="index_unavailable",
            message=f"No searcher has announced a snapshot of index {index!r}.",
            remedy="Check that the searchers of this index run and announce.",
            http_status=503,
        )
    return max(manifests, key=lambda manifest: manifest.sequence)


def replicas_by_partition(configuration, manifest):
    """Maps each partition of the manifest to the upstreams that hold it."""
    replicas = {}
    for upstream in configuration.upstreams:
        for holding in upstream.holdings:
            if holding.snapshot == manifest.snapshot:
                for partition in holding.partitions:
                    replicas.setdefault(partition, []).append(upstream)
    return replicas
