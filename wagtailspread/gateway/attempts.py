"""The attempts of one request, and the answer that they come to."""

import asyncio
import dataclasses
import enum

import logbook

from wagtailspread.core import identifiers
from wagtailspread.entry import executions
from wagtailspread.gateway import exchanges, placements
from wagtailspread.placement import messages, retries
from wagtailspread.routing import terms

#: Time in which an answer is worth most if the route does not say, in seconds.
DEFAULT_OBJECTIVE_SECONDS = 2.0
#: Time of a request without an answer at its end from which on that counts
#: against the upstream, in seconds.
EXPIRED_SECONDS = 1.5

_log = logbook.Logger('attempts')


class Refusal(enum.Enum):
    """Why a request ends without an answer of an upstream."""

    #: The service has no upstream left to try.
    NO_UPSTREAM = 'no-upstream'
    #: No upstream that was tried ran it, or none has room in time.
    NO_ROOM = 'no-room'
    #: Its time is over.
    NO_TIME = 'no-time'
    #: It may have run, and its answer was lost.
    ANSWER_LOST = 'answer-lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request that is ready to be sent.

    :param size: bytes of its body.
    """

    route: terms.Route
    service: identifiers.ServiceName
    outgoing: exchanges.Outgoing
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conclusion:
    """How a request ended: an answer or a refusal.

    :param proof: that no attempt can have run, if that is so.
    :param retry_after: seconds after which there may be room.
    :param sends: upstreams that the request was sent to.
    :param upstream: the last one that was tried.
    """

    answer: exchanges.Answer | None
    refusal: Refusal | None
    proof: executions.NotRunProof | None
    retry_after: float = 0.0
    sends: int = 0
    upstream: identifiers.UpstreamId | None = None


_REFUSALS = {
    messages.Decision.NO_UPSTREAM: Refusal.NO_UPSTREAM,
    messages.Decision.NO_ROOM: Refusal.NO_ROOM,
    messages.Decision.NO_BUDGET: Refusal.NO_ROOM,
}


class _State:
    """What the attempts of one request came to so far."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.execution = executions.ExecutionRecord()
        self.trials = retries.SendAttempts(job.route.max_attempts)
        self.excluded: set[identifiers.UpstreamId] = set()
        self.answer: exchanges.Answer | None = None
        self.upstream: identifiers.UpstreamId | None = None

    def may_go_on(self) -> bool:
        """Tell whether the request may be sent once more."""
        body = self.job.outgoing.body
        is_first = not self.trials.sends
        if body is not None and not body.is_replayable and not is_first:
            return False
        return self.trials.may_send_again(
            has_run=self.execution.prove_not_run() is None,
            is_repeatable=self.job.route.is_repeatable,
        )

    def conclude(
        self,
        refusal: Refusal,
        retry_after: float = 0.0,
    ) -> Conclusion:
        """Return the last answer, or a refusal that is true."""
        proof = self.execution.prove_not_run()
        if proof is None and refusal is not Refusal.NO_TIME:
            refusal = Refusal.ANSWER_LOST
        return Conclusion(
            self.answer,
            refusal if self.answer is None else None,
            proof,
            retry_after if self.answer is None else 0.0,
            self.trials.sends,
            self.upstream,
        )


class AttemptRunner:
    """Runs the attempts of requests."""

    def __init__(
        self,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        placer: placements.Placer,
        exchanger: exchanges.Exchanger,
    ) -> None:
        """Keep the parts."""
        self._host = host
        self._domain = domain
        self._placer = placer
        self._exchanger = exchanger

    async def run(self, job: Job) -> Conclusion:
        """Send a request until there is an answer or no more way."""
        state = _State(job)
        while True:
            left = job.outgoing.deadline - _now()
            if left < exchanges.LEAST_SECONDS:
                return state.conclude(Refusal.NO_TIME)
            if not state.may_go_on():
                return state.conclude(Refusal.NO_ROOM)
            need = self._create_need(state)
            placed = await self._placer.place(need)
            if placed.answer.record is None:
                refusal = _REFUSALS[placed.answer.decision]
                return state.conclude(refusal, placed.answer.retry_after)
            outcome = await self._send(need, placed, state)
            if isinstance(outcome, exchanges.Answer):
                state.answer = outcome
                if not outcome.is_server_error:
                    return state.conclude(Refusal.NO_ROOM)

    def _create_need(self, state: _State) -> messages.PlacementRequest:
        job = state.job
        return messages.PlacementRequest(
            request_id=self._placer.create_id(),
            host=self._host,
            domain=self._domain,
            service=job.service,
            deadline=job.outgoing.deadline,
            objective=job.route.objective or DEFAULT_OBJECTIVE_SECONDS,
            size=job.size,
            priority=job.route.priority,
            excluded=frozenset(state.excluded),
            is_repeat=state.trials.sends > 0,
            is_repeatable=job.route.is_repeatable
            and state.trials.sends + 1 < job.route.max_attempts,
        )

    async def _send(
        self,
        need: messages.PlacementRequest,
        placed: placements.Placement,
        state: _State,
    ) -> exchanges.Outcome:
        record = placed.answer.record
        if record is None:
            raise ValueError(placed)
        state.excluded.add(record.upstream)
        state.upstream = record.upstream
        started = _now()
        evidence = messages.Evidence.NONE
        try:
            outcome = await self._exchanger.send(
                record,
                state.job.outgoing,
                state.execution.open_attempt(),
            )
            evidence = _judge(outcome, _now() - started)
        finally:
            seconds = _now() - started
            self._placer.settle(need.request_id, placed, evidence, seconds)
        if isinstance(outcome, exchanges.NoConnection):
            state.trials.record_connection_failure()
        else:
            state.trials.record_send()
        if evidence is not messages.Evidence.GOOD:
            _log.info(
                'attempt failed',
                extra={
                    'attempt': state.job.outgoing.attempt,
                    'upstream': record.upstream,
                    'reason': _describe(outcome),
                    'allocator': placed.allocator or 'none',
                    'seconds': round(seconds, 3),
                },
            )
        return outcome


def _judge(
    outcome: exchanges.Outcome,
    seconds: float,
) -> messages.Evidence:
    """Return what an outcome says of its upstream."""
    if isinstance(outcome, exchanges.Answer):
        is_bad = outcome.is_server_error
        return messages.Evidence.BAD if is_bad else messages.Evidence.GOOD
    if isinstance(outcome, exchanges.NotExecuted) and not outcome.is_another:
        return messages.Evidence.SHED
    if not isinstance(outcome, exchanges.Loss):
        return messages.Evidence.UNREACHABLE
    if outcome.is_expired and seconds < EXPIRED_SECONDS:
        return messages.Evidence.NONE
    return messages.Evidence.BAD


def _describe(outcome: exchanges.Outcome) -> str:
    if isinstance(outcome, exchanges.Answer):
        return f'status {outcome.status}'
    if isinstance(outcome, exchanges.Loss):
        return outcome.reason
    return type(outcome).__name__


def _now() -> float:
    return asyncio.get_running_loop().time()
