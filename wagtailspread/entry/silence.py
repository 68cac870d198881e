"""Detection of silent connections.

A silent connection is open but makes no progress, while a new connection to
the same upstream works. An exchange that has stalled on a reused connection is
repeated on a new one. Only one exchange per pool is repeated at first; if its
connection proves silent, this holds for all exchanges on older connections,
and the other stalled ones are repeated too. If instead the upstream is slow,
no exchange is repeated for :data:`PAUSE_SECONDS`, so that a slow upstream does
not receive its requests twice.

An upstream that hangs at random must not be mistaken for one with silent
connections. Three observations are evidence against a silent connection:

- a connection that is no newer has returned an answer since the exchange began;
- an exchange on a new connection timed out recently;
- an earlier generation of connections was recently found silent.

See also: :mod:`wagtailspread.entry.exchanges`.
"""

import asyncio
import dataclasses
import typing
import weakref

from wagtailspread.entry import connections, executions

#: Multiple of a pool's mean exchange time after which an exchange is stalled.
STALL_FACTOR = 8.0
#: Bounds of the time without an answer after which an exchange is stalled, in
#: seconds.
MIN_STALL_SECONDS = 0.2
MAX_STALL_SECONDS = 2.0
#: Time without further repetitions after one that found a slow upstream, in
#: seconds.
PAUSE_SECONDS = 5.0
#: Time for which a detection, or a timeout on a new connection, is retained as
#: evidence, in seconds.
RETENTION_SECONDS = 30.0

#: Repeats an exchange on a new connection; returns its answer or ``None``.
Repeat = typing.Callable[[], typing.Awaitable[typing.Any]]


@dataclasses.dataclass(slots=True, eq=False)
class MonitoredExchange:
    """An exchange that may be stalled on a silent connection.

    :param started: start of the exchange, in seconds on the host's clock.
    :param repeat: repeats the exchange; ``None`` if that is not allowed.
    :param task: runs the exchange; :meth:`expire` cancels it.
    :param repeat_reply: the answer from a new connection.
    """

    progress: executions.AttemptProgress
    started: float
    repeat: Repeat | None
    task: asyncio.Task[typing.Any] | None
    repeat_reply: typing.Any = None
    repeat_task: asyncio.Task[None] | None = None
    is_registered: bool = False
    is_expired: bool = False

    def expire(self) -> None:
        """Cancel the exchange unless that was done before."""
        if not self.is_expired and self.task is not None:
            self.is_expired = True
            self.task.cancel()


@dataclasses.dataclass(slots=True)
class _PoolState:
    """Stalled exchanges of one pool and recent observations."""

    stalled: set[MonitoredExchange] = dataclasses.field(default_factory=set)
    paused_until: float = -1.0
    new_connection_timeout_at: float = float('-inf')
    silent_generation: int = -1
    silent_at: float = float('-inf')


class SilenceDetector:
    """Repeats stalled exchanges on new connections and compares the two."""

    def __init__(self) -> None:
        """Start with no pools."""
        self._states: weakref.WeakKeyDictionary[
            connections.UpstreamPool,
            _PoolState,
        ] = weakref.WeakKeyDictionary()

    def add_stalled(
        self,
        pool: connections.UpstreamPool,
        exchange: MonitoredExchange,
        now: float,
    ) -> None:
        """Register a stalled exchange and repeat it if none is repeated yet.

        Exchanges on new connections are ignored.
        """
        record = exchange.progress.connection
        if record is None or not exchange.progress.is_reused:
            return
        state = self._find_state(pool)
        state.stalled.add(exchange)
        exchange.is_registered = True
        if record.generation == pool.generation:
            pool.renew()
        is_repeating = any(other.repeat_task for other in state.stalled)
        if not is_repeating and now >= state.paused_until:
            self._start_repeat(pool, exchange)

    def remove(
        self,
        pool: connections.UpstreamPool,
        exchange: MonitoredExchange,
        now: float,
    ) -> None:
        """Remove an exchange that ended.

        If it ended by itself while it was being repeated, the upstream is slow
        and its connections are not silent.
        """
        state = self._states.get(pool)
        if state is None:
            return
        state.stalled.discard(exchange)
        if exchange.repeat_task is not None:
            exchange.repeat_task.cancel()
            if exchange.repeat_reply is None:
                state.paused_until = now + PAUSE_SECONDS

    def detect_silence(
        self,
        pool: connections.UpstreamPool,
        exchange: MonitoredExchange,
        now: float,
    ) -> bool:
        """Return whether an unanswered exchange had a silent connection.

        If it did not, the upstream itself failed to answer.
        """
        record = exchange.progress.connection
        if record is None:
            return False
        state = self._find_state(pool)
        if not exchange.progress.is_reused:
            state.new_connection_timeout_at = now
            return False
        if exchange.repeat_reply is None and not _has_working_new(
            pool, exchange, record
        ):
            return False
        if _has_working_old(pool, exchange, record):
            return False
        if state.new_connection_timeout_at > now - RETENTION_SECONDS:
            return False
        return self._accept_generation(state, record.generation, now)

    def _accept_generation(
        self, state: _PoolState, generation: int, now: float
    ) -> bool:
        """Return whether a generation counts as silent.

        Within :data:`RETENTION_SECONDS` only one generation, and earlier ones,
        count as silent.
        """
        is_recent = state.silent_at > now - RETENTION_SECONDS
        if is_recent and generation > state.silent_generation:
            return False
        if not is_recent:
            state.silent_generation = generation
            state.silent_at = now
        return True

    def _find_state(self, pool: connections.UpstreamPool) -> _PoolState:
        state = self._states.get(pool)
        if state is None:
            state = _PoolState()
            self._states[pool] = state
        return state

    def _start_repeat(
        self, pool: connections.UpstreamPool, exchange: MonitoredExchange
    ) -> None:
        if exchange.repeat is not None:
            exchange.repeat_task = asyncio.create_task(
                self._run_repeat(pool, exchange, exchange.repeat),
            )

    async def _run_repeat(
        self,
        pool: connections.UpstreamPool,
        exchange: MonitoredExchange,
        repeat: Repeat,
    ) -> None:
        reply = await repeat()
        if reply is None:
            return
        exchange.repeat_reply = reply
        now = asyncio.get_running_loop().time()
        exchange.expire()
        if not self.detect_silence(pool, exchange, now):
            return
        for other in self._find_state(pool).stalled:
            if other.repeat_task is None:
                self._start_repeat(pool, other)


def _has_working_new(
    pool: connections.UpstreamPool,
    exchange: MonitoredExchange,
    record: executions.ConnectionRecord,
) -> bool:
    """Return whether a connection opened since the exchange began works."""
    return any(
        other.opened_at > exchange.started
        and other.succeeded_at > exchange.started
        for other in pool.list_records()
        if other is not record
    )


def _has_working_old(
    pool: connections.UpstreamPool,
    exchange: MonitoredExchange,
    record: executions.ConnectionRecord,
) -> bool:
    """Return whether a connection that is no newer has answered since."""
    return any(
        other.opened_at <= record.opened_at
        and other.succeeded_at > exchange.started
        for other in pool.list_records()
        if other is not record
    )
