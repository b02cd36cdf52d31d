"""The serving configuration: routes, services and caller limits.

A configuration is a single versioned document. The highest version is in force; a
document is accepted or rejected as a whole.
"""

import enum
import math
from collections.abc import Callable

import msgspec
import xxhash

from plantainstage._decoding import decode_bytes
from plantainstage._errors import ConfigurationProblem, InvalidConfigurationError
from plantainstage._serving.account_checks import account_problems

MAX_PROBLEMS = 32  # listed in one error
DEFAULT_HEALTH_PATH = "/health"


class RouteKind(enum.Enum):
    """Whether a request of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its relative weight among the services of a route."""

    service: str
    weight: float = 1.0


class OneOf(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Each request goes to one service, chosen in proportion to the weights."""

    shares: tuple[Share, ...]


class AllOf(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Each request goes to every shard; the answer holds the greatest records.

    ``minimum_coverage`` is the share of the shards that must answer for the request
    to succeed, ``top_records`` the maximum number of records in the answer.
    """

    shards: tuple[str, ...]
    top_records: int
    minimum_coverage: float = 0.0

    @property
    def needed(self):
        """The minimum number of shards that must answer."""
        # Guards against rounding errors: without the subtraction, 0.8 of 15 shards
        # would give 13 instead of 12.
        share = self.minimum_coverage * len(self.shards)
        return max(1, math.ceil(share - 1e-9))


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests for one host and path prefix are routed.

    ``timeout_ms`` bounds how long a caller waits; ``aim_ms`` is the target latency,
    within which an answer has its full value. ``attempts`` is the number of searchers
    that may run one request (for each shard). Priority 0 is the highest. Requests of
    an ``anonymous`` route need no key of a client account.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    aim_ms: int
    target: OneOf | AllOf
    attempts: int = 1
    priority: int = 0
    anonymous: bool = False

    @property
    def digest(self) -> str:
        """A hash of the route, by which two hosts tell that theirs are the same.

        Releases before ``anonymous`` compute the same for a route without it.
        """
        fields = msgspec.to_builtins(self)
        if not self.anonymous:
            del fields["anonymous"]
        return xxhash.xxh3_64_hexdigest(msgspec.json.encode(fields))

    @property
    def services(self):
        """The names of all services that the route can use."""
        match self.target:
            case OneOf(shares=shares):
                return tuple(share.service for share in shares)
            case AllOf(shards=shards):
                return shards


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service; each of its searchers accepts ``connections`` connections in total.

    For ``warm_up_s`` after its start, a searcher accepts ``warm_up_rate_per_s``
    requests a second from all hosts together; 0 is no limit.
    """

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    connections: int = 16
    warm_up_s: float = 0.0
    warm_up_rate_per_s: float = 0.0


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """A client account; a request belongs to it if it carries one of the ``keys``.

    ``priority``, if set, takes precedence over the priority of the route. The quota
    over all hosts is ``rate_per_s`` requests a second, 0 for no limit, with bursts of
    up to ``burst`` requests.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self):
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0.0

    @property
    def burst_depth(self):
        """The most tokens that its bucket holds; one is needed to admit any request."""
        return max(1.0, self.burst)

    def __repr__(self):
        # Without the keys, which must not get into logs or error texts.
        return f"ClientAccount(name={self.name!r}, keys={len(self.keys)})"


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits for requests of callers, and time limits for their connections."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class ServingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A complete serving configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    accounts: tuple[ClientAccount, ...] = ()


ConfigurationDecoder = Callable[[bytes], ServingConfiguration]

_decoder = msgspec.json.Decoder(ServingConfiguration)


def decode_configuration(document: bytes) -> ServingConfiguration:
    """Decodes and validates a document in the project's own format (JSON).

    Raises InvalidConfigurationError, which lists up to MAX_PROBLEMS problems::

        decode_configuration(b'{"version": 1, "routes": [], "services": []}')
    """
    try:
        configuration = decode_bytes(_decoder, document)
    except msgspec.MsgspecError as error:
        raise InvalidConfigurationError.unreadable(str(error)) from error
    check_configuration(configuration)
    return configuration


class _AccountsOnly(msgspec.Struct):
    accounts: tuple[msgspec.Raw, ...] = ()


_accounts_decoder = msgspec.json.Decoder(_AccountsOnly)


def has_accounts(document: bytes, *, decoder=_accounts_decoder) -> bool:
    """Whether a document has client accounts; it reads nothing else of the document.

    ``decoder`` reads it as an object with the attribute ``accounts``. A document that
    cannot be read counts as having accounts, so that only hosts that check keys get it.
    """
    try:
        return bool(decode_bytes(decoder, document).accounts)
    except msgspec.MsgspecError:
        return True


class _ServiceName(msgspec.Struct):
    name: str


class _ServicesOnly(msgspec.Struct):
    services: tuple[_ServiceName, ...] = ()


_services_decoder = msgspec.json.Decoder(_ServicesOnly)


def service_names(document: bytes, *, decoder=_services_decoder) -> frozenset[str]:
    """Returns the names of a document's services; it reads nothing else of it.

    ``decoder`` reads it as an object whose attribute ``services`` is a sequence of
    objects with a ``name``. A document that cannot be read names no service.
    """
    try:
        services = decode_bytes(decoder, document).services
    except msgspec.MsgspecError:
        return frozenset()
    return frozenset(service.name for service in services)


def check_configuration(configuration: ServingConfiguration):
    """Raises InvalidConfigurationError if the configuration is invalid."""
    problems = [*_number_problems(configuration), *_service_problems(configuration)]
    known = {service.name for service in configuration.services}
    places = {}
    for route in configuration.routes:
        problems.extend(_route_problems(route, known))
        place = (route.host, route.path_prefix)
        if place in places:
            problems.append(
                _problem(route, "same host and path prefix as route " + places[place])
            )
        places[place] = route.name
    problems.extend(account_problems(configuration.accounts))
    if problems:
        raise InvalidConfigurationError(problems=tuple(problems[:MAX_PROBLEMS]))


def _number_problems(configuration):
    if configuration.version < 0:
        yield ConfigurationProblem(place="version", detail="must not be negative")


def _service_problems(configuration):
    names = [service.name for service in configuration.services]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield ConfigurationProblem(place=f"service {name}", detail="is defined twice")


def _route_problems(route, known_services):
    for name in route.services:
        if name not in known_services:
            yield _problem(route, f"refers to the undefined service {name!r}")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield _problem(route, "the path prefix must begin and end with a slash")
    if route.timeout_ms <= 0:
        yield _problem(route, "the timeout must be greater than 0 ms")
    if route.attempts < 1:
        yield _problem(route, "attempts must be at least 1")
    yield from _target_problems(route)


def _target_problems(route):
    match route.target:
        case OneOf(shares=shares):
            if any(share.weight < 0 for share in shares):
                yield _problem(route, "weights must not be negative")
            if sum(share.weight for share in shares) <= 0:
                yield _problem(route, "the sum of the weights must be greater than 0")
        case AllOf(shards=shards):
            if not shards:
                yield _problem(route, "at least one shard is required")
            if len(set(shards)) < len(shards):
                yield _problem(route, "a shard is listed twice")
            if route.kind is not RouteKind.IDEMPOTENT:
                yield _problem(route, "requests to all shards must be idempotent")


def _problem(route, detail):
    return ConfigurationProblem(place=f"route {route.name}", detail=detail)
