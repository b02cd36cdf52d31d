"""Events in the inbox of the replica driver."""

import asyncio
from dataclasses import dataclass

from plantainstage._messages.agreement import Envelope, Member
from plantainstage._messages.control import MemberAction


@dataclass(frozen=True, kw_only=True)
class PeerFrame:
    """A frame from a peer."""

    envelope: Envelope


@dataclass(frozen=True, kw_only=True)
class Propose:
    """A command to commit; the future gets the state machine's result."""

    command: bytes
    future: asyncio.Future


@dataclass(frozen=True, kw_only=True)
class Read:
    """A request to confirm leadership; the future gets the applied index."""

    future: asyncio.Future


@dataclass(frozen=True, kw_only=True)
class ChangeMember:
    """One step of a member change; the future gets None once committed."""

    action: MemberAction
    member: Member
    future: asyncio.Future


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """A request to transfer leadership; the future gets whether it has a target."""

    future: asyncio.Future


@dataclass(frozen=True, kw_only=True)
class StopRequested:
    """Ends the task after the current batch."""
