"""Serves control requests from one in-memory configuration."""

from plantainstage._messages import control
from plantainstage._messages.configuration import Configuration, Ownership

LEASE_MS = 2000


class ControlService:
    """Keeps the configuration in memory, without replication."""

    def __init__(self):
        self.profiles = {}
        self.upstreams = {}
        self.manifests = {}
        self.entries = {}
        self.out = set()
        self.version = 1
        self.next_number = 1

    def configuration(self):
        """Returns the configuration of the current version."""
        owners = sorted(self.entries)
        return Configuration(
            version=self.version,
            profiles=tuple(self.profiles.values()),
            upstreams=tuple(
                upstream
                for upstream in self.upstreams.values()
                if upstream.upstream_id not in self.out
            ),
            manifests=tuple(self.manifests.values()),
            entry_hosts=tuple(self.entries.values()),
            ownerships=tuple(
                Ownership(
                    upstream_id=upstream_id,
                    entry_id=owners[position % len(owners)],
                    epoch=1,
                    active=True,
                )
                for position, upstream_id in enumerate(sorted(self.upstreams))
                if owners
            ),
        )

    async def handle(self, request):
        """Returns the reply to one control request."""
        match request:
            case control.RenewEntryLease():
                return self._renew(request)
            case control.AnnounceUpstreams():
                return self._announce(request)
            case control.SubmitChange(change=change):
                return self._submit(change)
            case control.QueryNextNumber():
                return control.NextNumber(number=self.next_number, version=self.version)
            case control.QueryConfiguration():
                return control.CurrentConfiguration(configuration=self.configuration())
        return control.RequestRejected(
            code="unsupported",
            message="This replica does not serve this request.",
            remedy="Use a later release.",
        )

    def _renew(self, request):
        if self.entries.get(request.entry.entry_id) != request.entry:
            self.entries[request.entry.entry_id] = request.entry
            self.version += 1
        newer = self.version > request.applied_version
        return control.LeaseGranted(
            version=self.version,
            lease_ms=LEASE_MS,
            configuration=self.configuration() if newer else None,
        )

    def _announce(self, request):
        for manifest in request.manifests:
            self.manifests[manifest.index, manifest.snapshot] = manifest
        for upstream in request.upstreams:
            if self.upstreams.get(upstream.upstream_id) != upstream:
                self.upstreams[upstream.upstream_id] = upstream
                self.version += 1
        unknown = tuple(name for name in request.alive if name not in self.upstreams)
        return control.AnnouncementsTaken(unknown=unknown)

    def _submit(self, change):
        if change.number != self.next_number:
            return control.ChangeNotConsidered(next_number=self.next_number)
        match change.body:
            case control.PublishProfile(profile=profile):
                self.profiles[profile.name] = profile
            case control.RetireProfile(name=name):
                self.profiles.pop(name, None)
            case control.TakeUpstreamOut(upstream_id=upstream_id):
                self.out.add(upstream_id)
            case control.PutUpstreamIn(upstream_id=upstream_id):
                self.out.discard(upstream_id)
        self.next_number += 1
        self.version += 1
        return control.ChangeVerdict(
            verdict=control.Verdict(
                change=change,
                kind=control.VerdictKind.ACCEPTED,
                version=self.version,
            )
        )
