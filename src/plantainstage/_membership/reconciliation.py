"""Derives the commands that reconcile the state with the leader's view.

The functions read the state and the view and return commands; the control service
proposes them.
"""

from plantainstage._membership import commands
from plantainstage._membership.heartbeats import HEARTBEAT_LEASE_S, LOST_RETENTION_S
from plantainstage._membership.leader import PlanKey
from plantainstage._membership.leases import CLOCK_RATE_MARGIN, process_of
from plantainstage._membership.planner import (
    PlannedHost,
    PlannedSearcher,
    plan_owners,
)
from plantainstage._membership.quarantines import next_expiry_ms
from plantainstage._membership.queries import longest_deadline_ms, partitions_of
from plantainstage._membership.state import EntryProcess
from plantainstage._messages.configuration import UpstreamState

EXPIRED_RETENTION_S = 3600.0


def plan_commands(*, state, view, now, now_ms):
    """Returns the commands to propose now; usually there are none.

    ``now`` is the leader's monotonic time in seconds, ``now_ms`` Unix time.
    """
    view.tick(now)
    planned = [
        _lost_upstreams(state, view, now),
        _forgotten_upstreams(state, view, now),
        *_expired_entries(state, view, now),
        _owner_moves(state, view, now),
        _forgotten_deadlines(state, view, now),
        _expired_quarantines(state, now_ms),
    ]
    _prune_view(state, view, now)
    return [command for command in planned if command is not None]


def _lost_upstreams(state, view, now):
    lost = tuple(
        _upstream_process(record)
        for name, record in sorted(state.upstreams.items())
        if not record.lost and view.heartbeats.silence_s(name, now) >= HEARTBEAT_LEASE_S
    )
    return commands.MarkUpstreamsLost(upstreams=lost) if lost else None


def _forgotten_upstreams(state, view, now):
    forgotten = tuple(
        _upstream_process(record)
        for name, record in sorted(state.upstreams.items())
        if record.lost and view.heartbeats.silence_s(name, now) >= LOST_RETENTION_S
    )
    return commands.ForgetUpstreams(upstreams=forgotten) if forgotten else None


def _upstream_process(record):
    return commands.UpstreamProcess(
        upstream_id=record.announced.upstream_id,
        incarnation=record.announced.incarnation,
    )


def _expired_entries(state, view, now):
    if not view.may_expire_hosts(now):
        return []
    return [
        commands.RemoveEntry(entry_id=entry.entry_id, incarnation=entry.incarnation)
        for _, entry in sorted(state.entries.items())
        if not view.leases.may_hold(process_of(entry), now)
    ]


def _expired_quarantines(state, now_ms):
    next_ms = next_expiry_ms(state)
    if next_ms is not None and next_ms <= now_ms:
        return commands.ExpireQuarantines(now_ms=now_ms)
    return None


def _forgotten_deadlines(state, view, now):
    """Returns the removal of retired deadlines with which no request can be running."""
    for version in sorted(state.retired_deadlines):
        if version in view.in_force_since:
            continue
        if not view.leases.in_force(version=version, now=now):
            break
        view.in_force_since[version] = now
    done = 0
    for version, deadline_ms in sorted(state.retired_deadlines.items()):
        since = view.in_force_since.get(version)
        if since is None or now < since + _deadline_s(deadline_ms):
            break
        done = version
    return commands.ForgetDeadlines(up_to_version=done) if done else None


def _deadline_s(deadline_ms):
    """Returns a deadline in seconds, with the margin for the host's clock rate."""
    return deadline_ms / 1000 * (1 + CLOCK_RATE_MARGIN)


def _prune_view(state, view, now):
    kept = {process_of(entry) for entry in state.entries.values()}
    for record in state.ownerships.values():
        kept.update(
            process for process in (record.owner, record.predecessor) if process
        )
    view.leases.remove_expired(kept=kept, before=now - EXPIRED_RETENTION_S)
    view.heartbeats.remove_unknown(state.upstreams)
    for version in tuple(view.in_force_since):
        if version not in state.retired_deadlines:
            del view.in_force_since[version]
    for request_id in tuple(view.claim_deadlines):
        if view.claim_deadlines[request_id] < now - EXPIRED_RETENTION_S:
            del view.claim_deadlines[request_id]


