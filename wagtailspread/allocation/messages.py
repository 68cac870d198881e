"""Messages that an allocator receives and the decisions that it returns.

Times are seconds on the clock of the allocator, since the clocks of two hosts
are not comparable: the process that runs the allocator converts the durations
on the wire.
"""

import dataclasses
import enum

from wagtailspread.core import failures, identifiers, outcomes, priorities


class UpstreamState(enum.Enum):
    """State that an upstream reports in its announcements."""

    #: Just started: its usable slots increase during the warm-up time.
    COLD = 'cold'
    READY = 'ready'
    #: Shutting down: it finishes open requests and accepts no new ones.
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request of a host for a slot for one attempt of one request.

    :param domain: failure domain of the host.
    :param deadline: seconds on the allocator's clock.
    :param attempt: number of the attempt, starting at 1.
    :param fingerprint: hash of the request, by which it can be quarantined.
    :param excluded: upstreams that earlier attempts have used.
    """

    request: identifiers.RequestId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    priority: priorities.Priority
    deadline: float
    attempt: int = 1
    fingerprint: bytes = b''
    excluded: tuple[identifiers.UpstreamId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A lease on one slot of one upstream.

    :param expires: time in seconds at which the lease expires if it is not
        returned earlier.
    :param is_trial: whether this is the trial request of an ejected upstream.
    :param pass_until: time in seconds until which the host may, after a
        success, start its oldest waiting request of the same priority on this
        slot and report the result with :attr:`Completion.passed_to`; 0 if it
        must return the lease.
    """

    request: identifiers.RequestId
    lease: identifiers.LeaseId
    upstream: identifiers.UpstreamId
    address: identifiers.Address
    expires: float
    is_trial: bool = False
    pass_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Result of a request, with which a host returns or passes on a lease.

    :param seconds: duration of the exchange with the upstream.
    :param passed_to: request that the host has started on the same slot, for
        which the lease stays open; none if the lease is returned.
    """

    lease: identifiers.LeaseId
    result: outcomes.ExchangeResult
    seconds: float
    passed_to: identifiers.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Periodic announcement of an upstream.

    :param region: region of the upstream.
    :param incarnation: number that increases with every start of the upstream.
    :param age: seconds since the upstream sent the announcement.
    """

    service: identifiers.ServiceName
    upstream: identifiers.UpstreamId
    address: identifiers.Address
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.READY
    incarnation: identifiers.Incarnation = identifiers.Incarnation(0)
    age: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptedLease:
    """Open lease of a previous owner, reported by its host to the new owner.

    :param expires: time in seconds at which the lease expires.
    """

    lease: identifiers.LeaseId
    host: identifiers.HostId
    upstream: identifiers.UpstreamId
    expires: float
    domain: identifiers.FailureDomain = identifiers.FailureDomain('')
    priority: priorities.Priority = priorities.Priority.STANDARD
    fingerprint: bytes = b''


#: Result of a slot request.
Decision = Grant | failures.Refusal
