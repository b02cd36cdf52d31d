"""The serving configuration: routes, services and the limits of callers.

A configuration is one document with a number. The one with the highest number is
in force; a document is accepted or refused as a whole.
"""

import enum
import math
from collections.abc import Callable

import msgspec

from plantainstage._errors import ConfigurationProblem, InvalidConfigurationError

MAX_PROBLEMS = 32  # named in one refusal


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its weight among the services of a route."""

    service: str
    weight: float = 1.0


class OneOf(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Each request goes to one service, drawn in proportion to the weights."""

    shares: tuple[Share, ...]


class AllOf(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Each request goes to every shard; the greatest records are the answer.

    ``minimum_coverage`` is the share of the shards without which an answer is no
    success, ``top_records`` the number of records that it holds at most.
    """

    shards: tuple[str, ...]
    top_records: int
    minimum_coverage: float = 0.0

    @property
    def needed(self):
        """The number of shards that a success needs at least."""
        # Without the subtraction 0.8 of 15 shards would need 13 of them.
        share = self.minimum_coverage * len(self.shards)
        return max(1, math.ceil(share - 1e-9))


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests of one host and path prefix go, and how.

    ``timeout_ms`` bounds how long a caller waits, ``aim_ms`` is the time within
    which an answer has its full worth, ``attempts`` the number of searchers that
    may run one request (of each shard). Priority 0 is the most urgent.
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

    @property
    def services(self):
        """The names of all services that the route may use."""
        match self.target:
            case OneOf(shares=shares):
                return tuple(share.service for share in shares)
            case AllOf(shards=shards):
                return shards


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service; ``connections`` is what each of its searchers accepts in all."""

    name: str
    health_path: str = "/health"
    connections: int = 16


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class ServingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()


ConfigurationDecoder = Callable[[bytes], ServingConfiguration]

_decoder = msgspec.json.Decoder(ServingConfiguration)


def decode_configuration(document: bytes) -> ServingConfiguration:
    """Decodes and checks a document of the project's own format (JSON).

    Raises InvalidConfigurationError, which names every problem found::

        decode_configuration(b'{"version": 1, "routes": [], "services": []}')
    """
    try:
        configuration = _decoder.decode(document)
    except msgspec.MsgspecError as error:
        raise InvalidConfigurationError.unreadable(str(error)) from error
    check_configuration(configuration)
    return configuration


def check_configuration(configuration: ServingConfiguration):
    """Raises InvalidConfigurationError if the configuration is not usable."""
    problems = [*_number_problems(configuration), *_service_problems(configuration)]
    known = {service.name for service in configuration.services}
    places = {}
    for route in configuration.routes:
        problems.extend(_route_problems(route, known))
        place = (route.host, route.path_prefix)
        if place in places:
            problems.append(
                _problem(route, "host and prefix are taken by " + places[place])
            )
        places[place] = route.name
    if problems:
        raise InvalidConfigurationError(problems=tuple(problems[:MAX_PROBLEMS]))


def _number_problems(configuration):
    if configuration.version < 0:
        yield ConfigurationProblem(place="version", detail="is negative")


def _service_problems(configuration):
    names = [service.name for service in configuration.services]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield ConfigurationProblem(place=f"service {name}", detail="is named twice")


def _route_problems(route, known_services):
    for name in route.services:
        if name not in known_services:
            yield _problem(route, f"names the unknown service {name!r}")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield _problem(route, "the prefix has to begin and end with a slash")
    if route.timeout_ms <= 0:
        yield _problem(route, "the timeout has to be above 0 ms")
    if route.attempts < 1:
        yield _problem(route, "at least one attempt is needed")
    yield from _target_problems(route)


def _target_problems(route):
    match route.target:
        case OneOf(shares=shares):
            if any(share.weight < 0 for share in shares):
                yield _problem(route, "a weight is negative")
            if sum(share.weight for share in shares) <= 0:
                yield _problem(route, "the weights add up to 0")
        case AllOf(shards=shards):
            if not shards:
                yield _problem(route, "no shard is named")
            if len(set(shards)) < len(shards):
                yield _problem(route, "a shard is named twice")
            if route.kind is not RouteKind.IDEMPOTENT:
                yield _problem(route, "requests to all shards have to be idempotent")


def _problem(route, detail):
    return ConfigurationProblem(place=f"route {route.name}", detail=detail)
