"""State of open and queued requests at an allocator."""

import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.placement import messages

#: Sort key in the queue: the tier, the due time in seconds in the fair queue,
#: and the sequence number.
QueueOrder = tuple[int, float, int]
#: What requests have in common that the same upstreams can take: the failure
#: domain of the host, a class of sizes, and the upstreams that are excluded.
Shape = tuple[identifiers.FailureDomain, int, frozenset[identifiers.UpstreamId]]


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
    :param open_requests: at the upstream when it was granted, with this one; 0
        if it is not known.
    """

    request: messages.PlacementRequest
    upstream: identifiers.UpstreamId
    granted_at: float
    is_trial: bool = False
    is_observed: bool = True
    is_overdue: bool = False
    is_failed: bool = False
    is_closed: bool = False
    open_requests: int = 0

    @property
    def holds_slot(self) -> bool:
        """Return whether its upstream is taken to run it."""
        return self.is_failed or not self.is_overdue


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that is queued for a slot.

    :param queued_at: when it was submitted.
    :param polled_at: when its host polled last.
    :param work: its expected work in seconds.
    :param due: latest start for an end within its objective.
    :param latest: latest start for an end before its deadline.
    :param asked_at: when its caller asked first, before it was refused.
    :param tag: its start tag among the workspaces.
    :param is_held: whether no upstream takes requests of its host at present.
        Requests of other hosts do not queue behind it.
    :param is_short: whether its deadline leaves hardly any time to wait.
    :param is_late: whether it can't end within its objective any more.
    :param is_returning: whether its caller came again when it was told to.
    :param is_preferred: whether it goes first since its group is starved.
    """

    request: messages.PlacementRequest
    order: QueueOrder
    queued_at: float
    polled_at: float
    work: float
    due: float
    asked_at: float
    latest: float = 0.0
    tag: float = 0.0
    is_held: bool = False
    is_short: bool = False
    is_late: bool = False
    is_returning: bool = False
    is_preferred: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDecision:
    """A decision on a queued request until its host polls for it."""

    answer: messages.Answer
    decided_at: float
