"""Encodes the claim table as length-prefixed thrift records."""

import dataclasses
import struct

from wagtailspread.idempotency import keys, records
from wagtailspread.wire import messages

_HEADER = struct.Struct('>4sdQ')
_LENGTH = struct.Struct('>I')
_MAGIC = b'WSC1'


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """What a snapshot holds.

    :param now: highest wall seconds so far.
    """

    now: float
    records: dict[keys.Scope, records.Record]


def encode_table(
    now: float,
    table: dict[keys.Scope, records.Record],
) -> bytes:
    """Return the snapshot of a table."""
    buffer = bytearray(_HEADER.pack(_MAGIC, now, len(table)))
    for scope, record in table.items():
        encoded = messages.encode(_encode_record(scope, record))
        buffer += _LENGTH.pack(len(encoded))
        buffer += encoded
    return bytes(buffer)


def decode_table(snapshot: bytes) -> Table:
    """Return the table in a snapshot.

    :raises ValueError: if the bytes are not a snapshot of this format.
    """
    try:
        return _decode_table(memoryview(snapshot))
    except (struct.error, messages.DecodeError) as error:
        raise ValueError('not a snapshot of claims') from error


def _decode_table(snapshot: memoryview) -> Table:
    magic, now, count = _HEADER.unpack_from(snapshot)
    if magic != _MAGIC:
        raise ValueError('not a snapshot of claims')
    table = {}
    position = _HEADER.size
    while position < len(snapshot):
        (length,) = _LENGTH.unpack_from(snapshot, position)
        position += _LENGTH.size
        encoded = bytes(snapshot[position : position + length])
        row = messages.decode(messages.structs.ClaimRecord, encoded)
        table[keys.Scope(row.scope)] = _decode_record(row)
        position += length
    if len(table) != count:
        raise ValueError('not a whole snapshot of claims')
    return Table(now, table)


def _encode_record(
    scope: keys.Scope,
    record: records.Record,
) -> messages.Struct:
    return messages.structs.ClaimRecord(
        scope=scope,
        state=int(record.state),
        attempt=record.attempt,
        host=record.host,
        fingerprint=record.fingerprint,
        deadline=record.deadline,
        expires=record.expires,
        answer=record.answer,
        released=list(record.released),
    )


def _decode_record(row: messages.Struct) -> records.Record:
    return records.Record(
        state=keys.KeyState(row.state),
        attempt=row.attempt or '',
        host=row.host or '',
        fingerprint=row.fingerprint,
        deadline=row.deadline,
        expires=row.expires,
        answer=row.answer,
        released=tuple(row.released or ()),
    )
