"""Silent connections: open ones that make no progress while new ones work.

An exchange that is quiet for long on a reused connection is compared with a
new connection to the same upstream. Only one exchange of a pool makes the
comparison; its verdict holds for all that wait on older connections. If the
upstream is slow rather than the connections silent, the comparison is not
repeated for a while, so that a slow upstream does not get its work twice.

An upstream that hangs at random must not pass for one with silent
connections. Three observations speak against silence: a connection that is no
newer than the quiet one carried an answer since, an exchange on a new
connection timed out lately, or an earlier generation of connections was found
silent lately.

See also: :mod:`wagtailspread.entry.exchanges`.
"""

import asyncio
import dataclasses
import typing
import weakref

from wagtailspread.entry import connections, executions

#: Multiple of a pool's mean time after which an exchange counts as quiet.
STALL_FACTOR = 8.0
#: Shortest and longest quiet time, in seconds.
MIN_STALL_SECONDS = 0.2
MAX_STALL_SECONDS = 2.0
#: Time without a new comparison after one that found a slow upstream.
PAUSE_SECONDS = 5.0
#: Time for which a verdict or a timeout on a new connection counts.
MEMORY_SECONDS = 30.0

#: Repeats an exchange on a new connection; returns the whole answer.
Repeat = typing.Callable[[], typing.Awaitable[typing.Any]]


@dataclasses.dataclass(slots=True, eq=False)
class MonitoredExchange:
    """An exchange that may be stuck on a silent connection.

    :param repeat: repeats it, ``None`` where that is not allowed.
    :param task: runs it; :meth:`expire` ends its wait.
    :param repeat_reply: the answer from a new connection.
    """

    progress: executions.AttemptProgress
    started: float
    repeat: Repeat | None
    task: asyncio.Task[typing.Any] | None
    repeat_reply: typing.Any = None
    rescuer: asyncio.Task[None] | None = None
    is_registered: bool = False
    is_expired: bool = False

    def expire(self) -> None:
        """End the wait for the exchange, once."""
        if not self.is_expired and self.task is not None:
            self.is_expired = True
            self.task.cancel()


@dataclasses.dataclass(slots=True)
class _PoolState:
    """The stalled exchanges of one pool and what was found lately."""

    stalls: set[MonitoredExchange] = dataclasses.field(default_factory=set)
    paused_until: float = -1.0
    fresh_timeout_at: float = float('-inf')
    silent_generation: int = -1
    silent_at: float = float('-inf')


class SilenceDetector:
    """Compares quiet connections with new ones."""

    def __init__(self) -> None:
        """Start with no pools."""
        self._states: weakref.WeakKeyDictionary[
            connections.UpstreamPool,
            _PoolState,
        ] = weakref.WeakKeyDictionary()

    def add_stalled(
        self,
        pool: connections.UpstreamPool,
        stall: MonitoredExchange,
        now: float,
    ) -> None:
        """Take in an exchange that was quiet for too long."""
        record = stall.progress.connection
        if record is None or not stall.progress.is_reused:
            return
        state = self._find(pool)
        state.stalls.add(stall)
        stall.is_registered = True
        if record.generation == pool.generation:
            pool.renew()
        is_comparing = any(one.rescuer for one in state.stalls)
        if not is_comparing and now >= state.paused_until:
            self._start(pool, stall)

    def forget(
        self,
        pool: connections.UpstreamPool,
        stall: MonitoredExchange,
        now: float,
    ) -> None:
        """Drop an exchange that ended.

        If it ended by itself while it was compared, the upstream is slow
        and its connections are not silent.
        """
        state = self._states.get(pool)
        if state is None:
            return
        state.stalls.discard(stall)
        if stall.rescuer is not None:
            stall.rescuer.cancel()
            if stall.repeat_reply is None:
                state.paused_until = now + PAUSE_SECONDS

    def detect_silence(
        self,
        pool: connections.UpstreamPool,
        stall: MonitoredExchange,
        now: float,
    ) -> bool:
        """Tell whether an exchange without an answer had a silent connection.

        The alternative is that the upstream did not answer.
        """
        record = stall.progress.connection
        if record is None:
            return False
        state = self._find(pool)
        if not stall.progress.is_reused:
            state.fresh_timeout_at = now
            return False
        if stall.repeat_reply is None and not _works_anew(pool, stall, record):
            return False
        if _works_on_old(pool, stall, record):
            return False
        if state.fresh_timeout_at > now - MEMORY_SECONDS:
            return False
        return self._admit(state, record.generation, now)

    def _admit(self, state: _PoolState, generation: int, now: float) -> bool:
        """Accept one silent generation in a while, and those before it."""
        is_recent = state.silent_at > now - MEMORY_SECONDS
        if is_recent and generation > state.silent_generation:
            return False
        if not is_recent:
            state.silent_generation = generation
            state.silent_at = now
        return True

    def _find(self, pool: connections.UpstreamPool) -> _PoolState:
        state = self._states.get(pool)
        if state is None:
            state = _PoolState()
            self._states[pool] = state
        return state

    def _start(
        self, pool: connections.UpstreamPool, stall: MonitoredExchange
    ) -> None:
        if stall.repeat is not None:
            stall.rescuer = asyncio.create_task(
                self._rescue(pool, stall, stall.repeat),
            )

    async def _rescue(
        self,
        pool: connections.UpstreamPool,
        stall: MonitoredExchange,
        repeat: Repeat,
    ) -> None:
        reply = await repeat()
        if reply is None:
            return
        stall.repeat_reply = reply
        now = asyncio.get_running_loop().time()
        stall.expire()
        if not self.detect_silence(pool, stall, now):
            return
        for other in self._find(pool).stalls:
            if other.rescuer is None:
                self._start(pool, other)


def _works_anew(
    pool: connections.UpstreamPool,
    stall: MonitoredExchange,
    record: executions.ConnectionRecord,
) -> bool:
    """Tell whether a connection opened after the exchange began works."""
    return any(
        other.opened_at > stall.started and other.succeeded_at > stall.started
        for other in pool.list_records()
        if other is not record
    )


def _works_on_old(
    pool: connections.UpstreamPool,
    stall: MonitoredExchange,
    record: executions.ConnectionRecord,
) -> bool:
    """Tell whether a connection that is no newer carried an answer since."""
    return any(
        other.opened_at <= record.opened_at
        and other.succeeded_at > stall.started
        for other in pool.list_records()
        if other is not record
    )
