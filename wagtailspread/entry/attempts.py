"""Attempts of one request: slots, exchanges and the decision to try again.

An attempt is repeated only if nothing was sent, if the upstream shed it, or if
the route is idempotent. The allocator is asked for every further attempt, so
its retry budget bounds them across the fleet.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.core import priorities
from wagtailspread.entry import exchanges, executions, interfaces, slots

#: Most attempts of one request.
MAX_ATTEMPTS = 3

_RETRYABLE_STATUS = frozenset((500, 502, 503, 504))


#: Header that carries the trace context.
TRACE_HEADER = 'traceparent'
#: End of a trace context whose trace is recorded.
_TRACED = '-01'
_Result = typing.TypeVar('_Result')


@dataclasses.dataclass(slots=True)
class Job:
    """A request that is ready to be attempted.

    It is not frozen, since that triples the time to make one.

    :param fingerprint: identifies equal requests, for the quarantine.
    """

    request: identifiers.RequestId
    service: identifiers.ServiceName
    priority: priorities.Priority
    is_idempotent: bool
    fingerprint: bytes
    outgoing: exchanges.Outgoing


@dataclasses.dataclass(slots=True)
class Held:
    """An answer together with the lease of its slot.

    :param is_finished: whether the lease was returned.
    """

    reply: exchanges.Reply
    grant: slots.Grant
    started: float
    is_finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exhausted(failures.Failure):
    """No attempt gave an answer.

    :param ended: how the last exchange ended, ``None`` if there was none.
    :param refusal: why there was no further attempt.
    """

    ended: outcomes.ExchangeResult | None
    refusal: failures.Refusal


AttemptOutcome = result.Result[Held, Exhausted]


@dataclasses.dataclass(slots=True)
class _RunState:
    """What the attempts of a request came to so far."""

    attempt: int = 0
    excluded: tuple[identifiers.UpstreamId, ...] = ()
    ended: outcomes.ExchangeResult | None = None
    last: Held | None = None

    def settle(self, refusal: failures.Refusal) -> AttemptOutcome:
        """Return the last answer, even an error, or why there is none."""
        if self.last is not None:
            return result.Success(self.last)
        return result.Failure(Exhausted(self.ended, refusal))


class AttemptRunner:
    """Runs the attempts of requests.

    :param source: gives slots.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        source: interfaces.SlotSource,
        exchanger: exchanges.Exchanger,
        clock: clocks.Clock,
        tracer: interfaces.Tracer | None = None,
    ) -> None:
        """Keep the parts."""
        self._tracer = tracer
        self._host = host
        self._domain = domain
        self._source = source
        self._exchanger = exchanger
        self._clock = clock

    async def run(
        self,
        job: Job,
        execution: executions.ExecutionRecord,
    ) -> AttemptOutcome:
        """Return the answer of the first attempt that gives one.

        The caller must :meth:`finish` what it gets.
        """
        state = _RunState()
        while state.attempt < MAX_ATTEMPTS:
            state.attempt += 1
            acquiring = self._acquire(job, state)
            decision = await self._trace('allocate', job, acquiring)
            if not isinstance(decision, result.Success):
                return state.settle(decision.failure())
            grant = decision.unwrap()
            attempting = self._attempt(job, grant, execution, state)
            if await self._trace('exchange', job, attempting):
                break
            state.excluded = (*state.excluded, grant.upstream)
        return state.settle(_create_refusal(job))

    def finish(
        self,
        job: Job,
        held: Held,
        ended: outcomes.ExchangeResult,
    ) -> None:
        """Return the lease of an answer and let go of its connection."""
        if held.is_finished:
            return
        held.is_finished = True
        reply = held.reply
        reply.close()
        received = len(reply.body) + reply.streamed
        self._complete(job, held.grant, ended, held.started, received)

    async def _trace(
        self,
        name: str,
        job: Job,
        hop: typing.Awaitable[_Result],
    ) -> _Result:
        """Run one hop of a request, in a span if the request is traced."""
        header = job.outgoing.headers.get(TRACE_HEADER, '')
        if self._tracer is None or not header.endswith(_TRACED):
            return await hop
        with self._tracer.start_span(name, header):
            return await hop

    def _acquire(
        self,
        job: Job,
        state: _RunState,
    ) -> typing.Awaitable[result.Result[slots.Grant, failures.Refusal]]:
        request = slots.SlotRequest(
            job.request,
            self._host,
            self._domain,
            job.priority,
            job.outgoing.deadline,
            state.attempt,
            job.fingerprint,
            state.excluded,
        )
        return self._source.acquire(job.service, request)

    async def _attempt(
        self,
        job: Job,
        grant: slots.Grant,
        execution: executions.ExecutionRecord,
        state: _RunState,
    ) -> bool:
        """Run one exchange; tell whether it was the last."""
        started = self._clock.now()
        try:
            outcome = await self._exchanger.send(
                grant.address,
                job.outgoing,
                execution.open_attempt(),
            )
        except BaseException:
            ended = outcomes.ExchangeResult.CANCELLED
            self._complete(job, grant, ended, started)
            raise
        if isinstance(outcome, result.Success):
            state.last = Held(outcome.unwrap(), grant, started)
            return not self._replaces(job, state.last)
        state.ended = outcome.failure().result
        self._complete(job, grant, state.ended, started)
        is_late = self._clock.now() >= job.outgoing.deadline
        return is_late or not _may_retry(job, execution)

    def _replaces(self, job: Job, held: Held) -> bool:
        """Tell whether another attempt may give a better answer.

        The lease of the answer is returned if so.
        """
        if held.reply.status not in _RETRYABLE_STATUS:
            return False
        is_whole = held.reply.is_whole
        if not (job.is_idempotent and is_whole and _is_replayable(job)):
            return False
        self.finish(job, held, held.reply.classify())
        return True

    def _complete(
        self,
        job: Job,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        started: float,
        received: int = 0,
    ) -> None:
        body = job.outgoing.body
        sent = 0 if body is None else body.size
        seconds = self._clock.now() - started
        self._source.complete(
            job.service,
            grant,
            ended,
            seconds,
            received + sent,
        )


def _may_retry(job: Job, execution: executions.ExecutionRecord) -> bool:
    if not _is_replayable(job):
        return False
    return job.is_idempotent or execution.prove_not_run() is not None


def _is_replayable(job: Job) -> bool:
    body = job.outgoing.body
    return body is None or body.is_replayable


def _create_refusal(job: Job) -> failures.Refusal:
    return failures.Refusal(
        job.request,
        outcomes.RefusalReason.NO_CAPACITY,
    )
