"""Validation of searchers' announcements; only changes are forwarded to control.

A searcher announces itself every second. Control receives each record once, and
a list of the live searchers' ids every second.
"""

import asyncio

import msgspec
from loguru import logger

from plantainstage._decoding import decode_bytes
from plantainstage._entry.requests import malformed_body
from plantainstage._errors import ControlUnavailableError, RefusalError
from plantainstage._messages import control
from plantainstage._messages.configuration import (
    Manifest,
    SnapshotHolding,
    Upstream,
    UpstreamState,
)
from plantainstage._messages.upstreams import Announcement
from plantainstage._settings.base import SettingsCheck

HEARTBEAT_INTERVAL_S = 1.0
# A searcher that was silent here for this long may have announced a change to
# another host; its next announcement is forwarded in full.
RESEND_AFTER_SILENCE_S = 3.0
CONTROL_TIMEOUT_S = 1.0
# An owner may use half of them, and reserves one of these for cancellations.
MIN_CONNECTIONS = 4
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_SNAPSHOTS = 16
MAX_PARTITIONS = 100_000
MAX_DOCUMENTS = 2**53
_STATES = (UpstreamState.SERVING.value, UpstreamState.DRAINING.value)
_decoder = msgspec.json.Decoder(Announcement)

_CONTROL_REFUSALS = {
    "superseded_incarnation": (
        "A later start of this searcher has announced itself.",
        "Stop the older process, or give each searcher its own upstream_id.",
    ),
    "manifest_conflict": (
        "Another manifest is known under the name of this snapshot.",
        "Publish changed data as a new snapshot with its own name.",
    ),
    "manifest_missing": (
        "The manifest of a snapshot is missing.",
        "Send the full manifest with each snapshot.",
    ),
    "unknown_partition": (
        "A partition is not in the manifest of its snapshot.",
        "Send the full manifest with each snapshot.",
    ),
}


class _PendingChange:
    """A record to be forwarded; ``reply`` resolves to its refusal code or None."""

    __slots__ = ("upstream", "manifests", "reply")

    def __init__(self, *, upstream, manifests, reply):
        self.upstream = upstream
        self.manifests = manifests
        self.reply = reply


