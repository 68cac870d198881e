"""What an allocator keeps of the requests of its region."""

import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.placement import messages

#: Whether a request has time to wait, when it is due, and its number.
Order = tuple[bool, float, int]


@dataclasses.dataclass(slots=True)
class Lease:
    """An open request.

    :param granted_at: seconds on the allocator's clock, like all times here.
    :param is_for_floor: whether it was sent to keep its upstream in use.
    :param is_overdue: whether its silence has counted against the upstream.
    """

    need: messages.PlacementRequest
    upstream: identifiers.UpstreamId
    granted_at: float
    is_for_floor: bool = False
    is_overdue: bool = False


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that waits for a slot.

    :param asked_at: when its host asked last.
    """

    need: messages.PlacementRequest
    order: Order
    since: float
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """A decision on a request that waited, until its host asks for it."""

    answer: messages.Answer
    decided_at: float
