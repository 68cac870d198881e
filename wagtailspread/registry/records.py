"""Registration records of upstreams, and their wire format."""

import dataclasses
import enum

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

_MILLISECONDS = 1000


class UpstreamState(enum.IntEnum):
    """Whether an upstream accepts work.

    The value never decreases within one incarnation.
    """

    READY = 0
    #: It finishes its current work and accepts no new work.
    DRAINING = 1
    #: It has been shut down.
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """State of an upstream as reported by one heartbeat.

    :param born_ms: start of the incarnation, in milliseconds since the epoch.
    :param sequence: number of the heartbeat within the incarnation.
    :param warm_seconds: remaining warm-up time, in seconds.
    """

    upstream: identifiers.UpstreamId
    service: identifiers.ServiceName
    address: identifiers.Address
    domain: identifiers.FailureDomain
    slots: int
    state: UpstreamState
    born_ms: int
    sequence: int
    warm_seconds: float = 0.0

    def rank(self) -> tuple[int, UpstreamState, int]:
        """Return the sort key that orders the records of one upstream.

        A delayed heartbeat does not override a later one, and an incarnation
        that is draining or gone does not become ready again.
        """
        return self.born_ms, self.state, self.sequence

    def matches_except_sequence(self, other: 'UpstreamRecord') -> bool:
        """Tell whether the records differ only in sequence and warm-up."""
        later = dataclasses.replace(
            other,
            sequence=self.sequence,
            warm_seconds=self.warm_seconds,
        )
        return self == later


def to_row(record: UpstreamRecord) -> messages.Struct:
    """Return the record as a thrift struct for transmission."""
    return messages.structs.UpstreamRow(
        upstream=record.upstream,
        service_name=record.service,
        address=record.address,
        domain=record.domain,
        slots=record.slots,
        state=int(record.state),
        born_ms=record.born_ms,
        sequence=record.sequence,
        warm_ms=int(record.warm_seconds * _MILLISECONDS),
    )


def from_row(row: messages.Struct) -> UpstreamRecord:
    """Return the record for a received thrift struct.

    :raises ValueError: if the state is unknown.
    """
    return UpstreamRecord(
        upstream=identifiers.UpstreamId(row.upstream),
        service=identifiers.ServiceName(row.service_name),
        address=identifiers.Address(row.address),
        domain=identifiers.FailureDomain(row.domain),
        slots=row.slots,
        state=UpstreamState(row.state),
        born_ms=row.born_ms,
        sequence=row.sequence,
        warm_seconds=row.warm_ms / _MILLISECONDS,
    )