class AnnouncementForwarder:
    """Validates announcements and forwards those that changed to control.

    ``on_draining`` is called with the record of a draining searcher before the
    record is sent to control.
    """

    def __init__(self, *, client, on_draining=lambda upstream: None):
        self.client = client
        self.on_draining = on_draining
        self.forwarded = {}
        self.accepted = {}  # announcements by upstream id
        self.live = set()
        self.last_seen = {}
        self.changes = asyncio.Queue()

    async def accept(self, data):
        """Handles an encoded Announcement; raises RefusalError."""
        announcement = decode_announcement(data)
        name = announcement.upstream_id
        # The load changes constantly and is not forwarded. An announcement that
        # is otherwise equal to the one that control accepted needs no check.
        without_load = msgspec.structs.replace(announcement, in_flight=0)
        if name in self.forwarded and self.accepted.get(name) == without_load:
            self.live.add(name)
            return
        check_announcement(announcement)
        upstream = upstream_of(announcement)
        if upstream.state is UpstreamState.DRAINING:
            self.on_draining(upstream)
        change = _PendingChange(
            upstream=upstream,
            manifests=manifests_of(announcement),
            reply=asyncio.get_running_loop().create_future(),
        )
        self.changes.put_nowait(change)
        code = await change.reply
        if code:
            raise refusal_of(code)
        self.accepted[name] = without_load

    async def run(self):
        """Forwards changes at once and live ids every second, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward_changes())
            group.create_task(self._send_heartbeats())

    async def _forward_changes(self):
        while True:
            batch = [await self.changes.get()]
            while not self.changes.empty():
                batch.append(self.changes.get_nowait())
            await self._forward(batch)

    async def _forward(self, batch):
        manifests = {}
        newest = {}
        for change in batch:
            newest[change.upstream.upstream_id] = change
            for manifest in change.manifests:
                # If two manifests of one snapshot differ, control gets both and
                # refuses the searcher whose manifest arrived later.
                key = (manifest.index, manifest.snapshot)
                variants = manifests.setdefault(key, [])
                if manifest not in variants:
                    variants.append(manifest)
        request = control.AnnounceUpstreams(
            upstreams=tuple(change.upstream for change in newest.values()),
            manifests=tuple(
                item for variants in manifests.values() for item in variants
            ),
        )
        try:
            reply = await self.client.call(request, timeout_s=CONTROL_TIMEOUT_S)
        except ControlUnavailableError as error:
            logger.warning("announcements not forwarded", error=str(error))
            self._reply(batch, dict.fromkeys(newest, "control_unavailable"))
            return
        refused = {}
        if isinstance(reply, control.AnnouncementsTaken):
            refused = reply.refused
        for upstream_id, change in newest.items():
            if upstream_id not in refused:
                self._mark_forwarded(change.upstream)
        self._reply(batch, refused)

    def _mark_forwarded(self, upstream):
        self.forwarded[upstream.upstream_id] = upstream
        self.live.add(upstream.upstream_id)

    def _reply(self, batch, refused):
        for change in batch:
            if not change.reply.done():
                change.reply.set_result(refused.get(change.upstream.upstream_id))

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            live, self.live = self.live, set()
            now = asyncio.get_running_loop().time()
            self.last_seen.update(dict.fromkeys(live, now))
            for upstream_id, seen in tuple(self.last_seen.items()):
                if now - seen > RESEND_AFTER_SILENCE_S:
                    del self.last_seen[upstream_id]
                    self.forwarded.pop(upstream_id, None)
                    self.accepted.pop(upstream_id, None)
            if live:
                await self._send_heartbeat(live)

    async def _send_heartbeat(self, live):
        request = control.AnnounceUpstreams(alive=tuple(sorted(live)))
        try:
            reply = await self.client.call(request, timeout_s=CONTROL_TIMEOUT_S)
        except ControlUnavailableError as error:
            logger.warning("live searchers not forwarded", error=str(error))
            return
        if isinstance(reply, control.AnnouncementsTaken):
            for upstream_id in reply.unknown:
                # The next announcement is forwarded in full.
                self.forwarded.pop(upstream_id, None)


def decode_announcement(data):
    """Returns the Announcement of an encoded body; raises RefusalError."""
    try:
        return decode_bytes(_decoder, data)
    except msgspec.MsgspecError as error:
        raise malformed_body(error, "docs/upstreams.md") from error


def check_announcement(announcement):
    """Checks all values; raises one RefusalError that lists every error."""
    check = SettingsCheck()
    check.name(flag="upstream_id", value=announcement.upstream_id)
    check.name(flag="incarnation", value=announcement.incarnation)
    check.name(flag="data_centre", value=announcement.data_centre)
    check.name(flag="index", value=announcement.index)
    check.address(flag="address", value=announcement.address)
    check.between(
        flag="slots",
        value=announcement.slots,
        low=1,
        high=MAX_SLOTS,
        unit="sub-requests at the same time",
    )
    check.between(
        flag="connections",
        value=announcement.connections,
        low=MIN_CONNECTIONS,
        high=MAX_CONNECTIONS,
        unit="connections",
    )
    check.choice(flag="state", value=announcement.state, choices=_STATES)
    check.between(
        flag="snapshots",
        value=len(announcement.snapshots),
        low=1,
        high=MAX_SNAPSHOTS,
        unit="snapshots",
    )
    for snapshot in announcement.snapshots:
        _check_snapshot(check, snapshot)
    if check.errors:
        raise RefusalError(
            code="invalid_announcement",
            message=" ".join(str(error) for error in check.errors),
            remedy="Correct the fields named; see docs/upstreams.md.",
        )


def _check_snapshot(check, snapshot):
    flag = f"snapshots[{snapshot.snapshot!r}]"
    check.name(flag="snapshot", value=snapshot.snapshot)
    check.between(
        flag=f"{flag}.sequence",
        value=snapshot.sequence,
        low=0,
        high=MAX_DOCUMENTS,
        unit="",
    )
    manifest = snapshot.manifest
    check.between(
        flag=f"{flag}.manifest",
        value=len(manifest),
        low=1,
        high=MAX_PARTITIONS,
        unit="partitions",
    )
    for partition, documents in manifest.items():
        check.name(flag=f"{flag}.manifest", value=partition)
        check.between(
            flag=f"{flag}.manifest[{partition!r}]",
            value=documents,
            low=0,
            high=MAX_DOCUMENTS,
            unit="documents",
        )
    missing = sorted(set(snapshot.partitions) - set(manifest))
    check.require(
        flag=f"{flag}.partitions",
        value=", ".join(missing),
        condition=not missing,
        expected="partitions that the manifest lists",
        remedy="Send the full manifest with each snapshot.",
    )


def upstream_of(announcement):
    """Returns the registry record of an announcement."""
    return Upstream(
        upstream_id=announcement.upstream_id,
        incarnation=announcement.incarnation,
        address=announcement.address,
        data_centre=announcement.data_centre,
        index=announcement.index,
        slots=announcement.slots,
        connections=announcement.connections,
        holdings=tuple(
            SnapshotHolding(snapshot=item.snapshot, partitions=item.partitions)
            for item in announcement.snapshots
        ),
        state=UpstreamState(announcement.state),
    )


def manifests_of(announcement):
    """Returns the manifests of an announcement's snapshots."""
    return tuple(
        Manifest(
            index=announcement.index,
            snapshot=item.snapshot,
            sequence=item.sequence,
            documents=item.manifest,
        )
        for item in announcement.snapshots
    )


def refusal_of(code):
    """Returns the RefusalError for a refusal code from control."""
    if code == "control_unavailable":
        return RefusalError(
            code=code,
            message="No control leader took the announcement in time.",
            remedy="Announce again in a second, through any entry host.",
            http_status=503,
        )
    message, remedy = _CONTROL_REFUSALS.get(
        code,
        ("Control refused the announcement.", "See docs/upstreams.md for the rules."),
    )
    return RefusalError(code=code, message=message, remedy=remedy, http_status=409)
