"""Encodes the claim table as thrift columns and decodes it."""

import dataclasses
import itertools
import struct
import sys
import typing

from wagtailspread.idempotency import columns, keys, records
from wagtailspread.wire import messages

#: Errors that decoding raises for bytes that are not a valid snapshot.
_DECODE_ERRORS = (
    struct.error,
    messages.DecodeError,
    TypeError,
    IndexError,
    ValueError,
)
#: Key states indexed by their value.
_KEY_STATES = tuple(keys.KeyState)


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Content of a snapshot.

    :param now: highest wall time so far in seconds.
    """

    now: float
    records: dict[keys.Scope, records.Record]

    def encode(self) -> bytes:
        """Return the encoded snapshot."""
        return encode_table(self.now, self.records)


def encode_table(
    now: float,
    table: dict[keys.Scope, records.Record],
) -> bytes:
    """Return the encoded snapshot of a table.

    :param now: highest wall time so far in seconds.
    """
    rows = table.values()
    counts = [len(row.released) for row in rows]
    released = [_encode(attempt) for row in rows for attempt in row.released]
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

    :raises ValueError: if the bytes are not a valid snapshot.
    """
    try:
        return _decode_table(snapshot)
    except _DECODE_ERRORS as error:
        raise ValueError(
            f'invalid snapshot of claims: {type(error).__name__} in '
            f'{len(snapshot)} bytes',
        ) from error


def _decode_table(snapshot: bytes) -> Table:
    table = messages.decode(messages.structs.ClaimColumns, snapshot)
    count = table.count
    if len(table.scopes) != count * keys.SCOPE_BYTES:
        raise ValueError(
            f'expected {count} scopes of {keys.SCOPE_BYTES} bytes each, '
            f'got {len(table.scopes)} bytes',
        )
    columns_of_rows = zip(
        map(_KEY_STATES.__getitem__, table.states),
        map(decode_text, columns.unpack_texts(table.attempts, count)),
        _intern_texts(columns.unpack_texts(table.hosts, count)),
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
    """Return a decoded text; bytes that are not UTF-8 become surrogates.

    >>> decode_text(b'a1'), decode_text(None)
    ('a1', '')
    """
    if isinstance(text, bytes):
        return text.decode(errors='surrogateescape')
    return text or ''


def _encode(text: str) -> bytes:
    return text.encode(errors='surrogateescape')


def _intern_texts(
    texts: typing.Iterable[bytes | None],
) -> typing.Iterator[str]:
    """Yield the decoded texts; equal texts are the same object."""
    interned: dict[bytes | None, str] = {}
    for text in texts:
        interned_text = interned.get(text)
        if interned_text is None:
            interned_text = sys.intern(decode_text(text))
            interned[text] = interned_text
        yield interned_text
