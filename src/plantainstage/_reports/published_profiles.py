"""Reads the profiles whose objectives a burn report evaluates."""

from dataclasses import dataclass

import msgspec

from plantainstage._errors import ControlUnavailableError, PlantainstageError
from plantainstage._messages import control
from plantainstage._messages.configuration import Profile
from plantainstage._transport.rpc import ControlClient

_file_decoder = msgspec.json.Decoder(tuple[Profile, ...])


@dataclass(kw_only=True, eq=False)
class BoundsUnavailableError(PlantainstageError):
    """The profiles could not be read, so that no objective can be evaluated."""

    source: str
    detail: str

    def describe(self):
        return (
            f"The profiles could not be read from {self.source}: {self.detail} "
            "Check the source, or give the profiles as a file with --profiles."
        )


@dataclass(frozen=True, kw_only=True)
class PublishedProfiles:
    """The published profiles and the entry hosts registered with control."""

    profiles: tuple[Profile, ...]
    entry_hosts: tuple[str, ...] = ()


def profiles_from_file(path):
    """Reads a JSON list of profiles; raises BoundsUnavailableError."""
    try:
        with open(path, "rb") as file:
            return PublishedProfiles(profiles=_file_decoder.decode(file.read()))
    except (OSError, msgspec.MsgspecError) as error:
        raise BoundsUnavailableError(source=path, detail=f"{error}.") from error


async def profiles_from_control(addresses, *, timeout_s):
    """Queries the control leader; raises BoundsUnavailableError."""
    source = ", ".join(addresses)
    client = ControlClient(addresses=addresses)
    try:
        reply = await client.call(control.QueryConfiguration(), timeout_s=timeout_s)
    except ControlUnavailableError as error:
        raise BoundsUnavailableError(source=source, detail=str(error)) from error
    finally:
        client.close()
    match reply:
        case control.CurrentConfiguration(configuration=configuration):
            return PublishedProfiles(
                profiles=configuration.profiles,
                entry_hosts=tuple(host.entry_id for host in configuration.entry_hosts),
            )
        case control.RequestRejected(message=message):
            raise BoundsUnavailableError(source=source, detail=message)
    raise BoundsUnavailableError(
        source=source, detail="Control sent an unexpected reply."
    )
