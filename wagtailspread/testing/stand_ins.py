"""Simple stand-ins for the components that an entry host depends on."""

import collections
import contextlib
import dataclasses
import itertools
import typing

from returns import result

from wagtailspread.core import failures, identifiers, outcomes, priorities
from wagtailspread.entry import interfaces, slots
from wagtailspread.wire import messages
from wagtailspread.workspaces import directories


@dataclasses.dataclass(frozen=True, slots=True)
class FixedRoute:
    """Route that matches requests by a path prefix.

    :param methods: HTTP methods that match; empty for all.
    """

    name: str
    service: identifiers.ServiceName
    path_prefix: str
    priority: priorities.Priority = priorities.Priority.STANDARD
    is_idempotent: bool = True
    methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimits:
    """Limits of a service.

    :param deadline: default deadline, in seconds.
    :param max_body: maximum size of a request body, in bytes.
    """

    deadline: float = 5.0
    max_body: int = 1 << 20


class FixedRouting:
    """Routes requests by the longest prefix; services share the limits.

    :param workspaces: none at first; tests may replace them at any time.
    """

    def __init__(
        self,
        routes: typing.Sequence[FixedRoute],
        limits: FixedLimits | None = None,
    ) -> None:
        """Sort the routes by decreasing length of their prefixes."""
        self._routes = sorted(routes, key=lambda route: -len(route.path_prefix))
        self._limits = limits or FixedLimits()
        self._services = {route.service for route in routes}
        self.workspaces = directories.create_directory((), version=0)

    def match(self, method: str, path: str) -> FixedRoute | None:
        """Return the route of a request; ``None`` if no route matches."""
        for route in self._routes:
            if not path.startswith(route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None

    def find_service(
        self,
        service: identifiers.ServiceName,
    ) -> FixedLimits | None:
        """Return the limits of a service; ``None`` if it is unknown."""
        return self._limits if service in self._services else None


class FixedOwnership:
    """Owners of all services, in a fixed order that tests can change."""

    def __init__(self, endpoints: list[interfaces.OwnerEndpoint]) -> None:
        """Store the endpoints, the owner first."""
        self.endpoints = endpoints

    def rank_owners(
        self,
        _service: identifiers.ServiceName,
        _region: identifiers.RegionName,
    ) -> list[interfaces.OwnerEndpoint]:
        """Return the endpoints in the stored order."""
        return self.endpoints

    def count_hosts(self, _region: identifiers.RegionName) -> int:
        """Return the number of endpoints."""
        return len(self.endpoints)


class SimpleCoordinator:
    """Grants requests slots of the least loaded upstream, in arrival order."""

    def __init__(self) -> None:
        """Create a coordinator without upstreams."""
        self.rows: dict[identifiers.UpstreamId, slots.Announcement] = {}
        self.leases: dict[identifiers.LeaseId, identifiers.UpstreamId] = {}
        self.completed: list[slots.Completion] = []
        self.adopted: list[slots.LeaseClaim] = []
        self.cancelled: list[identifiers.RequestId] = []
        self._queue: collections.deque[slots.SlotRequest] = collections.deque()
        self._ids = itertools.count(1)
        self._used_slots: collections.Counter[identifiers.UpstreamId] = (
            collections.Counter()
        )

    def submit(self, request: slots.SlotRequest, now: float) -> None:
        """Queue a request."""
        self._queue.append(request)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Remove a queued request."""
        self.cancelled.append(request_id)
        self._queue = collections.deque(
            queued for queued in self._queue if queued.request != request_id
        )

    def complete(self, completion: slots.Completion, now: float) -> None:
        """End a lease and free its slot."""
        self.completed.append(completion)
        upstream = self.leases.pop(completion.lease, None)
        if upstream is not None:
            self._used_slots[upstream] -= 1

    def announce(self, announcement: slots.Announcement, now: float) -> None:
        """Store the announced row."""
        self.rows[announcement.upstream] = announcement

    def adopt(self, lease_claim: slots.LeaseClaim, now: float) -> None:
        """Add a lease that an earlier allocator granted."""
        self.adopted.append(lease_claim)
        if lease_claim.lease not in self.leases:
            self.leases[lease_claim.lease] = lease_claim.upstream
            self._used_slots[lease_claim.upstream] += 1

    def tick(self, now: float) -> list[typing.Any]:
        """Decide queued requests in order, until one has to wait for a slot.

        :returns: the grants and refusals.
        """
        decisions: list[typing.Any] = []
        while self._queue:
            decision = self._decide(self._queue[0], now)
            if decision is None:
                return decisions
            self._queue.popleft()
            decisions.append(decision)
        return decisions

    def _decide(self, request: slots.SlotRequest, now: float) -> typing.Any:
        if request.deadline <= now:
            return _refuse(request, outcomes.RefusalReason.DEADLINE_UNREACHABLE)
        rows = [
            row
            for row in self.rows.values()
            if row.state is slots.UpstreamState.READY
            and row.upstream not in request.excluded
        ]
        if not rows:
            return _refuse(request, outcomes.RefusalReason.NO_CAPACITY)
        row = min(
            rows,
            key=lambda ready: self._used_slots[ready.upstream] / ready.slots,
        )
        if self._used_slots[row.upstream] >= row.slots:
            return None
        self._used_slots[row.upstream] += 1
        lease = identifiers.LeaseId(next(self._ids))
        self.leases[lease] = row.upstream
        return slots.Grant(
            request.request,
            lease,
            row.upstream,
            row.address,
            request.deadline + 1.0,
        )


class AlwaysReady:
    """Readiness that reports the host as ready at all times."""

    def is_ready(self) -> bool:
        """Return ``True``."""
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class UnsampledSpan:
    """Span that records nothing and passes on the header of its parent."""

    header: str


class NoOpTracer:
    """Tracer that records nothing."""

    def start_span(
        self,
        name: str,
        parent_header: str,
    ) -> contextlib.AbstractContextManager[UnsampledSpan]:
        """Return a span with the parent's header."""
        return contextlib.nullcontext(UnsampledSpan(parent_header))


@dataclasses.dataclass(slots=True)
class _Claim:
    """Claim on one idempotency key."""

    attempt: str
    fingerprint: bytes
    state: str = 'running'
    answer: typing.Any = None


class MemoryKeyStore:
    """Claims in memory; tests can make the store unreachable."""

    def __init__(self) -> None:
        """Create a reachable store without claims."""
        self.claims: dict[tuple[str, str, str], _Claim] = {}
        self.is_reachable = True

    async def claim_key(
        self,
        request: messages.Struct,
        timeout: float,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Claim a key for an attempt.

        :returns: a ``ClaimAnswer``, or ``Unreachable``.
        """
        if not self.is_reachable:
            return _create_unreachable()
        known = self.claims.get(_identify_claim(request))
        if known is None or known.state == 'released':
            self.claims[_identify_claim(request)] = _Claim(
                request.attempt,
                request.fingerprint,
            )
            return _create_answer('granted')
        if known.fingerprint != request.fingerprint:
            return _create_answer('mismatch')
        return _create_answer(known.state, known.answer)

    async def finish_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Store the final state and the answer of an attempt."""
        if not self.is_reachable:
            return _create_unreachable()
        claim = self.claims[_identify_claim(request)]
        if claim.attempt == request.attempt:
            claim.state = request.state
            claim.answer = request.answer
        return result.Success(messages.structs.Empty())

    async def release_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Release the claim if this attempt holds it."""
        if not self.is_reachable:
            return _create_unreachable()
        claim = self.claims.get(_identify_claim(request))
        if claim is not None and claim.attempt == request.attempt:
            claim.state = 'released'
        return result.Success(messages.structs.Empty())


def _identify_claim(request: messages.Struct) -> tuple[str, str, str]:
    return request.service_name, request.caller, request.key


def _create_answer(
    state: str,
    stored: typing.Any = None,
) -> result.Result[messages.Struct, failures.Failure]:
    answer = messages.structs.ClaimAnswer(state=state, answer=stored)
    return result.Success(answer)


def _create_unreachable() -> result.Result[messages.Struct, failures.Failure]:
    address = identifiers.Address('')
    return result.Failure(failures.Unreachable(address))


def _refuse(
    request: slots.SlotRequest,
    reason: outcomes.RefusalReason,
) -> failures.Refusal:
    return failures.Refusal(request.request, reason)
