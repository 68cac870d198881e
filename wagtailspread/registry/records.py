"""What an upstream says of itself."""

import dataclasses
import enum

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

_MILLISECONDS = 1000


class UpstreamState(enum.IntEnum):
    """Whether an upstream takes work. Within an incarnation it only grows."""

    READY = 0
    #: It finishes what it has and takes nothing new.
    DRAINING = 1
    #: It has left.
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as of one of its heartbeats.

    :param born_ms: start of its incarnation, milliseconds since the epoch.
    :param sequence: number of the heartbeat within the incarnation.
    :param warm_seconds: time until it is warmed up.
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
        """Return the place of this record among those of the upstream.

        A heartbeat that was delayed does not undo a later one, and an
        incarnation that drains or left does not become ready again.
        """
        return self.born_ms, self.state, self.sequence

    def matches_except_sequence(self, other: 'UpstreamRecord') -> bool:
        """Tell whether both say the same except for their sequence."""
        later = dataclasses.replace(
            other,
            sequence=self.sequence,
            warm_seconds=self.warm_seconds,
        )
        return self == later


def to_row(record: UpstreamRecord) -> messages.Struct:
    """Return the record as it travels between processes."""
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
    """Return the record of a received row.

    :raises ValueError: if the state is not known.
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
