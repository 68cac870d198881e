"""Decodes the heartbeats and departures of the platform's upstreams."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.platform import values
from wagtailspread.registry import records

_STATES = {
    'ready': records.UpstreamState.READY,
    'draining': records.UpstreamState.DRAINING,
}
#: The platform's names of the fields of a record, where they differ.
_FIELD_NAMES = {
    'upstream': 'id',
    'domain': 'zone',
    'slots': 'concurrency',
    'sequence': 'seq',
    'born_ms': 'born',
    'warm_seconds': 'warmupLeft',
}


def decode(upstream: str, body: bytes) -> records.UpstreamRecord:
    """Return the record in a heartbeat.

    :param upstream: id of the upstream that sent it.
    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(body)
    state = _STATES.get(values.read_text(fields, 'state'))
    if state is None:
        raise values.create_error(
            'state', 'ready or draining', fields.get('state')
        )
    record = records.UpstreamRecord(
        upstream=identifiers.UpstreamId(upstream),
        service=identifiers.ServiceName(values.read_text(fields, 'service')),
        address=identifiers.Address(values.read_text(fields, 'address')),
        domain=identifiers.FailureDomain(values.read_text(fields, 'zone')),
        # The platform calls the slots of an upstream its concurrency.
        slots=values.read_integer(fields, 'concurrency'),
        state=state,
        born_ms=decode_born_ms(fields) or 0,
        sequence=values.read_integer(fields, 'seq'),
        warm_seconds=_decode_warm_up(fields),
    )
    check_ranges(record)
    return record


def check_ranges(record: records.UpstreamRecord) -> None:
    """Check the fields of a record against their ranges.

    :raises values.FormatError: names the field as the platform does.
    """
    fault = records.find_fault(record)
    if fault is not None:
        raise values.create_error(
            _FIELD_NAMES.get(fault.field, fault.field),
            fault.expected,
            getattr(record, fault.field),
        )


def decode_born_ms(fields: dict[str, typing.Any]) -> int | None:
    """Return the start of the incarnation, if the field is present.

    :returns: milliseconds since the epoch.
    :raises values.FormatError: if the field is no non-negative integer.
    """
    if fields.get('born') is None:
        return None
    return values.read_integer(fields, 'born')


def decode_leave(body: bytes) -> int | None:
    """Return the start of the incarnation in a departure, if it has one.

    :param body: JSON, or empty.
    :returns: milliseconds since the epoch.
    :raises values.FormatError: if the body or its field is malformed.
    """
    if not body.strip():
        return None
    return decode_born_ms(values.read_object(body))


def _decode_warm_up(fields: dict[str, typing.Any]) -> float:
    if fields.get('warmupLeft') is None:
        return 0.0
    return values.read_seconds(fields['warmupLeft'])
