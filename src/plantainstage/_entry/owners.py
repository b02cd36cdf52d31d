"""The searchers that this entry host owns or is still releasing."""

from collections.abc import Callable

from loguru import logger

from plantainstage._entry.searcher_owner import SearcherOwner
from plantainstage._messages.configuration import UpstreamState
from plantainstage._messages.forward import SubOutcome, SubResult


class SearcherOwners:
    """Dispatches sub-requests to the SearcherOwner of their searcher.

    ``on_result`` is called with the requester's entry id and the SubResult.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        lease,
        quarantines,
        budgets,
        on_result: Callable,
        on_crashes: Callable,
        on_probe: Callable,
    ):
        self.entry_id = entry_id
        self.lease = lease
        self.quarantines = quarantines
        self.budgets = budgets
        self.on_result = on_result
        self.on_crashes = on_crashes
        self.on_probe = on_probe
        self.owned = {}
        self.releasing_owners = []
        self.owner_by_sub_request = {}  # unfinished ones only

    # ---- Configuration -------------------------------------------------------

    def apply(self, configuration):
        """Starts to own the searchers assigned to this host and releases others."""
        weights = {item.name: item.weight for item in configuration.profiles}
        upstreams = {item.upstream_id: item for item in configuration.upstreams}
        active_ownerships = {
            item.upstream_id: item
            for item in configuration.ownerships
            if item.entry_id == self.entry_id and item.active
        }
        for upstream_id in tuple(self.owned):
            if upstream_id not in active_ownerships or upstream_id not in upstreams:
                self._start_release(upstream_id)
        for upstream_id, ownership in active_ownerships.items():
            upstream = upstreams.get(upstream_id)
            if upstream is not None:
                self._ensure_owner(upstream, ownership, weights)
        self.drop_released()

    def _ensure_owner(self, upstream, ownership, weights):
        owner = self.owned.get(upstream.upstream_id)
        if owner is not None and owner.upstream.address != upstream.address:
            self._start_release(upstream.upstream_id)
            owner = None
        if owner is None:
            owner = SearcherOwner(
                upstream=upstream,
                lease=self.lease,
                quarantines=self.quarantines,
                budgets=self.budgets,
                weights=weights,
                on_result=self._on_owner_result,
                on_crashes=self.on_crashes,
                on_probe=self.on_probe,
            )
            self.owned[upstream.upstream_id] = owner
        owner.update(upstream)
        owner.queue.set_weights(weights)
        if upstream.state is UpstreamState.SERVING:
            owner.begin_ownership(ownership.epoch)
        else:
            # Queued sub-requests must not be sent once the change is in force.
            # Their requesters get them back as not sent and use another replica.
            owner.end_ownership()

    def _start_release(self, upstream_id):
        owner = self.owned.pop(upstream_id)
        owner.end_ownership()
        self.releasing_owners.append(owner)

    def releasing(self):
        """Returns the searchers that this host no longer owns but has not released."""
        self.drop_released()
        return tuple(
            sorted({owner.upstream.upstream_id for owner in self.releasing_owners})
        )

    def drop_released(self):
        """Drops searchers on which no sub-request of this host can still run."""
        for owner in self.releasing_owners:
            if owner.released:
                owner.abort()
                logger.debug("searcher released", searcher=owner.upstream.upstream_id)
        self.releasing_owners = [
            owner for owner in self.releasing_owners if not owner.released
        ]

    def release_all(self):
        """Starts to release all searchers, at the end of a planned stop."""
        for upstream_id in tuple(self.owned):
            self._start_release(upstream_id)

    def open_missing_connections(self):
        """Opens missing connections of all owned searchers."""
        for owner in self.owned.values():
            owner.open_missing_connections()

    @property
    def busy(self):
        """Whether any sub-request is queued or running."""
        return bool(self.owner_by_sub_request)

    def abort(self):
        """Closes all sockets at the end of the process."""
        for owner in (*self.owned.values(), *self.releasing_owners):
            owner.abort()

    # ---- Sub-requests --------------------------------------------------------

    def submit(self, requester_id, sub_request):
        """Queues a sub-request; ``on_result`` is called with its result."""
        owner = self.owned.get(sub_request.upstream_id)
        if owner is None:
            self.on_result(requester_id, not_sent(sub_request, "not_owner"))
            return
        self.owner_by_sub_request[sub_request.sub_request_id] = owner
        owner.submit(requester_id, sub_request)

    def cancel(self, sub_request_id):
        """Cancels a sub-request that its requester no longer needs."""
        owner = self.owner_by_sub_request.get(sub_request_id)
        if owner is not None:
            owner.cancel(sub_request_id)

    def _on_owner_result(self, requester_id, result):
        self.owner_by_sub_request.pop(result.sub_request_id, None)
        self.on_result(requester_id, result)


def not_sent(sub_request, reason):
    """Returns the result of a sub-request of which no byte was sent."""
    return SubResult(
        sub_request_id=sub_request.sub_request_id,
        upstream_id=sub_request.upstream_id,
        partition=sub_request.partition,
        outcome=SubOutcome.NOT_SENT,
        reason=reason,
    )
