"""Decodes the heartbeats and departures of the platform's upstreams."""

import re
import typing

from wagtailspread.core import identifiers
from wagtailspread.platform import values
from wagtailspread.registry import records

_ADDRESS = re.compile(r'\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}')
_STATES = {
    'ready': records.UpstreamState.READY,
    'draining': records.UpstreamState.DRAINING,
}
#: Maximum number of slots of one upstream; a heartbeat with more is refused.
_MAX_SLOTS = 100_000


def decode(upstream: str, body: bytes) -> records.UpstreamRecord:
    """Return the record in a heartbeat.

    :param upstream: id of the upstream that sent it.
    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(body)
    address = values.read_text(fields, 'address')
    state = _STATES.get(values.read_text(fields, 'state'))
    # The platform calls the slots of an upstream its concurrency.
    slots = values.read_integer(fields, 'concurrency')
    if state is None:
        raise values.create_error(
            'state', 'ready or draining', fields.get('state')
        )
    if not _ADDRESS.fullmatch(address):
        raise values.create_error('address', 'IPv4:PORT', address)
    if not 0 < slots <= _MAX_SLOTS:
        raise values.create_error('concurrency', f'1 to {_MAX_SLOTS}', slots)
    return records.UpstreamRecord(
        upstream=identifiers.UpstreamId(upstream),
        service=identifiers.ServiceName(values.read_text(fields, 'service')),
        address=identifiers.Address(address),
        domain=identifiers.FailureDomain(values.read_text(fields, 'zone')),
        slots=slots,
        state=state,
        born_ms=decode_born_ms(fields) or 0,
        sequence=values.read_integer(fields, 'seq'),
        warm_seconds=_decode_warm_up(fields),
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
