"""Counts of the open requests of upstreams, and what they leave free.

>>> is_full(2, open_requests=1, overdue=0, sound_probability=0.9)
False
>>> is_full(2, open_requests=1, overdue=0, sound_probability=0.1)
True
>>> count_usable(2, overdue=0, sound_probability=0.1)
1
"""

from wagtailspread.core import identifiers

#: Probability of being sound below which an upstream is limited to one request
#: at a time.
MIN_SOUND_PROBABILITY = 0.5


def count_usable(slots: int, overdue: int, sound_probability: float) -> int:
    """Return how many requests an upstream may run at a time."""
    if sound_probability >= MIN_SOUND_PROBABILITY:
        return slots
    return min(slots, 1 + overdue)


def is_full(
    slots: int,
    open_requests: int,
    overdue: int,
    sound_probability: float,
) -> bool:
    """Tell whether an upstream gets no further request for now.

    A gray upstream fails requests immediately, so its slots are always free and
    it would drain the whole queue: it runs one request at a time. A request
    without an end does not count for that, since its answer or its host may
    have been lost, and the upstream would stay unused until its deadline.
    """
    if open_requests >= slots:
        return True
    if sound_probability >= MIN_SOUND_PROBABILITY:
        return False
    return open_requests > overdue


def increment(
    counts: dict[identifiers.UpstreamId, int],
    upstream: identifiers.UpstreamId,
) -> None:
    """Increment a count."""
    counts[upstream] = counts.get(upstream, 0) + 1


def decrement(
    counts: dict[identifiers.UpstreamId, int],
    upstream: identifiers.UpstreamId,
) -> None:
    """Decrement a count; drop it at zero."""
    remaining = counts.get(upstream, 0) - 1
    if remaining > 0:
        counts[upstream] = remaining
    else:
        counts.pop(upstream, None)
