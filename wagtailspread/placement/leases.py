"""State of open and queued requests at an allocator."""

import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.placement import messages

#: Sort key in the queue: whether the request has time to wait, its due time in
#: seconds, and its sequence number.
QueueOrder = tuple[bool, float, int]


@dataclasses.dataclass(slots=True)
class Lease:
    """An open request that holds a slot of its upstream.

    :param granted_at: seconds on the allocator's clock, like all times in this
        module.
    :param is_trial: whether it was sent to an idle upstream that is probably
        gray.
    :param is_observed: whether its allocator has run since it was granted.
    :param is_overdue: whether it has no end after the usual time.
    :param is_failed: whether the missing answer was recorded as a failure.
    :param is_closed: whether it has ended or was given up.
    """

    request: messages.PlacementRequest
    upstream: identifiers.UpstreamId
    granted_at: float
    is_trial: bool = False
    is_observed: bool = True
    is_overdue: bool = False
    is_failed: bool = False
    is_closed: bool = False

    @property
    def holds_slot(self) -> bool:
        """Return whether its upstream is taken to run it."""
        return self.is_failed or not self.is_overdue


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that is queued for a slot.

    :param queued_at: when it was submitted.
    :param polled_at: when its host polled last.
    :param is_held: whether no upstream takes requests of its host at present.
        Requests of other hosts do not queue behind it.
    """

    request: messages.PlacementRequest
    order: QueueOrder
    queued_at: float
    polled_at: float
    is_held: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDecision:
    """A decision on a queued request until its host polls for it."""

    answer: messages.Answer
    decided_at: float
