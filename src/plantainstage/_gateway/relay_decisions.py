"""Whether a host takes a request that another one passes on."""

from plantainstage._gateway.relay_headers import (
    NEWER_CONFIGURATION,
    NO_ROUTE,
    OLDER_CONFIGURATION,
    RelayOrigin,
)
from plantainstage._serving.configuration import Route


def relay_refusal_reason(
    origin: RelayOrigin, *, version: int, route: Route | None
) -> str | None:
    """Returns why the host with this ``version`` does not take a request, or None.

    It has to run the request as the host that passes it on would: if two hosts passed
    the requests of one caller on to helpers of different versions, or ran a part
    themselves, the caller would see an older version again. ``route`` is the one that
    this host finds for the request. A host that states no digest of its route is of an
    early release, and its requests go to helpers that are not older.
    """
    if route is not None and route.digest == origin.route:
        return None
    if version < origin.version:
        return OLDER_CONFIGURATION
    if route is None:
        return NO_ROUTE
    return NEWER_CONFIGURATION if origin.route else None
