"""Messages between the hosts and the allocator of a region."""

import dataclasses
import enum

from wagtailspread.core import identifiers
from wagtailspread.placement import crashes
from wagtailspread.registry import records
from wagtailspread.workspaces import caps, presences


class Decision(enum.IntEnum):
    """Answer to a request for an upstream."""

    #: Send the request to this upstream.
    GRANTED = 0
    #: The request is queued for a slot; poll again.
    WAITING = 1
    #: The service has no upstream that is not excluded.
    NO_UPSTREAM = 2
    #: No slot will become free before the deadline.
    NO_ROOM = 3
    #: The retry budget is exhausted.
    NO_BUDGET = 4
    #: The request has crashed the upstreams that ran it.
    BLOCKED = 5
    #: The cap of its workspace is used up.
    OVER_CAP = 6


class Evidence(enum.IntEnum):
    """What one exchange shows about the health of its upstream."""

    #: A complete answer that is not a server error.
    GOOD = 0
    #: A server error, or a lost, corrupt or late answer.
    BAD = 1
    #: The upstream reported that it did not run the request.
    SHED = 2
    #: No connection could be opened; the path may be at fault.
    UNREACHABLE = 3
    #: No evidence: the caller disconnected, or the answer was missing after a
    #: timeout that was too short to show a fault.
    NONE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream asks of the host in an answer.

    :param is_leaving: whether it accepts no further requests.
    :param hold_seconds: time for which the host shall send it nothing.
    """

    is_leaving: bool = False
    hold_seconds: float = 0.0


#: The notice of an answer that asks for nothing.
NO_NOTICE = UpstreamNotice()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for an upstream.

    :param size: size of the body in bytes.
    :param deadline: seconds on the clock of the process that decides.
    :param objective: target time of the answer in seconds.
    :param excluded: upstreams that were tried already.
    :param is_repeat: whether it was sent to an upstream before.
    :param is_counted: whether an allocator or its host has been asked to place
        it before, so that the retry budget includes it already.
    :param is_repeatable: whether it may be sent again after a failure.
    :param fingerprint: the same for requests with the same credentials, path
        and body; see :mod:`wagtailspread.placement.crashes`.
    :param workspace: that the request belongs to; empty for none.
    :param cap: of the workspace.
    :param route_class: the same for all requests of a route.
    :param is_permitted: whether an earlier attempt may have run, so that the
        cap includes it already.
    :param fleet_hosts: number of hosts of the fleet that the host knows of; 0
        if it is unknown.
    :param presence: what the host states about its contact with the allocator;
        ``None`` for nothing.
    """

    request_id: identifiers.RequestId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    service: identifiers.ServiceName
    deadline: float
    objective: float
    size: int = 0
    priority: int = 0
    excluded: frozenset[identifiers.UpstreamId] = frozenset()
    is_repeat: bool = False
    is_repeatable: bool = False
    fingerprint: crashes.Fingerprint = crashes.NO_FINGERPRINT
    is_counted: bool = False
    workspace: identifiers.WorkspaceName = identifiers.WorkspaceName('')
    cap: caps.Cap = caps.NO_CAP
    route_class: int = 0
    is_permitted: bool = False
    fleet_hosts: int = 0
    presence: presences.Presence | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The decision on a placement request.

    :param record: the granted upstream, or ``None``.
    :param retry_after: seconds after which a refused caller may retry.
    """

    decision: Decision
    record: records.UpstreamRecord | None = None
    retry_after: float = 0.0
