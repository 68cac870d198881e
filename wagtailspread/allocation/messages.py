"""Messages that an allocator receives and the decisions that it returns.

Times are seconds on the clock of the allocator, since the clocks of two hosts
are not comparable: a driver converts the durations on the wire.
"""

import dataclasses
import enum

from wagtailspread.core import failures, identifiers, outcomes, priorities


class UpstreamState(enum.Enum):
    """What an upstream announces about itself."""

    #: Just started: it gets its slots over the warm-up time.
    COLD = 'cold'
    READY = 'ready'
    #: Leaving: it finishes what it runs and gets nothing new.
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A host asks for a slot for one attempt of one request.

    :param domain: failure domain of the host.
    :param deadline: seconds on the allocator's clock.
    :param attempt: 1 for the first.
    :param fingerprint: hash of the request, for the quarantine.
    :param excluded: upstreams that an earlier attempt has used.
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

    :param expires: end of the lease in seconds, also if nobody returns it.
    :param is_trial: whether the upstream is ejected and gets one request.
    :param pass_until: until then the host may, after a success, start its
        oldest waiting request of the same priority on this slot, and return
        the result with :attr:`Completion.passed_to`; 0 if it may not.
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
    """A host returns a lease, or passes it on.

    :param seconds: time that the exchange took at the upstream.
    :param passed_to: the request that the host has begun on the same slot;
        the lease stays open for it.
    """

    lease: identifiers.LeaseId
    result: outcomes.ExchangeResult
    seconds: float
    passed_to: identifiers.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream says that it is there.

    :param region: region of the upstream.
    :param incarnation: grows with every start of the upstream.
    :param age: seconds since the upstream sent it.
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
    """A host tells a new owner of a lease that an earlier owner granted.

    :param expires: end of the lease in seconds.
    """

    lease: identifiers.LeaseId
    host: identifiers.HostId
    upstream: identifiers.UpstreamId
    expires: float
    domain: identifiers.FailureDomain = identifiers.FailureDomain('')
    priority: priorities.Priority = priorities.Priority.STANDARD
    fingerprint: bytes = b''


#: What an allocator decides about a request.
Decision = Grant | failures.Refusal
