"""Bytes of the requests that are open at each upstream.

An upstream that holds more than its memory allows crashes, and it does not
announce how much that is. So large requests are spread, and the bytes open at
one upstream are bounded if upstreams are lost while they hold many. The bound
is learned for each service from the results at each number of open bytes: it is
set only where upstreams with many open bytes were lost and those with fewer
were not.

>>> table = create_bounds()
>>> for number in range(20):
...     table.record_end('fotos', 1000, number / 10)
>>> table.record_loss('fotos', ('u1', 1), 8_000_000, 2.0)
>>> table.find('fotos', 2.0) is None
True
>>> table.record_loss('fotos', ('u2', 1), 10_000_000, 3.0)
>>> table.find('fotos', 3.0)
6400000
"""

import collections
import dataclasses
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import messages, selection
from wagtailspread.registry import tables

#: Size from which requests are spread over upstreams, and number of open bytes
#: from which the loss of an upstream may be due to them.
LARGE_BYTES = 1_000_000
#: Results of this time count, in seconds.
WINDOW_SECONDS = 60.0
#: Number of lost incarnations of upstreams from which a bound is set. A single
#: upstream may be lost for any reason.
MIN_LOSSES = 2
#: Number of ends with fewer open bytes from which their losses can be judged.
MIN_ENDS = 10
#: Share of losses below a number of open bytes up to which the losses from it
#: on count as due to these bytes, as a part of the share from it on.
SOUND_PART = 0.1
#: Largest probability that as many losses are all found there by chance.
MAX_CHANCE = 0.05
#: Classes of numbers of open bytes in each doubling.
_CLASSES = 4
#: The bound, as a part of the fewest bytes that a lost upstream held.
FALL = 0.8
#: Time for which a bound holds after a loss, in seconds. Then it rises by the
#: factor in each interval, and ends at the multiple of what was lost.
HOLD_SECONDS = 60.0
RAISE_SECONDS = 5.0
RAISE_FACTOR = 1.02
END_FACTOR = 2.0
#: Time for which the bytes that an upstream held before ends are remembered, in
#: seconds: the losses of its requests are reported one after another.
PEAK_SECONDS = 1.0
#: An upstream and when it was born.
Incarnation = tuple[identifiers.UpstreamId, int]

_log = logbook.Logger('placement')


class OpenBytes:
    """Sums of the bytes open at upstreams. Use :func:`create_open_bytes`.

    :param most: most bytes that were open at one upstream since the last call
        of :meth:`take_most`.
    """

    def __init__(self) -> None:
        """Start without open requests."""
        self.most = 0
        self._sums: dict[identifiers.UpstreamId, int] = {}
        self._peaks: dict[identifiers.UpstreamId, tuple[int, float]] = {}

    def add(self, upstream: identifiers.UpstreamId, size: int) -> None:
        """Add the bytes of a request that is sent to an upstream."""
        if size > 0:
            self._sums[upstream] = self.count(upstream) + size
            self.most = max(self.most, self._sums[upstream])

    def remove(
        self, upstream: identifiers.UpstreamId, size: int, now: float
    ) -> None:
        """Remove the bytes of a request that has ended."""
        if size <= 0:
            return
        self._peaks[upstream] = (self.find_peak(upstream, now), now)
        left = self.count(upstream) - size
        if left > 0:
            self._sums[upstream] = left
        else:
            self._sums.pop(upstream, None)

    def count(self, upstream: identifiers.UpstreamId) -> int:
        """Return the bytes open at an upstream."""
        return self._sums.get(upstream, 0)

    def find_peak(self, upstream: identifiers.UpstreamId, now: float) -> int:
        """Return the most bytes that were open a moment ago or are now."""
        peak, at = self._peaks.get(upstream, (0, -math.inf))
        recent = peak if now - at <= PEAK_SECONDS else 0
        return max(recent, self.count(upstream))

    def prune(self, now: float) -> None:
        """Drop what is too old to count."""
        for upstream, (_, at) in list(self._peaks.items()):
            if now - at > PEAK_SECONDS:
                self._peaks.pop(upstream)

    def take_most(self) -> int:
        """Return the most bytes open at one upstream since the last call."""
        most, self.most = self.most, max(self._sums.values(), default=0)
        return most


