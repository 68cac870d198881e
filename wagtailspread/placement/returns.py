"""Recognizes refused requests that come again at the time that they were told.

The caller of a refused request gets a time, and one that comes again at that
time goes before new ones. One that comes earlier is a new one. Different
callers may have the same fingerprint, so each fingerprint has at most one
entry: however often it is refused, it goes ahead once for each time told.

>>> table = create_returns()
>>> table.add(7, _Return(asked_at=1.0, tag=0.5, back_at=2.0))
>>> table.claim(7, 1.5), table.claim(7, 2.0).asked_at, table.claim(7, 2.1)
(None, 1.0, None)
"""

import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import crashes, estimates

#: Time after which a caller that was told to come again counts as a new one,
#: in seconds.
KEEP_SECONDS = 4.0
#: Time by which a caller may be early, in seconds: clocks and messages differ
#: by a few milliseconds.
TOLERANCE_SECONDS = 0.02
#: Maximum number of entries; beyond it, the oldest one is dropped.
MAX_RETURNS = 20_000
#: Part of the slots for which refused callers are told to come again. With
#: more, they take the slots of requests that can end within their objectives.
RETURN_SHARE = 0.3
#: Step of the sequence that spreads callers over an interval; multiples of the
#: golden ratio are spread evenly whatever their number.
SPREAD_STEP = 0.618034


class _Return(typing.NamedTuple):
    """A refused request.

    :param asked_at: when it came first, in seconds, as all times here.
    :param tag: its start tag in the fair queue.
    :param back_at: when its caller was told to come again.
    """

    asked_at: float
    tag: float
    back_at: float


class ReturnTable:
    """Refused requests by fingerprint. Use :func:`create_returns`."""

    def __init__(self) -> None:
        """Create a table without requests."""
        self._returns: dict[crashes.Fingerprint, _Return] = {}
        self._claimed_at: dict[crashes.Fingerprint, float] = {}
        self._last_claim = -math.inf

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._returns)

    def add(self, fingerprint: crashes.Fingerprint, entry: _Return) -> None:
        """Record a refusal.

        If the caller was told a later time before, that time holds: coming
        early and being refused again gains nothing.
        """
        if fingerprint == crashes.NO_FINGERPRINT:
            return
        known = self._returns.pop(fingerprint, None)
        if known is not None and known.back_at > entry.back_at:
            entry = entry._replace(back_at=known.back_at)
        self._returns[fingerprint] = entry
        if len(self._returns) > MAX_RETURNS:
            self._returns.pop(next(iter(self._returns)))

    def claim(
        self, fingerprint: crashes.Fingerprint, now: float
    ) -> _Return | None:
        """Remove and return the entry of a request that comes in time."""
        known = self._returns.get(fingerprint)
        if known is None or now < known.back_at - TOLERANCE_SECONDS:
            return None
        self._returns.pop(fingerprint)
        if now > known.back_at + KEEP_SECONDS:
            return None
        self._claimed_at[fingerprint] = now
        self._last_claim = now
        return known

    def has_back(self, now: float) -> bool:
        """Tell whether callers come again when they are told to."""
        return now <= self._last_claim + KEEP_SECONDS

    def is_back(self, fingerprint: crashes.Fingerprint, now: float) -> bool:
        """Tell whether a caller has come again when it was told to."""
        claimed_at = self._claimed_at.get(fingerprint, -math.inf)
        return now <= claimed_at + KEEP_SECONDS

    def prune(self, now: float) -> None:
        """Drop requests whose callers did not come again."""
        self._claimed_at = {
            fingerprint: claimed_at
            for fingerprint, claimed_at in self._claimed_at.items()
            if now <= claimed_at + KEEP_SECONDS
        }
        self._returns = {
            fingerprint: entry
            for fingerprint, entry in self._returns.items()
            if now <= entry.back_at + KEEP_SECONDS
        }


class ReturnTimes:
    """Times at which refused callers shall return. Use :func:`create_times`."""

    def __init__(self) -> None:
        """Start without planned returns."""
        self._planned: dict[identifiers.ServiceName, float] = {}
        self._spread = 0.0

    def plan(
        self,
        service: identifiers.ServiceName,
        room_at: float,
        seconds: float,
        now: float,
    ) -> float:
        """Return the seconds until there is room for a refused request.

        Those that are refused together are told different times, at a rate that
        leaves a part of the slots to new requests.

        :param room_at: when there is room for it, without planned returns.
        :param seconds: for which it takes the whole service.
        """
        planned = max(self._planned.get(service, 0.0), room_at)
        latest = now + estimates.MAX_RETRY_AFTER_SECONDS
        self._planned[service] = min(planned + seconds / RETURN_SHARE, latest)
        if planned >= latest:
            # Any time in the second half is as good as another one.
            self._spread = math.modf(self._spread + SPREAD_STEP)[0]
            planned -= self._spread * estimates.MAX_RETRY_AFTER_SECONDS / 2
        return estimates.clamp_retry_after(planned - now)


def create_times() -> ReturnTimes:
    """Return a plan without returns."""
    return ReturnTimes()


def create_return(asked_at: float, tag: float, back_at: float) -> _Return:
    """Return the entry of a refused request."""
    return _Return(asked_at, tag, back_at)


def create_returns() -> ReturnTable:
    """Return a table without requests."""
    return ReturnTable()
