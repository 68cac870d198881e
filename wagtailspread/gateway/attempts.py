"""The attempts of one request, and the answer that they come to."""

import asyncio
import dataclasses
import enum
import typing

import logbook

from wagtailspread.entry import ledgers
from wagtailspread.gateway import exchanges
from wagtailspread.placement import budgets, retries, selection
from wagtailspread.registry import records, tallies
from wagtailspread.core import identifiers
from wagtailspread.routing import terms

#: Time at an upstream, as a multiple of the usual time there, after which a
#: request without an answer counts as failed.
OVERDUE_FACTOR = 4.0
#: Least time of that kind, in seconds.
OVERDUE_SECONDS = 1.5

_log = logbook.Logger('attempts')


class Refusal(enum.Enum):
    """Why a request ends without an answer of an upstream."""

    #: The service has no upstream left to try.
    NO_UPSTREAM = 'no-upstream'
    #: The upstreams that were tried did not run it.
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

    route: terms.RouteTerms
    service: identifiers.ServiceName
    outgoing: exchanges.Outgoing
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conclusion:
    """How a request ended: an answer or a refusal.

    :param proof: that no attempt can have run, if that is so.
    """

    answer: exchanges.Answer | None
    refusal: Refusal | None
    proof: ledgers.NotRun | None


class _State:
    """What the attempts of one request came to so far."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.ledger = ledgers.RunLedger()
        self.trials = retries.Trials(job.route.max_attempts)
        self.excluded: set[identifiers.UpstreamId] = set()
        self.answer: exchanges.Answer | None = None

    def may_go_on(self) -> bool:
        """Tell whether the request may be sent once more."""
        body = self.job.outgoing.body
        is_first = not self.trials.sends
        if body is not None and not body.is_replayable and not is_first:
            return False
        return self.trials.may_send_again(
            has_run=self.ledger.prove_not_run() is None,
            is_repeatable=self.job.route.is_repeatable,
        )

    def conclude(self, refusal: Refusal) -> Conclusion:
        """Return the last answer, or a refusal that is true."""
        proof = self.ledger.prove_not_run()
        if self.answer is not None:
            return Conclusion(self.answer, None, proof)
        if proof is None and refusal is not Refusal.NO_TIME:
            refusal = Refusal.ANSWER_LOST
        return Conclusion(None, refusal, proof)


class AttemptRunner:
    """Runs the attempts of requests.

    :param book: takes the results for the other hosts.
    :param hurry: is called when a result should be reported soon.
    """

    def __init__(
        self,
        selector: selection.Selector,
        exchanger: exchanges.Exchanger,
        budget: budgets.SharedRetryBudget,
        book: tallies.TallyBook,
        hurry: typing.Callable[[], None],
    ) -> None:
        """Keep the parts."""
        self._hurry = hurry
        self._selector = selector
        self._exchanger = exchanger
        self._budget = budget
        self._book = book

    async def run(self, job: Job) -> Conclusion:
        """Send a request until there is an answer or no more way."""
        state = _State(job)
        self._budget.add_request(job.service, _now())
        while True:
            refusal = self._find_obstacle(state)
            if refusal is not None:
                return state.conclude(refusal)
            row = self._selector.choose(_create_need(state), _now())
            if row is None:
                refusal = Refusal.NO_UPSTREAM
                if state.trials.sends:
                    refusal = Refusal.NO_ROOM
                return state.conclude(refusal)
            outcome = await self._send(row.record, state)
            if isinstance(outcome, exchanges.Answer):
                state.answer = outcome
                if not outcome.is_server_error:
                    return state.conclude(Refusal.NO_ROOM)

    def _find_obstacle(self, state: _State) -> Refusal | None:
        """Return why the request is not sent to another upstream."""
        left = state.job.outgoing.deadline - _now()
        if left < exchanges.LEAST_SECONDS:
            return Refusal.NO_TIME
        if not state.may_go_on():
            return Refusal.NO_ROOM
        if state.trials.sends:
            if not self._budget.spend(state.job.service, _now()):
                return Refusal.NO_ROOM
        return None

    async def _send(
        self,
        record: records.UpstreamRecord,
        state: _State,
    ) -> exchanges.Outcome:
        job = state.job
        state.excluded.add(record.upstream)
        self._selector.start(record.upstream)
        overdue = asyncio.get_running_loop().call_later(
            self._find_overdue_seconds(job.service),
            self._note,
            record,
            tallies.Evidence.BAD,
        )
        progress = state.ledger.open_attempt()
        try:
            outcome = await self._exchanger.send(record, job.outgoing, progress)
        finally:
            overdue.cancel()
            self._selector.finish(record.upstream)
        if isinstance(outcome, exchanges.NoConnection):
            state.trials.note_failed_connection()
        else:
            state.trials.note_sent()
        self._judge(record, outcome, job)
        return outcome

    def _find_overdue_seconds(self, service: identifiers.ServiceName) -> float:
        usual = self._selector.find_usual_seconds(service, _now())
        return max(OVERDUE_SECONDS, OVERDUE_FACTOR * usual)

    def _judge(
        self,
        record: records.UpstreamRecord,
        outcome: exchanges.Outcome,
        job: Job,
    ) -> None:
        """Take an outcome as evidence about its upstream."""
        if isinstance(outcome, exchanges.Answer):
            if not outcome.is_server_error:
                self._note_good(record, outcome.seconds)
                return
            self._note(record, tallies.Evidence.BAD)
            detail = str(outcome.status)
        elif isinstance(outcome, exchanges.NotExecuted):
            self._note_not_executed(record, outcome)
            detail = 'not executed'
        elif isinstance(outcome, exchanges.NoConnection):
            self._selector.block(record.upstream, _now())
            self._note(record, tallies.Evidence.UNREACHABLE)
            detail = 'no connection'
        else:
            if not outcome.is_expired:
                self._note(record, tallies.Evidence.BAD)
            detail = outcome.reason
        _log.info(
            'attempt {} failed at {}: {}',
            job.outgoing.attempt,
            record.upstream,
            detail,
        )

    def _note_good(
        self,
        record: records.UpstreamRecord,
        seconds: float,
    ) -> None:
        self._book.add_good(record.upstream, seconds)
        shared = self._selector.shared
        shared.add_good(record.upstream, 1, seconds, _now())

    def _note_not_executed(
        self,
        record: records.UpstreamRecord,
        outcome: exchanges.NotExecuted,
    ) -> None:
        if outcome.is_another:
            self._selector.block(record.upstream, _now())
            self._note(record, tallies.Evidence.UNREACHABLE)
        else:
            self._note(record, tallies.Evidence.SHED)

    def _note(
        self,
        record: records.UpstreamRecord,
        evidence: tallies.Evidence,
    ) -> None:
        self._book.add(record.upstream, evidence)
        self._hurry()
        shared = self._selector.shared
        if evidence is tallies.Evidence.BAD:
            shared.add_bad(record.upstream, _now())
        elif evidence is tallies.Evidence.SHED:
            shared.add_shed(record.upstream, _now())
        else:
            shared.add_unreachable(record.upstream, _now())


def _create_need(state: _State) -> selection.Need:
    return selection.Need(
        state.job.service,
        state.job.size,
        frozenset(state.excluded),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