class _Loss(typing.NamedTuple):
    at: float
    held: int
    incarnation: Incarnation


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Results and bound of one service.

    :param ends: number of good ends by the class of the bytes that were
        open, in the current and the previous part of the window.
    :param ends_since: when the current part began, in seconds.
    :param bound: 0 for none.
    :param lost_bytes: fewest bytes at a loss that the bound is due to.
    :param rises_at: when the bound rises next, in seconds.
    """

    losses: list[_Loss]
    ends: tuple[collections.Counter[int], collections.Counter[int]]
    ends_since: float
    bound: float = 0.0
    lost_bytes: int = 0
    rises_at: float = math.inf


class ByteBounds:
    """Learned bounds by service. Use :func:`create_bounds`."""

    def __init__(self) -> None:
        """Start without bounds."""
        self._states: dict[identifiers.ServiceName, _ServiceState] = {}

    def record_end(
        self, service: identifiers.ServiceName, held: int, now: float
    ) -> None:
        """Record that an upstream answered a request.

        :param held: bytes that were open there.
        """
        state = self._find_state(service, now)
        state.ends[0][_find_class(held)] += 1

    def record_loss(
        self,
        service: identifiers.ServiceName,
        incarnation: Incarnation,
        held: int,
        now: float,
    ) -> None:
        """Record that an upstream reset or refused a connection.

        Further ones of the same incarnation count once.

        :param held: bytes that were open there.
        """
        state = self._find_state(service, now)
        state.losses = [
            one for one in state.losses if one.at >= now - WINDOW_SECONDS
        ]
        if any(one.incarnation == incarnation for one in state.losses):
            return
        state.losses.append(_Loss(now, held, incarnation))
        lost_bytes = _find_lost_bytes(state)
        if lost_bytes and (not state.bound or lost_bytes < state.lost_bytes):
            self._set(service, state, lost_bytes * FALL)
            state.lost_bytes = lost_bytes
        elif state.bound and held >= LARGE_BYTES:
            # Also with a bound that has risen since.
            self._set(service, state, min(state.bound, held * FALL))
        else:
            return
        state.rises_at = now + HOLD_SECONDS

    def find(self, service: identifiers.ServiceName, now: float) -> int | None:
        """Return the bound of the bytes open at an upstream, if any."""
        state = self._states.get(service)
        if state is None or not state.bound:
            return None
        while state.bound and now >= state.rises_at:
            state.rises_at += RAISE_SECONDS
            raised = state.bound * RAISE_FACTOR
            is_over = raised > state.lost_bytes * END_FACTOR
            self._set(service, state, 0.0 if is_over else raised)
        return int(state.bound) or None

    def describe(self, now: float) -> dict[identifiers.ServiceName, int]:
        """Return the bounds in force, for logs."""
        return {
            service: bound
            for service in self._states
            if (bound := self.find(service, now)) is not None
        }

    def _find_state(
        self, service: identifiers.ServiceName, now: float
    ) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            counters = (collections.Counter[int](), collections.Counter[int]())
            state = _ServiceState([], counters, now)
            self._states[service] = state
        if now - state.ends_since >= WINDOW_SECONDS / 2:
            state.ends_since = now
            state.ends = (collections.Counter(), state.ends[0])
        return state

    def _set(
        self,
        service: identifiers.ServiceName,
        state: _ServiceState,
        bound: float,
    ) -> None:
        _log.info(
            'bound on open bytes changed',
            extra={
                'service': service,
                'bytes': int(bound),
                'before': int(state.bound),
                'lost_bytes': state.lost_bytes,
            },
        )
        state.bound = bound


def _find_lost_bytes(state: _ServiceState) -> int:
    """Return the number of bytes from which upstreams are lost, 0 if none."""
    held = sorted(one.held for one in state.losses)
    for lost_below, level in enumerate(held):
        lost_above = len(held) - lost_below
        is_possible = level >= LARGE_BYTES and lost_above >= MIN_LOSSES
        if is_possible and _is_due(state, level, lost_above, lost_below):
            return level
    return 0


def _is_due(
    state: _ServiceState, level: int, lost_above: int, lost_below: int
) -> bool:
    """Tell whether upstreams are lost due to a number of open bytes.

    :param lost_above: losses from this number on.
    """
    ends_above = _count_ends(state, lambda one: one >= _find_class(level))
    ends_below = _count_ends(state, lambda one: one < _find_class(level))
    if ends_below < MIN_ENDS:
        return False
    share_above = lost_above / (lost_above + ends_above)
    share_below = lost_below / (lost_below + ends_below)
    chance = (ends_above / (ends_above + ends_below)) ** lost_above
    return share_below <= SOUND_PART * share_above and chance <= MAX_CHANCE


def _find_class(held: int) -> int:
    return int(math.log2(held + 1) * _CLASSES)


def _count_ends(
    state: _ServiceState, is_counted: typing.Callable[[int], bool]
) -> int:
    """Return the number of good ends in some classes of open bytes."""
    return sum(
        count
        for counter in state.ends
        for found, count in counter.items()
        if is_counted(found)
    )


class ByteLimiter:
    """Spreads and bounds open bytes. Use :func:`create_limiter`.

    :param sums: bytes open at each upstream.
    :param bounds: learned bounds.
    """

    def __init__(self, regions: int) -> None:
        """Start without open requests and bounds.

        :param regions: number of allocators that share each bound.
        """
        self.sums = create_open_bytes()
        self.bounds = create_bounds()
        self._regions = regions

    def mark_full(
        self,
        request: messages.PlacementRequest,
        candidates: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Return the candidates; those without room for the bytes are full.

        An upstream without open bytes takes a request of any size.
        """
        bound = self.bounds.find(request.service, now)
        if bound is None or not request.size:
            return candidates
        room = bound // self._regions - request.size
        return [
            one._replace(is_full=one.is_full or self._count(one) > max(room, 0))
            for one in candidates
        ]

    def has_room(
        self,
        request: messages.PlacementRequest,
        registry: tables.RegistryTable,
        now: float,
    ) -> bool:
        """Tell whether an upstream has room for the bytes of a request."""
        bound = self.bounds.find(request.service, now)
        if bound is None or not request.size:
            return True
        room = max(bound // self._regions - request.size, 0)
        counts = [
            self.sums.count(row.record.upstream)
            for row in registry.list_ready(request.service)
        ]
        return not counts or min(counts) <= room

    def prefer(
        self,
        request: messages.PlacementRequest,
        candidates: list[selection.Candidate],
    ) -> list[selection.Candidate]:
        """Return the candidates among which a request is placed.

        For a large one these are, of the cheapest ones, those with the fewest
        open bytes.
        """
        if request.size < LARGE_BYTES or not candidates:
            return candidates
        limit = min(one.cost for one in candidates) + selection.COST_SCALE
        cheapest = [one for one in candidates if one.cost <= limit]
        fewest = min(map(self._count, cheapest))
        return [one for one in cheapest if self._count(one) == fewest]

    def record_end(
        self,
        service: identifiers.ServiceName,
        incarnation: Incarnation,
        evidence: messages.Evidence,
        now: float,
        *,
        is_reset: bool,
    ) -> None:
        """Record the end of a request whose bytes still count as open."""
        upstream = incarnation[0]
        held = self.sums.find_peak(upstream, now)
        if is_reset or evidence is messages.Evidence.UNREACHABLE:
            self.bounds.record_loss(service, incarnation, held, now)
        elif evidence is messages.Evidence.GOOD:
            self.bounds.record_end(service, held, now)

    def log_counts(self, now: float) -> None:
        """Log the bounds and the most bytes open at one upstream."""
        most = self.sums.take_most()
        bounds = self.bounds.describe(now)
        if most >= LARGE_BYTES or bounds:
            _log.info(
                'open bytes counted', extra={'most': most, 'bounds': bounds}
            )

    def _count(self, candidate: selection.Candidate) -> int:
        return self.sums.count(candidate.row.record.upstream)


def create_open_bytes() -> OpenBytes:
    """Return sums without open requests."""
    return OpenBytes()


def create_bounds() -> ByteBounds:
    """Return a table without bounds."""
    return ByteBounds()


def create_limiter(regions: int = 1) -> ByteLimiter:
    """Return a limiter without open requests and bounds.

    :param regions: number of regions; the allocator of each uses its part of a
        bound.
    """
    return ByteLimiter(max(regions, 1))
