"""Tells whether a queue can take a request and still serve all others in time.

A request that was admitted is kept: it is refused later only if capacity is
lost. So a request is admitted only if each one that would come after it still
starts before its limit. For one of the same or a higher rank this is its
latest start for an end within the objective, for others and for those that are
late already it is the latest start for an end before the deadline.
"""

from wagtailspread.placement import leases, queues

#: Time in seconds for each step of priority after which a request goes first,
#: so that a flood of urgent requests does not starve the others.
PRIORITY_STEP_SECONDS = 1.0
#: Share of its time until the deadline after which it goes first at the latest.
MAX_RANK_WAIT_SHARE = 1 / 3
#: Multiple of the expected work that is left before the deadline. About a
#: third of the requests take longer than that.
DEADLINE_WORK_FACTOR = 1.1
#: Time in seconds by which an admitted request starts earlier than needed when
#: a new one is put before it, since estimates are not exact. With 0.5 and 1,
#: the replays had less value.
KEEP_MARGIN = 0.25
#: Time in seconds before its latest start at which a request goes first.
DANGER_SECONDS = 0.1


def find_latest(entry: leases.WaitingRequest) -> float:
    """Return the latest start for an end before the deadline, in seconds.

    A request with less time than that when it comes may start at once.
    """
    latest = entry.request.deadline - DEADLINE_WORK_FACTOR * entry.work
    return max(latest, entry.queued_at)


def keeps_admitted(
    queue: queues.ServiceQueue,
    entry: leases.WaitingRequest,
    capacity: float,
    now: float,
) -> bool:
    """Tell whether the requests behind a new one keep their limits.

    Those that miss a limit already, since work took longer than expected or
    capacity was lost, are no reason to refuse the new one.

    :param entry: with its place in the order; it is not queued yet.
    :param capacity: seconds of work that are done in a second.
    """
    delay = entry.work / capacity
    start = now + queue.estimate_ahead(entry.order) / capacity
    for other in queue.list_behind(entry.order):
        late_start = start + delay
        if late_start > other.due:
            limit = other.latest - KEEP_MARGIN
            # One that is late without the new one may still lose its deadline.
            if start > other.due:
                is_kept = not start <= limit < late_start
            else:
                is_kept = limit >= late_start and not _is_kept_in_time(
                    other, entry
                )
            if not is_kept:
                return False
        start += other.work / capacity
    return True


def list_endangered(
    queue: queues.ServiceQueue, capacity: float, now: float
) -> list[leases.WaitingRequest]:
    """Return the requests that miss their deadline at their present place."""
    start = now + DANGER_SECONDS
    endangered = []
    for entry in queue.list_ordered():
        if start > entry.latest and not entry.is_preferred:
            endangered.append(entry)
        start += entry.work / capacity
    return endangered


def list_lost(
    queue: queues.ServiceQueue, capacity: float, now: float
) -> list[leases.WaitingRequest]:
    """Return the requests that can't be served after a loss of capacity."""
    start = now
    lost = []
    for entry in queue.list_ordered():
        if start > entry.latest:
            lost.append(entry)
        else:
            start += entry.work / capacity
    return lost


def has_waited(entry: leases.WaitingRequest, now: float) -> bool:
    """Tell whether a request of a lower rank has waited for long."""
    request = entry.request
    if entry.is_preferred or request.priority <= 0:
        return False
    limit = min(
        PRIORITY_STEP_SECONDS * request.priority,
        MAX_RANK_WAIT_SHARE * (request.deadline - entry.queued_at),
    )
    return now - entry.queued_at >= limit


def _is_kept_in_time(
    other: leases.WaitingRequest, entry: leases.WaitingRequest
) -> bool:
    """Tell whether a new request must not make another one late.

    It may if it has no time to wait, and if its workspace has had less.
    """
    if other.is_late or other.is_preferred:
        return False
    if entry.is_preferred or entry.is_short or entry.tag < other.tag:
        return False
    return other.request.priority <= entry.request.priority
