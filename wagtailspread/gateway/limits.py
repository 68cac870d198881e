"""Limits of the requests of callers."""

from wagtailspread.entry import heads
from wagtailspread.routing import terms

#: Added to the configured idle time, so that a caller that respects it never
#: uses a closed connection, in seconds.
IDLE_MARGIN_SECONDS = 2.0
#: Added to the configured time limit of a request head, since a slow link
#: delivers later than the caller sends, in seconds.
HEAD_MARGIN_SECONDS = 2.0


def create_limits(configured: terms.CallerLimits) -> heads.RequestLimits:
    """Return the limits of requests.

    The idle time applies before the first request as well as between two.
    """
    return heads.RequestLimits(
        seconds=configured.header_seconds + HEAD_MARGIN_SECONDS,
        head_bytes=configured.header_bytes,
        keepalive_seconds=configured.idle_seconds + IDLE_MARGIN_SECONDS,
        body_bytes=configured.body_bytes,
    )
