"""Calls to an owner that end early when the owner stops answering.

A queued slot request may wait for a long time in normal operation, so a late
answer alone is no evidence of a failure. While calls are open and no answer
arrives, heartbeats are sent to the owner. After :data:`FAILURE_SECONDS` without
any answer, all open calls end and the owner counts as failed until it answers
again.
"""

import asyncio
import typing

from returns import result

from wagtailspread.core import clocks, failures
from wagtailspread.wire import links, messages

#: Time without any answer after which an owner counts as failed, in seconds.
FAILURE_SECONDS = 0.2
#: Time without any answer after which a heartbeat is sent, in seconds.
HEARTBEAT_DELAY_SECONDS = 0.08
#: Interval between checks of an owner with open calls, in seconds.
CHECK_SECONDS = 0.04
#: Interval between heartbeats to a failed owner, in seconds.
PROBE_SECONDS = 0.2
#: Delay of a check, in seconds, above which this host itself counts as stalled;
#: the time without an answer then says nothing about the owner.
LOCAL_DELAY_SECONDS = 0.1


class OwnerCalls:
    """Monitored calls to one owner."""

    def __init__(self, link: links.Link, clock: clocks.Clock) -> None:
        """Start with no open calls."""
        self.is_failed = False
        self._link = link
        self._clock = clock
        self._open: set[asyncio.Timeout] = set()
        self._last_answer_at = 0.0
        self._check_due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_heartbeat_pending = False

    async def call(
        self,
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
        timeout: float,
    ) -> links.CallResult:
        """Send a call; it ends early if the owner stops answering.

        :param timeout: longest time to wait for the answer, in seconds.
        """
        now = self._clock.now()
        if not self._open:
            self._last_answer_at = now
        limit = asyncio.timeout_at(now + timeout)
        self._open.add(limit)
        self._start_timer(now)
        try:
            async with limit:
                answer = await self._link.call(
                    method,
                    request,
                    answer_type,
                    timeout,
                )
        except TimeoutError:
            return self._time_out(timeout)
        finally:
            self._open.discard(limit)
        self._record_answer(answer, now + timeout)
        return answer

    async def send(
        self,
        method: int,
        request: messages.Struct,
        timeout: float,
    ) -> links.CallResult:
        """Send a call that is not used to detect a failed owner."""
        empty = messages.structs.Empty
        return await self._link.call(method, request, empty, timeout)

    async def close(self) -> None:
        """Stop the checks and heartbeats."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _record_answer(self, answer: links.CallResult, deadline: float) -> None:
        now = self._clock.now()
        if isinstance(answer, result.Success):
            self._last_answer_at = now
            return
        failure = answer.failure()
        if isinstance(failure, failures.CallRejected):
            self._last_answer_at = now
        elif now < deadline:
            self._fail()

    def _time_out(self, timeout: float) -> links.CallResult:
        address = self._link.address
        return result.Failure(failures.CallTimeout(address, timeout))

    def _start_timer(self, now: float) -> None:
        if self._timer is None:
            self._check_due_at = now + CHECK_SECONDS
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._check_due_at, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._open:
            return
        now = self._clock.now()
        if now - self._check_due_at > LOCAL_DELAY_SECONDS:
            self._last_answer_at = now
        seconds_without_answer = now - self._last_answer_at
        if seconds_without_answer >= FAILURE_SECONDS:
            self._fail()
            return
        if (
            seconds_without_answer >= HEARTBEAT_DELAY_SECONDS
            and not self._is_heartbeat_pending
        ):
            self._start(self._check_with_heartbeat())
        self._start_timer(now)

    def _fail(self) -> None:
        now = asyncio.get_running_loop().time()
        for limit in list(self._open):
            limit.reschedule(now)
        self._open.clear()
        if not self.is_failed:
            self.is_failed = True
            self._start(self._probe())

    async def _check_with_heartbeat(self) -> None:
        self._is_heartbeat_pending = True
        try:
            await self._send_heartbeat()
        finally:
            self._is_heartbeat_pending = False

    async def _probe(self) -> None:
        while self.is_failed:
            await asyncio.sleep(PROBE_SECONDS)
            if await self._send_heartbeat():
                self.is_failed = False

    async def _send_heartbeat(self) -> bool:
        heartbeat = messages.structs.Heartbeat(
            service_name='',
            host='',
            vote_stamp=0,
        )
        answer = await self._link.call(
            messages.methods.HELLO,
            heartbeat,
            messages.structs.HeartbeatAnswer,
            FAILURE_SECONDS,
        )
        if isinstance(answer, result.Success):
            self._last_answer_at = self._clock.now()
            return True
        return False

    def _start(self, work: typing.Coroutine[typing.Any, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
