"""Packs columns of numbers and texts into bytes."""

import itertools
import struct
import typing

from wagtailspread.wire import messages

#: Length that represents ``None``.
_NO_TEXT = -1
#: Format characters of ``struct`` for one number.
FLOAT = 'd'
INTEGER = 'i'


def pack_numbers(
    kind: str,
    numbers: typing.Collection[float],
) -> bytes:
    """Return a packed column of numbers.

    >>> unpack_numbers(INTEGER, pack_numbers(INTEGER, [3, 4]), 2)
    (3, 4)

    :param kind: ``FLOAT`` or ``INTEGER``.
    """
    return struct.pack(f'<{len(numbers)}{kind}', *numbers)


def unpack_numbers(
    kind: str,
    packed: bytes,
    count: int,
) -> tuple[typing.Any, ...]:
    """Return the numbers of a packed column.

    :param kind: ``FLOAT`` or ``INTEGER``.
    :raises struct.error: if the column does not hold ``count`` numbers.
    """
    return struct.unpack(f'<{count}{kind}', packed)


def pack_texts(texts: typing.Sequence[bytes | None]) -> messages.Struct:
    """Return a thrift ``TextColumn``.

    >>> unpack_texts(pack_texts([b'ab', None, b'']), 3)
    [b'ab', None, b'']
    """
    lengths = [_NO_TEXT if text is None else len(text) for text in texts]
    return messages.structs.TextColumn(
        lengths=pack_numbers(INTEGER, lengths),
        joined=b''.join(text for text in texts if text),
    )


def unpack_texts(
    column: messages.Struct,
    count: int,
) -> list[bytes | None]:
    """Return the texts of a column.

    :param column: a thrift ``TextColumn``.
    :raises ValueError: if the column does not hold ``count`` texts.
    :raises struct.error: if the lengths are not ``count``.
    """
    lengths = unpack_numbers(INTEGER, column.lengths, count)
    joined = column.joined
    sizes = lengths
    if _NO_TEXT in lengths:
        sizes = tuple(max(0, length) for length in lengths)
    ends = list(itertools.accumulate(sizes))
    if len(joined) != (ends[-1] if ends else 0):
        raise ValueError(
            f'text column of {count} texts does not match its lengths: '
            f'got {len(joined)} bytes',
        )
    return [
        None if length == _NO_TEXT else joined[end - length : end]
        for length, end in zip(lengths, ends, strict=True)
    ]
