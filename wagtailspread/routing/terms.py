"""What a configuration document says, in the product's own types."""

import dataclasses
import enum

from wagtailspread.core import identifiers

#: Largest time by which an objective may exceed its route's timeout, seconds.
MAX_OBJECTIVE_EXCESS_SECONDS = 60.0


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    #: It may run more than once.
    SAFE = 'safe'
    #: It may run once at most.
    UNSAFE = 'unsafe'
    #: A large body; it may run once at most.
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """A service that takes a part of a route's requests."""

    service: identifiers.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param timeout: longest time in seconds that a caller is kept waiting;
        ``None`` without a limit.
    :param objective: time in seconds within which an answer is worth most.
    :param max_attempts: most upstreams that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[SplitPart, ...]
    max_attempts: int
    priority: int = 0
    timeout: float | None = None
    objective: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and for how long it may be idle.

    :param header_seconds: longest time of a request head.
    :param idle_seconds: longest idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """One version of the routes and limits.

    :param connections: most connections to one upstream, by service.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[identifiers.ServiceName, int]
    limits: CallerLimits = CallerLimits()


class FaultKind(enum.Enum):
    """Why a configuration is invalid."""

    UNKNOWN_SERVICE = 'unknown-service'
    NO_WEIGHT = 'no-weight'
    NEGATIVE_WEIGHT = 'negative-weight'
    OBJECTIVE_BEYOND_TIMEOUT = 'objective-beyond-timeout'
    NO_ATTEMPTS = 'no-attempts'
    BARE_PREFIX = 'bare-prefix'
    #: A timeout of zero: no request could be served.
    NO_TIMEOUT = 'no-timeout'
    #: Two routes with one host and prefix: which one holds is not said.
    SAME_PLACE = 'same-place'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteFault:
    """A route that makes its configuration invalid."""

    route: str
    kind: FaultKind


def find_fault(settings: RoutingSettings) -> RouteFault | None:
    """Return the first thing that makes a configuration invalid."""
    places: set[tuple[str, str]] = set()
    for route in settings.routes:
        kind = _check_route(route, settings)
        place = (route.host.lower(), route.prefix)
        if place in places:
            kind = FaultKind.SAME_PLACE
        places.add(place)
        if kind is not None:
            return RouteFault(route.name, kind)
    return None


def _check_route(
    route: Route,
    settings: RoutingSettings,
) -> FaultKind | None:
    if not route.prefix.startswith('/'):
        return FaultKind.BARE_PREFIX
    if route.max_attempts < 1:
        return FaultKind.NO_ATTEMPTS
    if route.timeout is not None and route.timeout <= 0:
        return FaultKind.NO_TIMEOUT
    if route.objective is not None and route.timeout is not None:
        excess = route.objective - route.timeout
        if excess >= MAX_OBJECTIVE_EXCESS_SECONDS:
            return FaultKind.OBJECTIVE_BEYOND_TIMEOUT
    return _check_parts(route.parts, settings)


def _check_parts(
    parts: tuple[SplitPart, ...],
    settings: RoutingSettings,
) -> FaultKind | None:
    if any(part.weight < 0 for part in parts):
        return FaultKind.NEGATIVE_WEIGHT
    if sum(part.weight for part in parts) <= 0:
        return FaultKind.NO_WEIGHT
    if any(part.service not in settings.connections for part in parts):
        return FaultKind.UNKNOWN_SERVICE
    return None
