"""Decides which requests of workspaces are within their caps.

Each workspace that was active recently has a GCRA in its continuous-state form
(a leaky bucket, ITU-T I.371). It is equivalent to a theoretical arrival time,
and its level stays valid when the rate changes, here with the share of the
process and with loans.

See also: :mod:`wagtailspread.workspaces.shares`,
:mod:`wagtailspread.workspaces.loans`.
"""

import dataclasses
import hashlib
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.workspaces import caps, loans, shares

#: Time without a request after which the state of a workspace is dropped, in
#: seconds, once its bucket is full.
IDLE_SECONDS = 10.0
#: Interval between two searches for idle workspaces, in seconds.
PRUNE_SECONDS = 1.0
#: Time over which the demand of a workspace is averaged, in seconds.
DEMAND_SECONDS = 2.0
#: Demand as a part of the own share from which a loan is asked for.
ASK_PART = 0.8
#: Share that a workspace needs, as a multiple of its demand.
NEED_FACTOR = 1.25
#: Part of its share that an allocator keeps for requests that begin to come.
KEPT_PART = 0.05
#: Requests may wait for slots as long as the rate allows that many in this
#: time, in seconds, beyond what may be sent at once. Objectives are one second
#: and more, so those that wait longer would be late.
RESERVED_SECONDS = 1.5
#: Time in which a process that has just begun to decide adds its whole part of
#: the allowance to a bucket, in seconds. With less, the first requests of a
#: workspace were refused after each start of an allocator.
NEW_SECONDS = 3.0
#: Part of it that is added for hosts that join later.
JOINED_PART = 0.25
#: Longest time after which a refused caller is told to return, in seconds, and
#: the part of it over which callers beyond that are spread.
MAX_RETURN_SECONDS = 10.0
SPREAD_PART = 0.5
_KEY_BYTES = 8
_EPSILON = 1e-9
_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class _State:
    """State of one workspace.

    :param level: requests that may be sent at once.
    :param peak: highest share since the state exists.
    :param new_until: end of the time in which all of its part of the allowance
        is added, if the process has just begun to decide.
    :param demand: requests, each with a weight that decays with time.
    :param waiting: admitted requests that are not sent yet.
    :param return_at: when the last refused caller was told to return.
    """

    name: identifiers.WorkspaceName
    key: int
    cap: caps.Cap
    level: float
    updated_at: float
    peak: float
    new_until: float = 0.0
    demand: float = 0.0
    asked_at: float = 0.0
    waiting: int = 0
    return_at: float = 0.0
    admitted: int = 0
    refused: int = 0


class _Bounds(typing.NamedTuple):
    """Rate, and what may be sent at once.

    :param own_rate: rate without loans.
    """

    rate: float
    depth: float
    own_rate: float

    @property
    def unit(self) -> float:
        """Level that one request takes.

        Where the depth is below 1, a request takes all of it, and is admitted
        with this probability. Many such processes together keep the cap.
        """
        return min(1.0, self.depth)


