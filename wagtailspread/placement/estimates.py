"""Estimates of the time until a queued request is served.

>>> clamp_retry_after(0.05), clamp_retry_after(1.0), clamp_retry_after(60.0)
(0.2, 1.0, 3.0)
"""

from wagtailspread.core import identifiers
from wagtailspread.placement import selection

#: Assumed duration of a request before any measurement, in seconds.
DEFAULT_REQUEST_SECONDS = 0.5
#: Bounds of the retry-after time of a refused request, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 3.0


def find_typical_seconds(
    selector: selection.Selector,
    service: identifiers.ServiceName,
    now: float,
) -> float:
    """Return the typical duration of a request of a service in seconds."""
    typical = selector.find_typical_seconds(service, now)
    return typical or DEFAULT_REQUEST_SECONDS


def estimate_wait(
    selector: selection.Selector,
    service: identifiers.ServiceName,
    ahead: int,
    now: float,
) -> float:
    """Return the estimated wait for a slot, in seconds.

    :param ahead: queued requests of the service that come first.
    """
    rows = selector.registry.list_ready(service)
    slots = sum(row.record.slots for row in rows)
    seconds = find_typical_seconds(selector, service, now)
    return (ahead + 1) * seconds / max(slots, 1)


def clamp_retry_after(wait: float) -> float:
    """Return the time after which a caller may retry, in seconds.

    :param wait: estimated time until a slot is free.
    """
    return min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
