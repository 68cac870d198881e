"""Encodes the claim table as thrift columns."""

import dataclasses
import itertools
import struct
import sys
import typing

from wagtailspread.idempotency import columns, keys, records
from wagtailspread.wire import messages

#: What decoding raises if the bytes are not a whole snapshot.
_BROKEN = (
    struct.error,
    messages.DecodeError,
    TypeError,
    IndexError,
    ValueError,
)
#: States by their value.
_STATES = tuple(keys.KeyState)


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """What a snapshot holds.

    :param now: highest wall seconds so far.
    """

    now: float
    records: dict[keys.Scope, records.Record]

    def encode(self) -> bytes:
        """Return the snapshot."""
        return encode_table(self.now, self.records)


def encode_table(
    now: float,
    table: dict[keys.Scope, records.Record],
) -> bytes:
    """Return the snapshot of a table."""
    rows = table.values()
    counts = [len(row.released) for row in rows]
    released = [_encode(one) for row in rows for one in row.released]
    return messages.encode(
        messages.structs.ClaimColumns(
            now=now,
            count=len(table),
            scopes=b''.join(table),
            states=bytes(row.state for row in rows),
            deadlines=columns.pack_numbers(
                columns.FLOAT,
                [row.deadline for row in rows],
            ),
            expires=columns.pack_numbers(
                columns.FLOAT,
                [row.expires for row in rows],
            ),
            attempts=columns.pack_texts([_encode(row.attempt) for row in rows]),
            hosts=columns.pack_texts([_encode(row.host) for row in rows]),
            fingerprints=columns.pack_texts([row.fingerprint for row in rows]),
            answers=columns.pack_texts([row.answer for row in rows]),
            released_counts=columns.pack_numbers(columns.INTEGER, counts),
            released=columns.pack_texts(released),
        ),
    )


def decode_table(snapshot: bytes) -> Table:
    """Return the table in a snapshot.

    :raises ValueError: if the bytes are not a whole snapshot.
    """
    try:
        return _decode_table(snapshot)
    except _BROKEN as error:
        raise ValueError('not a snapshot of claims') from error


def _decode_table(snapshot: bytes) -> Table:
    table = messages.decode(messages.structs.ClaimColumns, snapshot)
    count = table.count
    if len(table.scopes) != count * keys.SCOPE_BYTES:
        raise ValueError('not a whole snapshot of claims')
    columns_of_rows = zip(
        map(_STATES.__getitem__, table.states),
        map(decode_text, columns.unpack_texts(table.attempts, count)),
        _share_texts(columns.unpack_texts(table.hosts, count)),
        columns.unpack_texts(table.fingerprints, count),
        columns.unpack_numbers(columns.FLOAT, table.deadlines, count),
        columns.unpack_numbers(columns.FLOAT, table.expires, count),
        columns.unpack_texts(table.answers, count),
        _split_released(table, count),
        strict=True,
    )
    rows = (records.Record(*row) for row in columns_of_rows)
    return Table(table.now, dict(zip(_split_scopes(table), rows, strict=True)))


def _split_scopes(table: messages.Struct) -> typing.Iterator[keys.Scope]:
    scopes = table.scopes
    for start in range(0, len(scopes), keys.SCOPE_BYTES):
        yield keys.Scope(scopes[start : start + keys.SCOPE_BYTES])


def _split_released(
    table: messages.Struct,
    count: int,
) -> typing.Iterator[tuple[str, ...]]:
    counts = columns.unpack_numbers(
        columns.INTEGER,
        table.released_counts,
        count,
    )
    attempts = columns.unpack_texts(table.released, sum(counts))
    if not attempts:
        yield from itertools.repeat((), count)
        return
    start = 0
    for number in counts:
        yield tuple(map(decode_text, attempts[start : start + number]))
        start += number


def decode_text(text: str | bytes | None) -> str:
    """Return a text; bytes that are not UTF-8 become surrogates.

    >>> decode_text(b'a1'), decode_text(None)
    ('a1', '')
    """
    if isinstance(text, bytes):
        return text.decode(errors='surrogateescape')
    return text or ''


def _encode(text: str) -> bytes:
    return text.encode(errors='surrogateescape')


def _share_texts(
    texts: typing.Iterable[bytes | None],
) -> typing.Iterator[str]:
    """Return the texts decoded, equal ones as one object."""
    known: dict[bytes | None, str] = {}
    for text in texts:
        shared = known.get(text)
        if shared is None:
            shared = sys.intern(decode_text(text))
            known[text] = shared
        yield shared
