"""Decodes what the platform's upstreams say of themselves."""

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
#: Most slots that are believed of one upstream.
_MAX_SLOTS = 100_000


def decode(upstream: str, body: bytes) -> records.UpstreamRecord:
    """Return the record in a heartbeat.

    :raises values.FormatError: if it cannot be read in full.
    """
    fields = values.read_object(body)
    address = values.read_text(fields, 'address')
    state = _STATES.get(values.read_text(fields, 'state'))
    # The platform calls the slots of an upstream its concurrency.
    slots = values.read_whole(fields, 'concurrency')
    if state is None or not _ADDRESS.fullmatch(address):
        raise values.FormatError('state or address')
    if not 0 < slots <= _MAX_SLOTS:
        raise values.FormatError('concurrency')
    return records.UpstreamRecord(
        upstream=identifiers.UpstreamId(upstream),
        service=identifiers.ServiceName(values.read_text(fields, 'service')),
        address=identifiers.Address(address),
        domain=identifiers.FailureDomain(values.read_text(fields, 'zone')),
        slots=slots,
        state=state,
        born_ms=decode_birth(fields) or 0,
        sequence=values.read_whole(fields, 'seq'),
        warm_seconds=_decode_warm_up(fields),
    )


def decode_birth(fields: dict[str, typing.Any]) -> int | None:
    """Return the start of the incarnation in milliseconds, if it is named.

    :raises values.FormatError: if it is anything but a whole number.
    """
    if fields.get('born') is None:
        return None
    return values.read_whole(fields, 'born')


def decode_leave(body: bytes) -> int | None:
    """Return the birth that a word of leave names, if any.

    :raises values.FormatError: if it cannot be read.
    """
    if not body.strip():
        return None
    return decode_birth(values.read_object(body))


def _decode_warm_up(fields: dict[str, typing.Any]) -> float:
    if fields.get('warmupLeft') is None:
        return 0.0
    return values.read_seconds(fields['warmupLeft'])