class Quotas:
    """The caps at one process. Use :func:`create_quotas`.

    :param book: loans to and from this process.
    """

    def __init__(
        self,
        limits: caps.Limits,
        part: caps.AllowancePart,
        share_source: shares.ShareSource,
        draw: typing.Callable[[], float],
    ) -> None:
        """Create quotas without workspaces.

        :param draw: returns random numbers from 0 to 1.
        """
        self.book = loans.create_book()
        self._limits = limits
        self._part = part
        self._shares = share_source
        self._draw = draw
        self._states: dict[identifiers.WorkspaceName, _State] = {}
        self._by_key: dict[int, _State] = {}
        #: Workspaces near their caps. Only these are looked at for asks, since
        #: a look at 77,000 workspaces takes 80 ms.
        self._busy: set[identifiers.WorkspaceName] = set()
        self._pruned_at = -math.inf

    def __len__(self) -> int:
        """Return the number of workspaces with state."""
        return len(self._states)

    def admit(
        self,
        name: identifiers.WorkspaceName,
        cap: caps.Cap,
        now: float,
        *,
        is_repeat: bool = False,
    ) -> float:
        """Count a request; return 0, or the time until a caller may return.

        :param is_repeat: whether an upstream did not run it. Its permit may be
            on its way back, so it is admitted ahead of the return.
        :param now: seconds on the clock of the process.
        """
        state = self._find_state(name, cap, now)
        bounds = self._refill(state, now)
        state.demand = self._decay_demand(state, now) + 1
        state.asked_at = now
        if state.demand >= ASK_PART * DEMAND_SECONDS * bounds.own_rate:
            self._busy.add(name)
        unit = bounds.unit
        needed = unit - bounds.depth if is_repeat else unit
        reserved = state.waiting * unit
        places = state.level + RESERVED_SECONDS * bounds.rate - reserved
        has_place = not state.waiting or places >= unit
        has_level = bounds.depth > 0 and state.level + _EPSILON >= needed
        if has_level and has_place:
            state.level -= unit
            if unit >= 1 or self._draw() < unit:
                state.admitted += 1
                return 0.0
        state.refused += 1
        return self._assign_return(state, bounds, now)

    def give_back(self, name: identifiers.WorkspaceName, now: float) -> None:
        """Return the permit of a request that does not run."""
        state = self._states.get(name)
        if state is None:
            return
        bounds = self._refill(state, now)
        state.level = min(state.level + bounds.unit, bounds.depth)
        state.admitted -= 1

    def reserve(self, name: identifiers.WorkspaceName, now: float) -> None:
        """Record that an admitted request waits to be sent.

        It takes its part of the level when it is sent. So a queue that is sent
        at once stays within the cap, and its wait takes nothing from others.
        """
        state = self._states.get(name)
        if state is not None:
            bounds = self._refill(state, now)
            state.level = min(state.level + bounds.unit, bounds.depth)
            state.waiting += 1

    def may_send(self, name: identifiers.WorkspaceName, now: float) -> bool:
        """Tell whether a request that waits may be sent now."""
        state = self._states.get(name)
        if state is None:
            return True
        unit = self._refill(state, now).unit
        return state.level + _EPSILON >= unit

    def send(self, name: identifiers.WorkspaceName, now: float) -> None:
        """Record that a request that waited is sent."""
        state = self._states.get(name)
        if state is not None:
            state.level -= self._refill(state, now).unit
            state.waiting = max(0, state.waiting - 1)

    def cancel(self, name: identifiers.WorkspaceName) -> None:
        """Record that a request that waited will not be sent."""
        state = self._states.get(name)
        if state is not None:
            state.waiting = max(0, state.waiting - 1)
            state.admitted -= 1

    def prune(self, now: float) -> None:
        """Drop the state of idle workspaces, and loans that have ended."""
        if now - self._pruned_at < PRUNE_SECONDS:
            return
        self._pruned_at = now
        self.book.prune(now)
        for name, state in list(self._states.items()):
            if now - state.asked_at < IDLE_SECONDS or state.waiting:
                continue
            bounds = self._refill(state, now)
            if state.level + _EPSILON >= bounds.depth:
                self._states.pop(name)
                self._busy.discard(name)
                self._by_key.pop(state.key, None)

    def clear(self) -> None:
        """Drop the state of all workspaces."""
        self._states.clear()
        self._busy.clear()
        self._by_key.clear()

    def list_asks(self, now: float) -> list[loans.Ask]:
        """Return which loans the workspaces near their caps need now."""
        stamp_ms = int(now * _MILLISECONDS)
        asks = []
        for name in list(self._busy):
            state = self._states[name]
            demand = self._measure_demand(state, now)
            share = self._compute_own_share(state, now)
            if share <= 0 or demand < ASK_PART * share * state.cap.rate:
                self._busy.discard(name)
                continue
            missing = NEED_FACTOR * demand / state.cap.rate - share
            asks.append(loans.Ask(state.key, stamp_ms, min(missing, 1 - share)))
        asks = [ask for ask in asks if ask.fraction > 0]
        asks.sort(key=lambda ask: ask.fraction, reverse=True)
        return asks[: loans.MAX_ROWS]

    def lend(
        self,
        ask: loans.Ask,
        borrower: identifiers.Address,
        now: float,
    ) -> loans.Loan | None:
        """Return a loan for an ask of another process, if there is one.

        A process that no host asks has no share to lend.
        """
        state = self._by_key.get(ask.key)
        need = 0.0
        silence = shares.SILENCE_STEPS[0]
        if state is not None:
            self._refill(state, now)
            silence = shares.compute_silence(self._limits, state.cap)
            need = NEED_FACTOR * self._measure_demand(state, now)
            need /= state.cap.rate
        own = self._shares.compute(silence, now)
        spare = own - max(need, KEPT_PART * own)
        spare -= self.book.compute_lent(ask.key, now, borrower)
        loan = self.book.grant(ask, borrower, spare, now)
        if state is not None:
            # The level must fit what is left from this moment.
            self._refill(state, now)
        return loan

    def describe(self, now: float) -> list[dict[str, typing.Any]]:
        """Return the counts of the active workspaces since the last call."""
        rows = []
        for state in self._states.values():
            if not state.admitted and not state.refused:
                continue
            rows.append(
                {
                    'workspace': state.name,
                    'admitted': state.admitted,
                    'refused': state.refused,
                    'share': round(self._compute_own_share(state, now), 3),
                    'loans': round(
                        self.book.compute_balance(state.key, now), 3
                    ),
                    'level': round(state.level, 1),
                }
            )
            state.admitted = 0
            state.refused = 0
        return rows

    def _find_state(
        self,
        name: identifiers.WorkspaceName,
        cap: caps.Cap,
        now: float,
    ) -> _State:
        """Return the state of a workspace with the newest known cap."""
        state = self._states.get(name)
        if state is None:
            return self._create_state(name, cap, now)
        if cap.version > state.cap.version:
            self._refill(state, now)
            state.cap = cap
        return state

    def _create_state(
        self,
        name: identifiers.WorkspaceName,
        cap: caps.Cap,
        now: float,
    ) -> _State:
        """Return the state of a workspace that was idle.

        Its level has grown with the share that this process has had.
        """
        steady = max(
            self._shares.list_steady(now),
            key=lambda one: self._compute_steady_level(one, cap),
        )
        state = _State(
            name,
            compute_key(name),
            cap,
            self._compute_steady_level(steady, cap),
            now,
            steady.share,
            now + NEW_SECONDS if not steady.share else 0.0,
        )
        self._states[name] = state
        self._by_key[state.key] = state
        return state

    def _compute_steady_level(
        self, steady: shares.SteadyShare, cap: caps.Cap
    ) -> float:
        depth = steady.share * self._compute_depth(cap)
        return min(depth, steady.share * cap.rate * steady.seconds)

    def _compute_depth(self, cap: caps.Cap) -> float:
        """Return what all processes of this kind may send at once."""
        return cap.burst + self._limits.compute_part(cap, self._part)

    def _compute_own_share(self, state: _State, now: float) -> float:
        silence = shares.compute_silence(self._limits, state.cap)
        return self._shares.compute(silence, now)

    def _refill(self, state: _State, now: float) -> _Bounds:
        """Raise the level by what the time since has added."""
        share = self._compute_own_share(state, now)
        if share > state.peak:
            started = self._limits.compute_part(state.cap, self._part)
            if now >= state.new_until:
                started *= JOINED_PART
            state.level += started * (share - state.peak)
            state.peak = share
        own_rate = share * state.cap.rate
        if self.book.has_loans(state.key):
            share += self.book.compute_balance(state.key, now)
            share = min(max(share, 0.0), 1.0)
        bounds = _Bounds(
            share * state.cap.rate,
            share * self._compute_depth(state.cap),
            own_rate,
        )
        passed = max(0.0, now - state.updated_at)
        state.updated_at = max(state.updated_at, now)
        state.level = min(state.level + bounds.rate * passed, bounds.depth)
        return bounds

    def _decay_demand(self, state: _State, now: float) -> float:
        passed = max(0.0, now - state.asked_at)
        return state.demand * math.exp(-passed / DEMAND_SECONDS)

    def _measure_demand(self, state: _State, now: float) -> float:
        """Return the requests per second of a workspace."""
        return self._decay_demand(state, now) / DEMAND_SECONDS

    def _assign_return(
        self, state: _State, bounds: _Bounds, now: float
    ) -> float:
        """Return after which time a refused caller may return.

        Callers are told different times, one for each request that the rate
        allows. Those that don't fit in the longest time are spread randomly.
        """
        if bounds.rate <= 0:
            return MAX_RETURN_SECONDS * self._spread()
        missing = max(0.0, bounds.unit - state.level)
        room_at = now + missing / bounds.rate
        state.return_at = max(room_at, state.return_at + 1 / bounds.rate)
        if state.return_at > now + MAX_RETURN_SECONDS:
            state.return_at = now + MAX_RETURN_SECONDS
            return MAX_RETURN_SECONDS * self._spread()
        return max(state.return_at - now, 1 / _MILLISECONDS)

    def _spread(self) -> float:
        return 1 - SPREAD_PART * self._draw()


def compute_key(name: identifiers.WorkspaceName) -> int:
    """Return the number of a workspace in messages between replicas."""
    digest = hashlib.blake2b(name.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, 'big', signed=True)


def create_quotas(
    limits: caps.Limits,
    part: caps.AllowancePart,
    share_source: shares.ShareSource,
    draw: typing.Callable[[], float],
) -> Quotas:
    """Return quotas without workspaces.

    :param part: of the allowance for processes of this kind.
    :param draw: returns random numbers from 0 to 1.
    """
    return Quotas(limits, part, share_source, draw)
