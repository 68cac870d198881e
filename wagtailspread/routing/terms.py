"""Routes, limits and workspaces of a configuration, and their validation."""

import dataclasses
import enum

from wagtailspread.core import identifiers
from wagtailspread.workspaces import caps, keys

#: Bound of the time by which an objective may exceed its route's timeout, in
#: seconds; an excess of this much is a fault.
MAX_OBJECTIVE_EXCESS_SECONDS = 60.0
_MICROSECONDS = 1_000_000


class RequestKind(enum.Enum):
    """Whether a request may run more than once."""

    #: It may run more than once.
    SAFE = 'safe'
    #: It must run at most once.
    UNSAFE = 'unsafe'
    #: A request with a large body; it must run at most once.
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """A service that receives a weighted share of a route's requests."""

    service: identifiers.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings of one route.

    :param timeout: maximum time in seconds until the caller gets an answer;
        ``None`` for no limit.
    :param objective: target time of an answer in seconds.
    :param max_attempts: maximum number of upstreams that one request is sent
        to.
    :param allows_anonymous: whether a request without a known key is served
        although the configuration has workspaces.
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
    allows_anonymous: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the requests and connections of callers.

    :param header_bytes: maximum size of a request head.
    :param body_bytes: maximum size of a request body.
    :param header_seconds: maximum time to receive a request head.
    :param idle_seconds: maximum idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose requests carry one of its keys.

    :param digests: of its keys.
    :param priority: replaces that of the route; ``None`` keeps it.
    :param cap: on its requests over all hosts.
    """

    name: identifiers.WorkspaceName
    digests: tuple[keys.KeyDigest, ...]
    priority: int | None = None
    cap: caps.Cap = caps.NO_CAP


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """One version of the routes, limits and workspaces.

    :param connections: maximum connections to one upstream, by service.
    :param workspaces: if there are any, requests need a key.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[identifiers.ServiceName, int]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] = ()


class FaultKind(enum.Enum):
    """Why a configuration is invalid."""

    UNKNOWN_SERVICE = 'unknown-service'
    NO_WEIGHT = 'no-weight'
    NEGATIVE_WEIGHT = 'negative-weight'
    OBJECTIVE_BEYOND_TIMEOUT = 'objective-beyond-timeout'
    NO_ATTEMPTS = 'no-attempts'
    BARE_PREFIX = 'bare-prefix'
    #: A timeout that is not positive: no request could be served.
    NO_TIMEOUT = 'no-timeout'
    #: Two routes with the same host and prefix: the match would be ambiguous.
    DUPLICATE_ROUTE = 'same-place'
    #: Two workspaces with the same name: their caps would be ambiguous.
    DUPLICATE_WORKSPACE = 'same-workspace'
    #: Two workspaces with a common key: its requests would be ambiguous.
    SHARED_KEY = 'shared-key'


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """What makes a configuration invalid.

    :param name: of the route or the workspace.
    """

    name: str
    kind: FaultKind


def find_fault(settings: RoutingSettings) -> SettingsFault | None:
    """Return the first fault of a configuration, or ``None``."""
    route_keys: set[tuple[str, str]] = set()
    for route in settings.routes:
        kind = _check_route(route, settings)
        route_key = (route.host.lower(), route.prefix)
        if route_key in route_keys:
            kind = FaultKind.DUPLICATE_ROUTE
        route_keys.add(route_key)
        if kind is not None:
            return SettingsFault(route.name, kind)
    return _find_workspace_fault(settings.workspaces)


def _find_workspace_fault(
    workspaces: tuple[Workspace, ...],
) -> SettingsFault | None:
    found_names: set[str] = set()
    found_digests: set[bytes] = set()
    for workspace in workspaces:
        digests = frozenset(workspace.digests)
        if workspace.name in found_names:
            kind = FaultKind.DUPLICATE_WORKSPACE
            return SettingsFault(workspace.name, kind)
        if not digests.isdisjoint(found_digests):
            return SettingsFault(workspace.name, FaultKind.SHARED_KEY)
        found_names.add(workspace.name)
        found_digests.update(digests)
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
        # A difference of seconds may be rounded to less than the bound.
        excess = _count_microseconds(route.objective - route.timeout)
        if excess >= _count_microseconds(MAX_OBJECTIVE_EXCESS_SECONDS):
            return FaultKind.OBJECTIVE_BEYOND_TIMEOUT
    return _check_parts(route.parts, settings)


def _count_microseconds(seconds: float) -> int:
    return round(seconds * _MICROSECONDS)


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
