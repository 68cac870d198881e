"""Attempts to send one request, and their final result."""

import asyncio
import dataclasses
import enum
import typing
import zlib

import logbook

from wagtailspread.core import identifiers
from wagtailspread.entry import executions
from wagtailspread.gateway import evidence, exchanges, placements
from wagtailspread.gateway import route_waits, stops
from wagtailspread.placement import messages, retries
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps
from wagtailspread.workspaces import revocations

#: Latency objective of a route that sets none, in seconds.
DEFAULT_OBJECTIVE_SECONDS = 2.0
#: What a retry has left of its objective at least, in seconds. It is late and
#: takes any upstream that has a free slot.
MIN_OBJECTIVE_SECONDS = 0.001

_NO_WORKSPACE = identifiers.WorkspaceName('')
#: Route classes are non-negative numbers of 31 bits.
_CLASS_MASK = 0x7FFFFFFF

_log = logbook.Logger('attempts')


class Refusal(enum.Enum):
    """Why a request ends without a response of an upstream."""

    #: The service has no upstream left to try.
    NO_UPSTREAM = 'no-upstream'
    #: No tried upstream ran the request, none has capacity in time, or the
    #: budget for retries is used up.
    NO_ROOM = 'no-room'
    #: The deadline of the request has passed or is too close for an attempt.
    NO_TIME = 'no-time'
    #: A newer configuration is in force, which the host does not hold yet.
    NOT_CURRENT = 'not-current'
    #: The host stops before the request is answered.
    STOPPING = 'stopping'
    #: The request has crashed the upstreams that ran it.
    BLOCKED = 'blocked'
    #: The cap of its workspace is used up.
    OVER_CAP = 'over-cap'
    #: A newer configuration does not know its key, or knows it as the key of
    #: another workspace.
    KEY_REVOKED = 'key-revoked'
    #: The request may have run, and its response was lost.
    ANSWER_LOST = 'answer-lost'


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and the chosen service.

    :param size: of the body in bytes.
    :param workspace: whose key the request carries, if any.
    :param version: of the configuration with the route and the workspace.
    :param is_revoked: tells whether the active configuration serves the request
        in another way because of its key, or not at all.
    """

    route: terms.Route
    service: identifiers.ServiceName
    outgoing: exchanges.OutgoingRequest
    size: int
    workspace: terms.Workspace | None = None
    version: int = 0
    is_revoked: typing.Callable[[], bool] = bool

    @property
    def priority(self) -> int:
        """Priority of the workspace, or else of the route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority


