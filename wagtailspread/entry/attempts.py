"""Attempts of one request: slot acquisition, exchange and retry decision.

A request is retried only if nothing was sent, if the upstream shed it, or if
the route is idempotent. Each retry needs a slot from the allocator, so the
allocator's retry budget limits retries across the fleet.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.core import priorities
from wagtailspread.entry import admissions, exchanges, executions
from wagtailspread.entry import interfaces, slots
from wagtailspread.workspaces import revocations

#: Maximum number of attempts per request.
MAX_ATTEMPTS = 3

_RETRYABLE_STATUS = frozenset((500, 502, 503, 504))

#: Header with the W3C trace context.
TRACE_HEADER = 'traceparent'
#: Suffix of a trace context with the "sampled" flag.
_SAMPLED_SUFFIX = '-01'
_Result = typing.TypeVar('_Result')


@dataclasses.dataclass(slots=True)
class PreparedRequest:
    """A checked request that is ready to be sent.

    Not frozen: a frozen data class takes three times as long to create.

    :param fingerprint: hash shared by equal requests, for the quarantine.
    :param admission: checked again before each attempt is sent.
    """

    request: identifiers.RequestId
    service: identifiers.ServiceName
    priority: priorities.Priority
    is_idempotent: bool
    fingerprint: bytes
    outgoing: exchanges.OutgoingRequest
    admission: admissions.Admission


@dataclasses.dataclass(slots=True)
class LeasedReply:
    """An upstream's answer and the grant of the slot that it occupies.

    :param started: start of the exchange, in seconds on the host's clock.
    :param is_finished: whether the lease was returned and the connection
        released.
    """

    reply: exchanges.Reply
    grant: slots.Grant
    started: float
    is_finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exhausted(failures.Failure):
    """All attempts ended without an answer.

    :param ended: result of the last exchange, ``None`` if none was started.
    :param refusal: why no further attempt was made.
    """

    ended: outcomes.ExchangeResult | None
    refusal: failures.Refusal


AttemptOutcome = result.Result[LeasedReply, Exhausted]


@dataclasses.dataclass(slots=True)
class _RunState:
    """Progress of the attempts of one request.

    :param attempt: number of attempts started.
    :param excluded: upstreams that earlier attempts used.
    :param ended: result of the last exchange without an answer.
    :param last_reply: last answer that was received.
    """

    attempt: int = 0
    excluded: tuple[identifiers.UpstreamId, ...] = ()
    ended: outcomes.ExchangeResult | None = None
    last_reply: LeasedReply | None = None

    def conclude(self, refusal: failures.Refusal) -> AttemptOutcome:
        """Return the last answer, even an error answer, or the failure."""
        if self.last_reply is not None:
            return result.Success(self.last_reply)
        return result.Failure(Exhausted(self.ended, refusal))


class AttemptRunner:
    """Runs the attempts of requests.

    :param source: grants slots.
    :param tracer: creates a span for each step of a sampled request.
    :param watch: interrupts requests that wait while their key is revoked.
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
        """Store the collaborators."""
        self._tracer = tracer
        self._host = host
        self._domain = domain
        self._source = source
        self._exchanger = exchanger
        self._clock = clock
        self.watch = revocations.RevocationWatch()

    async def run(
        self,
        prepared: PreparedRequest,
        execution: executions.ExecutionRecord,
    ) -> AttemptOutcome:
        """Return the answer of the first conclusive attempt.

        The code that calls this must pass the answer to :meth:`finish`.

        :param execution: records the progress of each attempt.
        """
        state = _RunState()
        while state.attempt < MAX_ATTEMPTS:
            state.attempt += 1
            acquiring = self._acquire(prepared, state)
            decision = await self._trace('allocate', prepared, acquiring)
            if not isinstance(decision, result.Success):
                return state.conclude(decision.failure())
            grant = decision.unwrap()
            attempting = self._attempt(prepared, grant, execution, state)
            if await self._trace('exchange', prepared, attempting):
                break
            state.excluded = (*state.excluded, grant.upstream)
        return state.conclude(_create_refusal(prepared))

    def finish(
        self,
        prepared: PreparedRequest,
        leased: LeasedReply,
        ended: outcomes.ExchangeResult,
    ) -> None:
        """Return the lease of an answer and release its connection, once."""
        if leased.is_finished:
            return
        leased.is_finished = True
        reply = leased.reply
        reply.close()
        received = len(reply.body) + reply.streamed
        self._complete(prepared, leased.grant, ended, leased.started, received)

    async def _trace(
        self,
        name: str,
        prepared: PreparedRequest,
        step: typing.Awaitable[_Result],
    ) -> _Result:
        """Run one step of a request, in a span if its trace is sampled."""
        header = prepared.outgoing.headers.get(TRACE_HEADER, '')
        if self._tracer is None or not header.endswith(_SAMPLED_SUFFIX):
            return await step
        with self._tracer.start_span(name, header):
            return await step

    async def _acquire(
        self,
        prepared: PreparedRequest,
        state: _RunState,
    ) -> result.Result[slots.Grant, failures.Refusal]:
        request = slots.SlotRequest(
            prepared.request,
            self._host,
            self._domain,
            prepared.priority,
            prepared.outgoing.deadline,
            state.attempt,
            prepared.fingerprint,
            state.excluded,
        )
        if prepared.admission.workspace is None:
            return await self._source.acquire(prepared.service, request)
        try:
            async with self.watch.interrupt(
                lambda: not prepared.admission.is_valid()
            ):
                return await self._source.acquire(prepared.service, request)
        except revocations.KeyRevoked:
            return result.Failure(_create_refusal(prepared))

    async def _attempt(
        self,
        prepared: PreparedRequest,
        grant: slots.Grant,
        execution: executions.ExecutionRecord,
        state: _RunState,
    ) -> bool:
        """Run one exchange; return whether no further attempt may follow."""
        started = self._clock.now()
        if not prepared.admission.is_valid():
            ended = outcomes.ExchangeResult.CANCELLED
            self._complete(prepared, grant, ended, started)
            return True
        try:
            outcome = await self._exchanger.send(
                grant.address,
                prepared.outgoing,
                execution.open_attempt(),
            )
        except BaseException:
            ended = outcomes.ExchangeResult.CANCELLED
            self._complete(prepared, grant, ended, started)
            raise
        if isinstance(outcome, result.Success):
            state.last_reply = LeasedReply(outcome.unwrap(), grant, started)
            return not self._should_retry(prepared, state.last_reply)
        state.ended = outcome.failure().result
        self._complete(prepared, grant, state.ended, started)
        is_late = self._clock.now() >= prepared.outgoing.deadline
        return is_late or not _may_retry(prepared, execution)

    def _should_retry(
        self, prepared: PreparedRequest, leased: LeasedReply
    ) -> bool:
        """Decide whether to retry after an error answer.

        If so, the lease of the answer is returned.
        """
        if leased.reply.status not in _RETRYABLE_STATUS:
            return False
        is_whole = leased.reply.is_whole
        if not (
            prepared.is_idempotent and is_whole and _is_replayable(prepared)
        ):
            return False
        self.finish(prepared, leased, leased.reply.classify())
        return True

    def _complete(
        self,
        prepared: PreparedRequest,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        started: float,
        received: int = 0,
    ) -> None:
        body = prepared.outgoing.body
        sent = 0 if body is None else body.size
        seconds = self._clock.now() - started
        self._source.complete(
            prepared.service,
            grant,
            ended,
            seconds,
            received + sent,
        )


def _may_retry(
    prepared: PreparedRequest, execution: executions.ExecutionRecord
) -> bool:
    if not _is_replayable(prepared):
        return False
    return prepared.is_idempotent or execution.prove_not_run() is not None


def _is_replayable(prepared: PreparedRequest) -> bool:
    body = prepared.outgoing.body
    return body is None or body.is_replayable


def _create_refusal(prepared: PreparedRequest) -> failures.Refusal:
    reason = prepared.admission.find_refusal()
    return failures.Refusal(
        prepared.request,
        reason or outcomes.RefusalReason.NO_CAPACITY,
    )
