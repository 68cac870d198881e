"""What an upstream asks of a host in the headers of an answer."""

import math
import time
import typing

from email import utils

from wagtailspread.gateway import headers
from wagtailspread.placement import messages

#: Longest time for which an upstream may be left alone, in seconds.
MAX_HOLD_SECONDS = 86_400.0
_UNAVAILABLE = 503
_LEAVING = '1'


def read_notice(
    status: int,
    found: typing.Any,
    names: headers.HeaderNames,
) -> messages.UpstreamNotice:
    """Return what an answer of an upstream asks of the host.

    :param found: headers of an answer that belongs to the exchange.
    """
    leaving = [text.strip() for text in found.getall(names.leaving, [])]
    hold_seconds = 0.0
    if status == _UNAVAILABLE:
        texts = found.getall(names.retry_after, [])
        hold_seconds = max(map(parse_retry_after, texts), default=0.0)
    return messages.UpstreamNotice(_LEAVING in leaving, hold_seconds)


def parse_retry_after(text: str) -> float:
    """Return the time in a ``Retry-After`` header in seconds, 0 if malformed.

    >>> parse_retry_after('1.5'), parse_retry_after('-3')
    (1.5, 0.0)
    >>> parse_retry_after('9' * 400)
    86400.0

    References: RFC 9110, section 10.2.3; fractions are an addition.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = _read_date(text)
    if math.isnan(seconds):
        return 0.0
    return min(max(seconds, 0.0), MAX_HOLD_SECONDS)


def _read_date(text: str) -> float:
    """Return the time until a date in seconds, 0 if it is none."""
    try:
        return utils.parsedate_to_datetime(text).timestamp() - time.time()
    except (TypeError, ValueError, OverflowError):
        return 0.0
