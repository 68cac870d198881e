"""Requests that crash the upstreams that run them.

A request that was lost at several incarnations of upstreams, and answered by
none in between, is blocked: it is refused, whichever host it comes to. One lost
answer says little, since upstreams in trouble reset requests at random.

>>> crashes = create_crashes()
>>> from wagtailspread.registry import records
>>> upstreams = tables.create_table(
...     records.UpstreamRecord(
...         name, 'vitrina', f'10.0.0.1:{port}', 'bog', 6,
...         records.UpstreamState.READY, born_ms=1, sequence=1)
...     for port, name in enumerate(('u1', 'u2', 'u3'), start=80))
>>> [crashes.record_loss(7, row, 0.0) for row in upstreams.rows.values()]
[False, False, True]
>>> crashes.find_end(7, now=1.0) - 1.0 == BLOCK_SECONDS - 1.0
True
>>> crashes.find_end(8, now=1.0)
1.0
"""

import collections
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.registry import blocked, tables

#: Number of incarnations of upstreams at which a request must have been lost.
MIN_LOSSES = 3
#: Time for which a loss counts, in seconds.
LOSS_SECONDS = 120.0
#: Time for which a loss is passed on to other allocators, in seconds. Each of
#: them adds the delay of the exchange, so what is old must not come back.
PUBLISHED_SECONDS = 30.0
#: Number of losses from which a request is suspected at all allocators.
MIN_SUSPECTED_LOSSES = 2
#: Time for which a request is blocked, in seconds.
BLOCK_SECONDS = 300.0
#: Maximum number of suspected requests, and of blocked ones.
MAX_REQUESTS = 1024

#: Identifies requests with the same credentials, path and body; 0 for none.
Fingerprint = int
NO_FINGERPRINT: Fingerprint = 0

_log = logbook.Logger('placement')


#: Upstream and start of its incarnation.
_Incarnation = tuple[identifiers.UpstreamId, int]


class CrashTable:
    """Suspected and blocked requests. Use :func:`create_crashes`."""

    def __init__(self) -> None:
        """Start without suspicions."""
        #: Times of losses by fingerprint and incarnation.
        self._losses: collections.OrderedDict[
            Fingerprint, dict[_Incarnation, float]
        ]
        self._losses = collections.OrderedDict()
        #: Losses before an answer, which other allocators may still publish.
        self._refuted: collections.OrderedDict[Fingerprint, set[_Incarnation]]
        self._refuted = collections.OrderedDict()
        self._ends: collections.OrderedDict[Fingerprint, float]
        self._ends = collections.OrderedDict()
        #: Ends of the blocks that this allocator found itself.
        self._own_ends: collections.OrderedDict[Fingerprint, float]
        self._own_ends = collections.OrderedDict()

    def record_loss(
        self,
        fingerprint: Fingerprint,
        row: tables.RegistryRow | None,
        now: float,
    ) -> bool:
        """Record that the connection of a request ended without an answer.

        :param row: the upstream that got the request, if it is still known.
        :param now: seconds on the caller's clock, like all times here.
        :returns: whether the request is blocked from now on.
        """
        if fingerprint == NO_FINGERPRINT:
            return False
        if row is None:
            _log.info('loss not counted', extra={'fingerprint': fingerprint})
            return False
        record = row.record
        incarnation = (record.upstream, record.born_ms)
        known = self._add_loss(fingerprint, incarnation, now, now)
        _log.info(
            'request lost',
            extra={
                'fingerprint': fingerprint,
                'service': record.service,
                'upstream': record.upstream,
                'losses': len(known),
            },
        )
        return self._block_if_proven(fingerprint, now)

    def merge(
        self, suspicions: typing.Iterable[blocked.Suspicion], now: float
    ) -> None:
        """Add losses that other allocators have seen."""
        for suspicion in suspicions:
            fingerprint = suspicion.fingerprint
            incarnation = (suspicion.upstream, suspicion.born_ms)
            if incarnation in self._refuted.get(fingerprint, ()):
                continue
            lost_at = now - suspicion.age
            self._add_loss(fingerprint, incarnation, lost_at, now)
            self._block_if_proven(fingerprint, now)

    def list_suspicions(self, now: float) -> list[blocked.Suspicion]:
        """Return the recent losses of requests that may crash upstreams."""
        return [
            blocked.Suspicion(fingerprint, *incarnation, now - lost_at)
            for fingerprint, losses in self._losses.items()
            if len(losses) >= MIN_SUSPECTED_LOSSES
            for incarnation, lost_at in losses.items()
            if now - lost_at < PUBLISHED_SECONDS
        ]

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Record that an upstream answered a request."""
        losses = self._losses.pop(fingerprint, None)
        if losses:
            self._refuted.setdefault(fingerprint, set()).update(losses)
            _limit(self._refuted)
            _log.info('suspicion ended', extra={'fingerprint': fingerprint})

    def block(self, fingerprint: Fingerprint, end: float) -> None:
        """Block a request until a time, or longer if it is blocked already."""
        known = self._ends.pop(fingerprint, end)
        self._ends[fingerprint] = max(known, end)
        _limit(self._ends)

    def find_end(self, fingerprint: Fingerprint, now: float) -> float:
        """Return when a request may be sent, ``now`` if at once."""
        if fingerprint == NO_FINGERPRINT:
            return now
        return max(self._ends.get(fingerprint, now), now)

    def list_blocked(self, now: float) -> dict[Fingerprint, float]:
        """Return the requests blocked for losses that this allocator knows.

        Those that it only knows to be blocked are left out: with the delay of
        each exchange, two allocators would renew them for each other.

        :returns: seconds that are left, by fingerprint.
        """
        return {
            fingerprint: end - now
            for fingerprint, end in self._own_ends.items()
            if end > now
        }

    def _add_loss(
        self,
        fingerprint: Fingerprint,
        incarnation: _Incarnation,
        lost_at: float,
        now: float,
    ) -> dict[_Incarnation, float]:
        """Add a loss; return all recent losses of the request."""
        losses = {
            known: at
            for known, at in self._losses.pop(fingerprint, {}).items()
            if now - at < LOSS_SECONDS
        }
        losses[incarnation] = min(losses.get(incarnation, lost_at), lost_at)
        self._losses[fingerprint] = losses
        _limit(self._losses)
        return losses

    def _block_if_proven(self, fingerprint: Fingerprint, now: float) -> bool:
        """Block a request with enough losses; tell whether it has them."""
        losses = self._losses[fingerprint]
        if len(losses) < MIN_LOSSES:
            return False
        end = max(losses.values()) + BLOCK_SECONDS
        if self._own_ends.get(fingerprint, now) < end:
            if fingerprint not in self._own_ends:
                upstreams = [upstream for upstream, _ in losses]
                _log.warning(
                    'request blocked',
                    extra={'fingerprint': fingerprint, 'upstreams': upstreams},
                )
            self._own_ends[fingerprint] = end
            _limit(self._own_ends)
            self.block(fingerprint, end)
        return True


def create_crashes() -> CrashTable:
    """Return a table without suspicions."""
    return CrashTable()


def _limit(
    table: 'collections.OrderedDict[Fingerprint, typing.Any]',
) -> None:
    """Drop the entry that changed longest ago if there are too many."""
    if len(table) > MAX_REQUESTS:
        table.popitem(last=False)
