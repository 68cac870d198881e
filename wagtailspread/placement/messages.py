"""What hosts and the allocator of their region say to each other."""

import dataclasses
import enum

from wagtailspread.core import identifiers
from wagtailspread.registry import records


class Decision(enum.IntEnum):
    """Answer to a request for an upstream."""

    #: Send the request to this upstream.
    GRANTED = 0
    #: It waits for a slot; ask again.
    WAITING = 1
    #: The service has no upstream that is not excluded.
    NO_UPSTREAM = 2
    #: No slot becomes free in time.
    NO_ROOM = 3
    #: The budget of repeated sends is used up.
    NO_BUDGET = 4


class Evidence(enum.IntEnum):
    """What one exchange says of its upstream."""

    #: A whole answer that is no server error.
    GOOD = 0
    #: A server error, a lost or spoilt answer, or none in time.
    BAD = 1
    #: It said that it did not run the request.
    SHED = 2
    #: No connection could be opened; the path may be at fault.
    UNREACHABLE = 3
    #: Nothing: the caller left, or the time was too short to tell.
    NONE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs an upstream.

    :param size: bytes of the body.
    :param deadline: end of its time, seconds on the clock of who decides.
    :param objective: time in seconds in which an answer is worth most.
    :param excluded: upstreams that were tried.
    :param is_repeat: whether it was sent to an upstream before.
    :param is_repeatable: whether it may be sent again after a failure.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The decision on a need.

    :param record: the upstream of a grant.
    :param retry_after: seconds after which a refused caller may come back.
    """

    decision: Decision
    record: records.UpstreamRecord | None = None
    retry_after: float = 0.0
