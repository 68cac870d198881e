"""Messages between an entry host and the allocator of a service.

They have the fields of the allocator's interface, so that a coordinator can
be driven with them directly.

See also: :mod:`wagtailspread.entry.owners`, which runs a coordinator.
"""

import dataclasses
import enum

from wagtailspread.core import identifiers, outcomes, priorities


class UpstreamState(enum.Enum):
    """What an upstream says about itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for one slot.

    :param deadline: seconds on the allocator's clock.
    :param attempt: 1 for the first attempt of a request.
    :param fingerprint: identifies equal requests, for the quarantine.
    :param excluded: upstreams that this request must not be sent to again.
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

    :param expires: end of the lease in seconds on the allocator's clock.
    :param is_trial: whether the upstream is ejected and on trial.
    """

    request: identifiers.RequestId
    lease: identifiers.LeaseId
    upstream: identifiers.UpstreamId
    address: str
    expires: float
    is_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """The end of a lease.

    :param seconds: time that the exchange took at the upstream.
    """

    lease: identifiers.LeaseId
    result: outcomes.ExchangeResult
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A lease that a host holds from an earlier allocator.

    :param expires: end of the lease in seconds on the allocator's clock.
    """

    lease: identifiers.LeaseId
    host: identifiers.HostId
    upstream: identifiers.UpstreamId
    expires: float


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream announces about itself every second.

    :param incarnation: grows with each start of the upstream.
    :param age: seconds since the upstream sent it.
    """

    service: identifiers.ServiceName
    upstream: identifiers.UpstreamId
    address: str
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    slots: int
    connections: int
    state: UpstreamState
    incarnation: identifiers.Incarnation
    age: float = 0.0