@dataclasses.dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request: a response or a refusal.

    :param response: of the last upstream that sent a complete one.
    :param proof: set if it is proven that no attempt has run.
    :param retry_after: seconds until there may be capacity.
    :param sends: number of upstreams that the request was sent to.
    :param upstream: last upstream that was tried.
    :param counted_service: the service whose retry budget includes it.
    """

    response: exchanges.UpstreamResponse | None
    refusal: Refusal | None
    proof: executions.NotRunProof | None
    retry_after: float = 0.0
    sends: int = 0
    upstream: identifiers.UpstreamId | None = None
    counted_service: identifiers.ServiceName | None = None


_REFUSALS = {
    messages.Decision.NO_UPSTREAM: Refusal.NO_UPSTREAM,
    messages.Decision.NO_ROOM: Refusal.NO_ROOM,
    messages.Decision.NO_BUDGET: Refusal.NO_ROOM,
    messages.Decision.BLOCKED: Refusal.BLOCKED,
    messages.Decision.OVER_CAP: Refusal.OVER_CAP,
}


class _RequestState:
    """State of one request over its attempts."""

    def __init__(self, routed: RoutedRequest) -> None:
        self.routed = routed
        self.execution = executions.ExecutionRecord()
        self.send_attempts = retries.SendAttempts(routed.route.max_attempts)
        self.excluded: set[identifiers.UpstreamId] = set()
        self.response: exchanges.UpstreamResponse | None = None
        self.upstream: identifiers.UpstreamId | None = None
        self.is_counted = False
        self._started_at = _now()

    def find_objective(self) -> float:
        """Return the seconds that are left of the objective for an attempt."""
        objective = self.routed.route.objective or DEFAULT_OBJECTIVE_SECONDS
        if not self.send_attempts.sends:
            return objective
        left = objective - (_now() - self._started_at)
        return max(left, min(objective, MIN_OBJECTIVE_SECONDS))

    def can_send(self) -> bool:
        """Tell whether the request may be sent to a further upstream."""
        body = self.routed.outgoing.body
        is_first = not self.send_attempts.sends
        if body is not None and not body.is_replayable and not is_first:
            return False
        return self.send_attempts.may_send_again(
            has_run=self.execution.prove_not_run() is None,
            is_repeatable=self.routed.route.is_repeatable,
        )

    def create_result(
        self,
        refusal: Refusal,
        retry_after: float = 0.0,
    ) -> RequestResult:
        """Return the last response or a refusal.

        A refusal that implies that the request has not run is replaced if
        this is not proven.
        """
        proof = self.execution.prove_not_run()
        if proof is None and refusal is not Refusal.NO_TIME:
            refusal = Refusal.ANSWER_LOST
        return RequestResult(
            self.response,
            refusal if self.response is None else None,
            proof,
            retry_after if self.response is None else 0.0,
            self.send_attempts.sends,
            self.upstream,
            self.routed.service if self.is_counted else None,
        )


class AttemptRunner:
    """Sends requests with a limited number of attempts.

    :param watch: interrupts requests whose keys are revoked.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        placer: placements.Placer,
        exchanger: exchanges.Exchanger,
        stop_limit: stops.StopLimit | None = None,
        is_obsolete: typing.Callable[[], bool] | None = None,
        has_old_keys: typing.Callable[[], bool] | None = None,
    ) -> None:
        """Create a runner on these collaborators.

        :param stop_limit: ends open requests when the host stops.
        :param is_obsolete: tells whether the routes must not be used any more.
        :param has_old_keys: tells whether the keys of workspaces must not be
            used any more.
        """
        self.watch = revocations.RevocationWatch()
        self._has_old_keys = has_old_keys or bool
        self._is_obsolete = is_obsolete
        self._stop_limit = stop_limit or stops.StopLimit()
        self._host = host
        self._domain = domain
        self._placer = placer
        self._exchanger = exchanger

    async def run(
        self, routed: RoutedRequest, earlier: RequestResult | None = None
    ) -> RequestResult:
        """Send a request until it is answered or no attempt is left.

        :param earlier: its result by an older route, by which it was not sent.
        """
        state = _RequestState(routed)
        if earlier is not None:
            state.is_counted = earlier.counted_service == routed.service
        try:
            async with self._stop_limit.limit():
                return await self._run(state)
        except TimeoutError:
            return state.create_result(Refusal.STOPPING)

    async def wait_for_routes(self, deadline: float) -> bool:
        """Wait until the routes may be used again; tell whether they may.

        :param deadline: of a request, in seconds of the event loop clock.
        """
        if self._is_obsolete is None:
            return True
        return await route_waits.wait_while(
            self._is_obsolete, route_waits.find_end(deadline)
        )

    async def _run(self, state: _RequestState) -> RequestResult:
        while True:
            refusal = self._check_attempt(state)
            if refusal is not None:
                return state.create_result(refusal)
            placement_request = self._create_placement_request(state)
            placed = await self._place(placement_request, state.routed)
            state.is_counted = True
            refusal = self._find_refusal(
                placement_request, placed, state.routed
            )
            if refusal is not None:
                return state.create_result(refusal, placed.answer.retry_after)
            outcome = await self._send(placement_request, placed, state)
            if isinstance(outcome, exchanges.UpstreamResponse):
                state.response = outcome
                if not outcome.is_server_error:
                    return state.create_result(Refusal.NO_ROOM)

    def _check_attempt(self, state: _RequestState) -> Refusal | None:
        """Return why no further attempt is made, ``None`` if one is."""
        left = state.routed.outgoing.deadline - _now()
        if left < exchanges.MIN_SEND_SECONDS:
            return Refusal.NO_TIME
        if not state.can_send():
            return Refusal.NO_ROOM
        return self._check_sendable(state.routed)

    async def _place(
        self,
        placement_request: messages.PlacementRequest,
        routed: RoutedRequest,
    ) -> placements.Placement:
        """Return the placement; do not wait on for one whose key is revoked.

        The placer withdraws a request whose wait is interrupted.
        """
        if routed.workspace is None:
            return await self._placer.place(placement_request)
        try:
            async with self.watch.interrupt(routed.is_revoked):
                return await self._placer.place(placement_request)
        except revocations.KeyRevoked:
            answer = messages.Answer(messages.Decision.NO_ROOM)
            return placements.Placement(answer, None)

    def _check_sendable(self, routed: RoutedRequest) -> Refusal | None:
        """Return why a request must not be sent now, ``None`` if it may."""
        if not self._stop_limit.may_send(routed.outgoing.deadline):
            return Refusal.STOPPING
        if routed.is_revoked():
            return Refusal.KEY_REVOKED
        if routed.workspace is not None and self._has_old_keys():
            return Refusal.NOT_CURRENT
        return None

    def _create_placement_request(
        self, state: _RequestState
    ) -> messages.PlacementRequest:
        routed = state.routed
        workspace = routed.workspace
        return messages.PlacementRequest(
            request_id=self._placer.create_id(),
            host=self._host,
            domain=self._domain,
            service=routed.service,
            deadline=routed.outgoing.deadline,
            objective=state.find_objective(),
            size=routed.size,
            priority=routed.priority,
            excluded=frozenset(state.excluded),
            is_repeat=state.send_attempts.sends > 0,
            is_repeatable=routed.route.is_repeatable
            and state.send_attempts.sends + 1 < routed.route.max_attempts,
            fingerprint=routed.outgoing.fingerprint,
            is_counted=state.is_counted,
            workspace=_NO_WORKSPACE if workspace is None else workspace.name,
            cap=caps.NO_CAP if workspace is None else workspace.cap,
            route_class=_compute_class(routed.route),
            is_permitted=state.execution.prove_not_run() is None,
        )

    def _find_refusal(
        self,
        placement_request: messages.PlacementRequest,
        placed: placements.Placement,
        routed: RoutedRequest,
    ) -> Refusal | None:
        """Return why a request is not sent, ``None`` if it is."""
        if placed.answer.record is None:
            if routed.is_revoked():
                return Refusal.KEY_REVOKED
            return _REFUSALS[placed.answer.decision]
        refusal = self._check_sendable(routed)
        if refusal is None and self._is_obsolete and self._is_obsolete():
            # The route was chosen when the request arrived.
            refusal = Refusal.NOT_CURRENT
        if refusal is not None:
            self._placer.withdraw(placement_request, placed)
        return refusal

    async def _send(
        self,
        placement_request: messages.PlacementRequest,
        placed: placements.Placement,
        state: _RequestState,
    ) -> exchanges.Outcome:
        record = placed.answer.record
        if record is None:
            raise ValueError('placement without an upstream to send to')
        state.excluded.add(record.upstream)
        state.upstream = record.upstream
        started = _now()
        found = messages.Evidence.NONE
        received = exchanges.ReceivedNotice()
        is_reset = False
        try:
            outcome = await self._exchanger.send(
                record,
                state.routed.outgoing,
                state.execution.open_attempt(),
                received,
            )
            found = evidence.classify(outcome, _now() - started)
            is_reset = evidence.is_reset(outcome)
        finally:
            seconds = _now() - started
            self._placer.settle(
                placement_request.request_id,
                placed,
                found,
                seconds,
                received.notice,
                is_reset=is_reset,
                fingerprint=placement_request.fingerprint,
            )
        if isinstance(outcome, exchanges.NoConnection):
            state.send_attempts.record_connection_failure()
        else:
            state.send_attempts.record_send()
        if found is not messages.Evidence.GOOD:
            _log.info(
                'attempt failed',
                extra={
                    'attempt': state.routed.outgoing.attempt,
                    'fingerprint': state.routed.outgoing.fingerprint,
                    'upstream': record.upstream,
                    'reason': evidence.describe_failure(outcome),
                    'allocator': placed.allocator or 'none',
                    'seconds': round(seconds, 3),
                },
            )
        return outcome


def _compute_class(route: terms.Route) -> int:
    """Return the same number for a route at all hosts."""
    return zlib.crc32(route.name.encode()) & _CLASS_MASK


def _now() -> float:
    return asyncio.get_running_loop().time()
