"""Registration records of upstreams, and their wire format.

Upstreams write records, and every process of the fleet reads them. So each
field has a range, and a record outside it is rejected by the process that
receives it first. A process that gets such a row from a peer skips that row.
"""

import dataclasses
import enum
import typing

import logbook

from wagtailspread.core import addresses, identifiers
from wagtailspread.wire import messages

_MILLISECONDS = 1000
#: Maximum number of slots of one upstream.
MAX_SLOTS = 100_000
#: Maximum length of the texts of a record, in bytes of UTF-8.
MAX_TEXT_BYTES = 255
#: Longest warm-up time, in seconds.
MAX_WARM_SECONDS = messages.MAX_I32 / _MILLISECONDS

_log = logbook.Logger('records')


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


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFault:
    """A field of a record whose value is out of range.

    :param field: name of the attribute of :class:`UpstreamRecord`.
    :param expected: description of the range.
    """

    field: str
    expected: str


def create_departure(
    upstream: identifiers.UpstreamId,
    born_ms: int | None,
    known: UpstreamRecord | None,
    now_ms: int,
) -> UpstreamRecord:
    """Return the record of an upstream that has left.

    :param born_ms: start of the incarnation that left, in milliseconds since
        the epoch; ``None`` for the known one.
    :param known: newest record of the upstream, if there is one.
    :param now_ms: current time in milliseconds since the epoch.
    """
    if known is not None:
        return dataclasses.replace(
            known,
            state=UpstreamState.GONE,
            born_ms=known.born_ms if born_ms is None else born_ms,
        )
    return UpstreamRecord(
        upstream=upstream,
        service=identifiers.ServiceName(''),
        address=identifiers.Address(''),
        domain=identifiers.FailureDomain(''),
        slots=0,
        state=UpstreamState.GONE,
        born_ms=now_ms if born_ms is None else born_ms,
        sequence=0,
    )


def find_fault(record: UpstreamRecord) -> RecordFault | None:
    """Return the first field that is out of range, ``None`` if there is none.

    Each number fits the wire type that carries it. Only the record of an
    upstream that is gone may lack its service, address, domain and slots: the
    upstream may have left before this fleet learned them.
    """
    least = 0 if record.state is UpstreamState.GONE else 1
    return _find_text_fault(record, least) or _find_number_fault(record, least)


def _find_text_fault(
    record: UpstreamRecord,
    least: int,
) -> RecordFault | None:
    """Return the first text that is out of range.

    :param least: shortest length of the texts that may be unknown.
    """
    shortest = {'upstream': 1, 'service': least, 'domain': least}
    for name, length in shortest.items():
        if not messages.is_text(getattr(record, name), length, MAX_TEXT_BYTES):
            expected = f'{length} to {MAX_TEXT_BYTES} bytes of printable text'
            return RecordFault(name, expected)
    is_unknown = not least and record.address == ''
    if is_unknown or _is_connectable(record.address):
        return None
    return RecordFault('address', 'IPv4:PORT of a host')


def _find_number_fault(
    record: UpstreamRecord,
    least: int,
) -> RecordFault | None:
    """Return the first number that is out of range.

    :param least: smallest number of slots.
    """
    ranges = {
        'slots': (least, MAX_SLOTS),
        'born_ms': (0, messages.MAX_I64),
        'sequence': (0, messages.MAX_I64),
    }
    for name, (smallest, largest) in ranges.items():
        if not messages.is_integer(getattr(record, name), smallest, largest):
            return RecordFault(name, f'{smallest} to {largest}')
    if 0 <= record.warm_seconds <= MAX_WARM_SECONDS:
        return None
    return RecordFault('warm_seconds', f'0 to {MAX_WARM_SECONDS} s')


def _is_connectable(address: typing.Any) -> bool:
    return isinstance(address, str) and addresses.is_connectable(address)


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


def to_rows(records: typing.Iterable[UpstreamRecord]) -> list[messages.Struct]:
    """Return the rows of the records that can be transmitted.

    A record out of range is logged and left out, so that it does not prevent
    the transmission of the others.
    """
    rows = []
    for record in records:
        fault = find_fault(record)
        if fault is None:
            rows.append(to_row(record))
        else:
            _log_skipped(record.upstream, f'{fault.field}: {fault.expected}')
    return rows


def from_row(row: messages.Struct) -> UpstreamRecord:
    """Return the record for a received thrift struct.

    :raises ValueError: if a field is missing or out of range.
    """
    try:
        record = UpstreamRecord(
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
    except TypeError as error:
        raise ValueError('warm_ms: expected a number') from error
    fault = find_fault(record)
    if fault is not None:
        raise ValueError(f'{fault.field}: expected {fault.expected}')
    return record


def from_rows(
    rows: typing.Iterable[messages.Struct] | None,
) -> list[UpstreamRecord]:
    """Return the records of received thrift structs.

    A malformed row is logged and left out; the others are valid without it.
    """
    found = []
    for row in rows or ():
        try:
            found.append(from_row(row))
        except ValueError as error:
            _log_skipped(row.upstream, str(error))
    return found


def log_not_applied(record: UpstreamRecord) -> None:
    """Log a record that takes no precedence over the known one."""
    _log.info(
        'heartbeat not applied',
        extra={
            'upstream': record.upstream,
            'service': record.service,
            'address': record.address,
            'state': record.state.name,
        },
    )


def _log_skipped(upstream: typing.Any, reason: str) -> None:
    _log.warning(
        'registry row skipped',
        extra={'upstream': str(upstream)[:MAX_TEXT_BYTES], 'reason': reason},
    )