# ---- Ownership ----------------------------------------------------------------


def _owner_moves(state, view, now):
    releases = _releases(state, view, now)
    assignments = ()
    if view.leases.settled(now):
        assignments = _assignments(state, view, now)
    if not releases and not assignments:
        return None
    return commands.MoveOwners(assignments=assignments, releases=releases)


def predecessor_done(*, record, upstream_id, state, view, now):
    """Whether a previous owner can have no more work on a searcher.

    Either it has reported so, or its last lease from before the move has expired and
    the longest deadline has passed since: it may have sent until the expiry, and no
    request that it sent has any time left after the deadline.
    """
    if view.leases.released(
        process=record.predecessor,
        upstream_id=upstream_id,
        fenced_version=record.fenced_version,
    ):
        return True
    end = view.leases.expiry_before_version(record.predecessor, record.fenced_version)
    return now >= end + _deadline_s(longest_deadline_ms(state))


def _releases(state, view, now):
    return tuple(
        commands.Release(upstream_id=name, epoch=record.epoch)
        for name, record in sorted(state.ownerships.items())
        if record.predecessor is not None
        and predecessor_done(
            record=record, upstream_id=name, state=state, view=view, now=now
        )
    )


def _assignments(state, view, now):
    """Returns the assignments that bring the ownerships closer to the plan.

    A searcher without a live owner gets one at once. The others move one replica of
    a partition at a time, and only while no replica of it lacks an active owner, so
    that the partition stays available.
    """
    live = {process_of(lease.entry): lease for lease in view.leases.granted_leases(now)}
    registered = {process_of(entry) for entry in state.entries.values()}
    live = {process: lease for process, lease in live.items() if process in registered}
    hosts = [process.entry_id for process, lease in live.items() if not lease.draining]
    if not hosts:
        return ()
    plan = _cached_plan(state, view, tuple(sorted(hosts)))
    moving = _partitions_without_active_owner(state, live)
    assignments = []
    for name in sorted(plan):
        record = state.ownerships.get(name)
        partitions = partitions_of(state.upstreams[name].announced)
        planned_owner = EntryProcess(
            entry_id=plan[name],
            incarnation=state.entries[plan[name]].incarnation,
        )
        if record is not None:
            if record.owner in live and record.predecessor is not None:
                continue
            if record.owner == planned_owner or record.predecessor == planned_owner:
                continue
            if record.owner in live and partitions & moving:
                continue
        moving |= partitions
        assignments.append(
            commands.Assignment(
                upstream_id=name,
                entry_id=planned_owner.entry_id,
                expected_epoch=record.epoch if record is not None else 0,
            )
        )
    return tuple(assignments)


def _cached_plan(state, view, hosts):
    """Returns the plan, which is recomputed only when its inputs may have changed."""
    key = PlanKey(version=state.version, hosts=hosts)
    if view.plan_key != key:
        view.plan = plan_owners(
            searchers=planned_searchers(state), hosts=planned_hosts(state, hosts)
        )
        view.plan_key = key
    return view.plan


def planned_searchers(state):
    """Returns the registered searchers as input of the ownership plan."""
    return [
        PlannedSearcher(
            upstream_id=name,
            data_centre=record.announced.data_centre,
            partitions=frozenset(partitions_of(record.announced)),
        )
        for name, record in sorted(state.upstreams.items())
    ]


def planned_hosts(state, entry_ids):
    """Returns the entry hosts with these ids as input of the ownership plan."""
    return [
        PlannedHost(entry_id=name, data_centre=state.entries[name].data_centre)
        for name in entry_ids
    ]


def _partitions_without_active_owner(state, live):
    """Returns the partitions that have a serving replica without an active owner."""
    missing = set()
    for name, record in state.upstreams.items():
        ownership = state.ownerships.get(name)
        usable = ownership is not None and ownership.active and ownership.owner in live
        if not usable and state.upstream_state(record) is UpstreamState.SERVING:
            missing |= partitions_of(record.announced)
    return missing
