"""Bootstrap of a new group from an explicit initial member list.

Incarnations are random, so the initial membership is not known beforehand. Each
replica of the list offers its empty folder to the others. The founder, which is
the replica with the lowest id, collects all offers, makes the membership durable
as the snapshot at index 0 and sends it to the others. A folder that already has
state never takes part, so a replica that has lost its folder and is started with
a bootstrap list again cannot found a second group.
"""

from dataclasses import dataclass, field

from plantainstage._control.replica_settings import ReplicaSettings
from plantainstage._errors import BootstrapRefusedError
from plantainstage._messages.agreement import (
    FoundGroup,
    FoundingOffer,
    FoundingRefused,
    Member,
    MemberId,
    Membership,
    Snapshot,
)

OFFER_INTERVAL_S = 0.1


@dataclass(kw_only=True)
class Founding:
    """The bootstrap protocol at one replica, without input or output."""

    settings: ReplicaSettings
    member_id: MemberId
    offers: dict[str, Member] = field(default_factory=dict)
    membership: Membership | None = None

    def __post_init__(self):
        self.offers[self.settings.replica_id] = self.own_member()

    @property
    def replica_ids(self):
        """The replica ids of the initial member list, sorted."""
        return tuple(sorted(m.replica_id for m in self.settings.bootstrap))

    @property
    def is_founder(self):
        """Whether this replica collects the offers of all replicas."""
        return self.settings.replica_id == self.replica_ids[0]

    def own_member(self):
        """Returns the member record of this replica."""
        return Member(
            member_id=self.member_id,
            client_address=self.settings.client_address,
            peer_address=self.settings.peer_address,
        )

    def offer(self):
        """Returns the offer for the other replicas of the list."""
        return FoundingOffer(member=self.own_member(), replica_ids=self.replica_ids)

    def other_addresses(self):
        """Returns the peer addresses of the other replicas of the list."""
        return [
            member.peer_address
            for member in self.settings.bootstrap
            if member.replica_id != self.settings.replica_id
        ]

    def receive(self, message):
        """Handles a message; sets ``membership`` once it is known.

        Raises BootstrapRefusedError.
        """
        match message:
            case FoundingOffer(replica_ids=ids) if ids != self.replica_ids:
                raise self._refused(
                    f"{message.member.member_id} has a different member list: {ids}."
                )
            case FoundingOffer(member=member):
                self.offers[member.member_id.replica_id] = member
            case FoundGroup(membership=membership):
                if self.own_member() in membership.members:
                    self.membership = membership
            case FoundingRefused(reason=reason):
                raise self._refused(reason)
        self.complete()

    def complete(self):
        """Sets the membership at the founder once all offers have arrived."""
        if self.is_founder and len(self.offers) == len(self.replica_ids):
            members = tuple(self.offers[name] for name in self.replica_ids)
            self.membership = Membership(members=members)

    def _refused(self, detail):
        return BootstrapRefusedError(
            path=self.settings.data_folder,
            detail=f"No new group can be founded: {detail}",
            remedy="If the group exists, start without the bootstrap list and add "
            "this replica as a learner; otherwise correct the list.",
        )


def initial_snapshot(membership: Membership):
    """Returns the snapshot from which a new group starts."""
    return Snapshot(index=0, term=0, membership=membership)


def answer_offer(offer: FoundingOffer, *, snapshot, membership):
    """Returns the reply of a replica that already belongs to a group, or None.

    A folder of the initial membership that missed ``FoundGroup`` gets it again
    while this replica has the initial snapshot; later the leader sends a snapshot.
    """
    member_id = offer.member.member_id
    initial = snapshot is not None and snapshot.index == 0
    if initial and member_id in {m.member_id for m in snapshot.membership.members}:
        return FoundGroup(membership=snapshot.membership)
    known = {m.member_id for m in membership.members}
    if member_id in known or not known:
        return None
    return FoundingRefused(
        reason=f"a group exists and the folder {member_id} is not in it."
    )
