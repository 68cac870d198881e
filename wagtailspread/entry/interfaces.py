"""Protocols that other packages implement for the entry host.

:mod:`wagtailspread.processes.entries` injects the real components; tests
inject simple ones.
"""

import contextlib
import dataclasses
import typing

from returns import result

from wagtailspread.core import failures, identifiers, outcomes, priorities
from wagtailspread.entry import lookups, slots
from wagtailspread.wire import messages


class Coordinator(typing.Protocol):
    """Allocator of the slots of one service in one region."""

    def submit(self, request: typing.Any, now: float) -> None:
        """Queue a slot request."""

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Remove a queued request, or release its unused lease."""

    def complete(self, completion: typing.Any, now: float) -> None:
        """Release a lease and record the result of its exchange."""

    def announce(self, announcement: typing.Any, now: float) -> None:
        """Record an announcement of an upstream."""

    def adopt(self, lease_claim: typing.Any, now: float) -> None:
        """Adopt a lease that an earlier allocator granted."""

    def tick(self, now: float) -> typing.Sequence[typing.Any]:
        """Return the grants and refusals decided since the last tick."""


class VoteRegister(typing.Protocol):
    """Votes of hosts that authorise an allocator to eject upstreams."""

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Renew the vote of ``host`` for this allocator."""

    def adopt(
        self,
        ejected: typing.Iterable[identifiers.UpstreamId],
        now: float,
    ) -> None:
        """Adopt ejections that an earlier owner decided."""

    def find_ejected(self) -> list[identifiers.UpstreamId]:
        """Return the ejected upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerEndpoint:
    """A live host that may run an allocator, and its control address."""

    host: identifiers.HostId
    address: identifiers.Address


class Ownership(typing.Protocol):
    """Live hosts of a region in rendezvous hashing order for a service."""

    def rank_owners(
        self,
        service: identifiers.ServiceName,
        region: identifiers.RegionName,
    ) -> typing.Sequence[OwnerEndpoint]:
        """Return the live hosts, the owner first."""

    def count_hosts(self, region: identifiers.RegionName) -> int:
        """Return the number of hosts that share the slots of a region."""


class SlotSource(typing.Protocol):
    """Source of slots for requests."""

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> result.Result[slots.Grant, failures.Refusal]:
        """Return a grant or a refusal with its reason."""

    def complete(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        seconds: float,
        transferred: int = 0,
    ) -> None:
        """Release the lease of a grant without waiting.

        :param seconds: duration of the exchange with the upstream.
        :param transferred: size of the request and answer bodies, in bytes.
        """


class AnnouncementSink(typing.Protocol):
    """Forwards validated announcements to the allocator."""

    def announce(self, announcement: slots.Announcement) -> None:
        """Forward an announcement without waiting."""


class KeyStore(typing.Protocol):
    """Claims on idempotency keys, stored by the replicas.

    Requests and answers are structs of the wire protocol.
    """

    async def claim_key(
        self,
        request: messages.Struct,
        timeout: float,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Claim a key; the answer is a ``ClaimAnswer``."""

    async def finish_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Record the result of an attempt."""

    async def release_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Release the claim of an attempt that sent nothing."""


class Span(typing.Protocol):
    """One step of a traced request."""

    @property
    def header(self) -> str:
        """Return the W3C traceparent for the next hop."""


class Tracer(typing.Protocol):
    """Starts spans."""

    def start_span(
        self,
        name: str,
        parent_header: str,
    ) -> contextlib.AbstractContextManager[Span]:
        """Start a span whose parent is described by ``parent_header``."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """Summary of a finished request for logs and metrics.

    :param priority: with which the request was queued.
    :param outcome: value of the outcome header; empty if the transfer of the
        answer was interrupted.
    :param seconds: time from arrival to the end of the answer.
    """

    route: lookups.Route
    priority: priorities.Priority
    caller: identifiers.CallerId
    outcome: str
    reason: str
    status: int
    attempts: int
    seconds: float


class RequestObserver(typing.Protocol):
    """Writes records of finished requests to logs and metrics."""

    def record_request(self, record: RequestRecord) -> None:
        """Log and count one record without waiting."""


class Logger(typing.Protocol):
    """Methods of a log channel that the entry host uses."""

    def info(self, message: str, *values: typing.Any) -> None:
        """Log a message about normal operation."""

    def warning(self, message: str, *values: typing.Any) -> None:
        """Log a message about a condition that needs attention."""
