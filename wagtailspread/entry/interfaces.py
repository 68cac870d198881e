"""What the entry host needs of the other packages, as protocols.

The process module injects the real parts; tests inject simple ones.
"""

import contextlib
import dataclasses
import typing

from returns import result

from wagtailspread.core import failures, identifiers, outcomes, priorities
from wagtailspread.entry import slots
from wagtailspread.wire import messages


class Route(typing.Protocol):
    """A configured route."""

    @property
    def name(self) -> str:
        """Return the section name of the route."""

    @property
    def service(self) -> identifiers.ServiceName:
        """Return the service that the route leads to."""

    @property
    def priority(self) -> priorities.Priority:
        """Return the priority of its requests."""

    @property
    def is_idempotent(self) -> bool:
        """Tell whether its requests may run more than once."""


class ServiceLimits(typing.Protocol):
    """The part of a service's settings that the request path reads."""

    @property
    def deadline(self) -> float:
        """Return the seconds that a request has if it does not say."""

    @property
    def max_body(self) -> int:
        """Return the largest accepted request body in bytes."""


class Routing(typing.Protocol):
    """Routes and services of the configuration in force."""

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or ``None``."""

    def find_service(
        self,
        service: identifiers.ServiceName,
    ) -> ServiceLimits | None:
        """Return the limits of a service, or ``None`` if unknown."""


class Coordinator(typing.Protocol):
    """Allocator of one service in one region; decision code."""

    def submit(self, request: typing.Any, now: float) -> None:
        """Queue a slot request."""

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Drop a queued request, or release its unused lease."""

    def complete(self, completion: typing.Any, now: float) -> None:
        """End a lease."""

    def announce(self, announcement: typing.Any, now: float) -> None:
        """Take in what an upstream says about itself."""

    def adopt(self, lease_claim: typing.Any, now: float) -> None:
        """Take over a lease of an earlier allocator."""

    def tick(self, now: float) -> typing.Sequence[typing.Any]:
        """Return the grants and refusals decided since the last tick."""


class VoteRegister(typing.Protocol):
    """The ejection authority's record of hosts."""

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Renew the vote of ``host`` for this allocator."""

    def adopt(
        self,
        ejected: typing.Iterable[identifiers.UpstreamId],
        now: float,
    ) -> None:
        """Take over ejections of an earlier owner."""

    def find_ejected(self) -> list[identifiers.UpstreamId]:
        """Return the ejected upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerEndpoint:
    """A live host that may run an allocator."""

    host: identifiers.HostId
    address: identifiers.Address


class Ownership(typing.Protocol):
    """Live hosts of a region in rendezvous order for a service."""

    def rank_owners(
        self,
        service: identifiers.ServiceName,
        region: identifiers.RegionName,
    ) -> typing.Sequence[OwnerEndpoint]:
        """Return the live hosts, the owner first."""

    def count_hosts(self, region: identifiers.RegionName) -> int:
        """Return the number of hosts that share a region's slots."""


class SlotSource(typing.Protocol):
    """Where the request path gets its slots from."""

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> result.Result[slots.Grant, failures.Refusal]:
        """Return a grant or the reason why there is none."""

    def complete(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        seconds: float,
        transferred: int = 0,
    ) -> None:
        """Return the lease of a grant; does not wait.

        :param seconds: time that the exchange took at the upstream.
        :param transferred: bytes of both bodies.
        """


class AnnouncementSink(typing.Protocol):
    """Takes validated announcements to the allocator."""

    def announce(self, announcement: slots.Announcement) -> None:
        """Pass an announcement on; does not wait."""


class KeyStore(typing.Protocol):
    """Claims on idempotency keys, kept by the replicas.

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
        """Record how an attempt ended."""

    async def release_key(
        self,
        request: messages.Struct,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Give up a claim whose attempt sent nothing."""


class Span(typing.Protocol):
    """One hop of a traced request."""

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
        """Open a span under the hop described by ``parent_header``."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """What is logged and counted of a finished request.

    :param outcome: value of the outcome header; empty for a broken transfer.
    :param seconds: from arrival to the end of the answer.
    """

    route: Route
    caller: identifiers.CallerId
    outcome: str
    reason: str
    status: int
    attempts: int
    seconds: float


class RequestObserver(typing.Protocol):
    """Takes the records of finished requests to logs and metrics."""

    def record_request(self, record: RequestRecord) -> None:
        """Take one record; does not wait."""


class Logger(typing.Protocol):
    """The part of a log channel that the entry host uses."""

    def info(self, message: str, *values: typing.Any) -> None:
        """Write a line about normal operation."""

    def warning(self, message: str, *values: typing.Any) -> None:
        """Write a line about something that needs attention."""
