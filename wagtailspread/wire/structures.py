"""Bounds check of encoded structs, before a library decodes them.

The library trusts the lengths in a payload: a forged length of a list keeps it
busy for minutes, and the compiled reader reads zeros past the end. A payload
that passes this check is complete, and decoding it takes time in proportion to
its size.

References: Apache Thrift, binary protocol encoding.
"""

import struct

from wagtailspread.wire import codecs

#: Maximum depth of nested structs and lists in a payload.
MAX_DEPTH = 32

_types = codecs.thrift.TType
_LENGTH = struct.Struct('>i')
#: Bytes of a field header after the type: the id of the field.
_FIELD_ID_BYTES = 2
_FIXED_BYTES = {
    _types.BOOL: 1,
    _types.BYTE: 1,
    _types.DOUBLE: 8,
    _types.I16: 2,
    _types.I32: 4,
    _types.I64: 8,
}
_TEXTS = frozenset((_types.STRING, _types.BINARY))
_LISTS = frozenset((_types.LIST, _types.SET))


class MalformedStruct(ValueError):
    """A payload is incomplete, or its lengths contradict its size."""


def check_struct(payload: bytes) -> None:
    """Check that a payload starts with one complete struct.

    >>> try:
    ...     check_struct(bytes.fromhex('0f0001' '0b' '7fffffff' '00'))
    ... except MalformedStruct as error:
    ...     print(error)
    2147483647 elements in 1 bytes

    :raises MalformedStruct: if it does not.
    """
    try:
        end = _skip_struct(payload, 0, MAX_DEPTH)
    except (IndexError, struct.error) as error:
        raise MalformedStruct('payload ends within a field') from error
    if end > len(payload):
        raise MalformedStruct('payload ends within a field')


def _skip_struct(payload: bytes, start: int, depth: int) -> int:
    """Return the position after a struct.

    :param depth: further levels that are allowed.
    """
    if not depth:
        raise MalformedStruct(f'more than {MAX_DEPTH} nested levels')
    position = start
    while True:
        kind = payload[position]
        position += 1
        if kind == _types.STOP:
            return position
        position = _skip_value(payload, position + _FIELD_ID_BYTES, kind, depth)


def _skip_value(payload: bytes, start: int, kind: int, depth: int) -> int:
    """Return the position after a value of a type."""
    size = _FIXED_BYTES.get(kind)
    if size is not None:
        return start + size
    if kind in _TEXTS:
        length = _read_length(payload, start, 'byte')
        return start + _LENGTH.size + length
    if kind == _types.STRUCT:
        return _skip_struct(payload, start, depth - 1)
    if kind in _LISTS:
        return _skip_list(payload, start, depth - 1)
    raise MalformedStruct(f'unexpected type {kind}')


def _skip_list(payload: bytes, start: int, depth: int) -> int:
    if not depth:
        raise MalformedStruct(f'more than {MAX_DEPTH} nested levels')
    kind = payload[start]
    count = _read_length(payload, start + 1, 'element')
    position = start + 1 + _LENGTH.size
    size = _FIXED_BYTES.get(kind)
    if size is not None:
        return position + count * size
    for _ in range(count):
        position = _skip_value(payload, position, kind, depth)
    return position


def _read_length(payload: bytes, start: int, unit: str) -> int:
    """Return a length, which the rest of the payload must be able to hold."""
    (length,) = _LENGTH.unpack_from(payload, start)
    remaining = len(payload) - start - _LENGTH.size
    if not 0 <= length <= remaining:
        raise MalformedStruct(f'{length} {unit}s in {remaining} bytes')
    return int(length)
