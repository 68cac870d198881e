"""Simple stand-ins for the parts that an entry host is joined with."""

import collections
import contextlib
import dataclasses
import itertools
import typing

from returns import result

from wagtailspread.core import failures, identifiers, outcomes, priorities
from wagtailspread.entry import interfaces, slots
from wagtailspread.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class FixedRoute:
    """A route given by a path prefix."""

    name: str
    service: identifiers.ServiceName
    path_prefix: str
    priority: priorities.Priority = priorities.Priority.STANDARD
    is_idempotent: bool = True
    methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimits:
    """Limits of a service."""

    deadline: float = 5.0
    max_body: int = 1 << 20


class FixedRouting:
    """Routes by longest prefix, the same limits for each service."""

    def __init__(
        self,
        routes: typing.Sequence[FixedRoute],
        limits: FixedLimits | None = None,
    ) -> None:
        """Keep the routes."""
        self._routes = sorted(routes, key=lambda route: -len(route.path_prefix))
        self._limits = limits or FixedLimits()
        self._services = {route.service for route in routes}

    def match(self, method: str, path: str) -> FixedRoute | None:
        """Return the route of a request, or ``None``."""
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
        """Return the limits of a service, or ``None`` if unknown."""
        return self._limits if service in self._services else None


class FixedOwnership:
    """Owners in a fixed order that tests can change."""

    def __init__(self, endpoints: list[interfaces.OwnerEndpoint]) -> None:
        """Keep the order."""
        self.endpoints = endpoints

    def rank_owners(
        self,
        _service: identifiers.ServiceName,
        _region: identifiers.RegionName,
    ) -> list[interfaces.OwnerEndpoint]:
        """Return the endpoints, the owner first."""
        return self.endpoints

    def count_hosts(self, _region: identifiers.RegionName) -> int:
        """Return the number of endpoints."""
        return len(self.endpoints)


class SimpleCoordinator:
    """First come, first served over the least loaded upstream."""

    def __init__(self) -> None:
        """Start with no upstreams."""
        self.rows: dict[identifiers.UpstreamId, slots.Announcement] = {}
        self.leases: dict[identifiers.LeaseId, identifiers.UpstreamId] = {}
        self.completed: list[slots.Completion] = []
        self.adopted: list[slots.LeaseClaim] = []
        self.cancelled: list[identifiers.RequestId] = []
        self._queue: collections.deque[slots.SlotRequest] = collections.deque()
        self._ids = itertools.count(1)
        self._used: collections.Counter[identifiers.UpstreamId] = (
            collections.Counter()
        )

    def submit(self, request: slots.SlotRequest, now: float) -> None:
        """Queue a request."""
        self._queue.append(request)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Drop a queued request."""
        self.cancelled.append(request_id)
        self._queue = collections.deque(
            queued for queued in self._queue if queued.request != request_id
        )

    def complete(self, completion: slots.Completion, now: float) -> None:
        """End a lease."""
        self.completed.append(completion)
        upstream = self.leases.pop(completion.lease, None)
        if upstream is not None:
            self._used[upstream] -= 1

    def announce(self, announcement: slots.Announcement, now: float) -> None:
        """Keep the announced row."""
        self.rows[announcement.upstream] = announcement

    def adopt(self, lease_claim: slots.LeaseClaim, now: float) -> None:
        """Count a lease of an earlier allocator."""
        self.adopted.append(lease_claim)
        if lease_claim.lease not in self.leases:
            self.leases[lease_claim.lease] = lease_claim.upstream
            self._used[lease_claim.upstream] += 1

    def tick(self, now: float) -> list[typing.Any]:
        """Decide the queued requests in order."""
        decided: list[typing.Any] = []
        while self._queue:
            decision = self._decide(self._queue[0], now)
            if decision is None:
                return decided
            self._queue.popleft()
            decided.append(decision)
        return decided

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
        row = min(rows, key=lambda one: self._used[one.upstream] / one.slots)
        if self._used[row.upstream] >= row.slots:
            return None
        self._used[row.upstream] += 1
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
    """Readiness of a host without conditions."""

    def is_ready(self) -> bool:
        """Return that the host is ready."""
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class SilentSpan:
    """A span that records nothing and passes its parent on."""

    header: str


class SilentTracer:
    """A tracer that records nothing."""

    def start_span(
        self,
        name: str,
        parent_header: str,
    ) -> contextlib.AbstractContextManager[SilentSpan]:
        """Return a span with the parent's header."""
        return contextlib.nullcontext(SilentSpan(parent_header))


@dataclasses.dataclass(slots=True)
class _Claim:
    """A claim on one key."""

    attempt: str
    fingerprint: bytes
    state: str = 'running'
    answer: typing.Any = None


class MemoryKeyStore:
    """Claims in memory; can be made unreachable."""

    def __init__(self) -> None:
        """Start without claims."""
        self.claims: dict[tuple[str, str, str], _Claim] = {}
        self.is_reachable = True

    async def claim_key(
        self,
        request: messages.Struct,
        timeout: float,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Claim a key; the answer is a ``ClaimAnswer``."""
        if not self.is_reachable:
            return _unreachable()
        known = self.claims.get(_key(request))
        if known is None or known.state == 'released':
            self.claims[_key(request)] = _Claim(
                request.attempt,
                request.fingerprint,
            )
            return _answer('granted')
        if known.fingerprint != request.fingerprint:
            return _answer('mismatch')
        return _answer(known.state, known.answer)

    async def finish_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Record how an attempt ended."""
        if not self.is_reachable:
            return _unreachable()
        claim = self.claims[_key(request)]
        if claim.attempt == request.attempt:
            claim.state = request.state
            claim.answer = request.answer
        return result.Success(messages.structs.Empty())

    async def release_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Give up a claim."""
        if not self.is_reachable:
            return _unreachable()
        claim = self.claims.get(_key(request))
        if claim is not None and claim.attempt == request.attempt:
            claim.state = 'released'
        return result.Success(messages.structs.Empty())


def _key(request: messages.Struct) -> tuple[str, str, str]:
    return request.service_name, request.caller, request.key


def _answer(
    state: str,
    stored: typing.Any = None,
) -> result.Result[messages.Struct, failures.Failure]:
    answer = messages.structs.ClaimAnswer(state=state, answer=stored)
    return result.Success(answer)


def _unreachable() -> result.Result[messages.Struct, failures.Failure]:
    address = identifiers.Address('')
    return result.Failure(failures.Unreachable(address))


def _refuse(
    request: slots.SlotRequest,
    reason: outcomes.RefusalReason,
) -> failures.Refusal:
    return failures.Refusal(request.request, reason)
