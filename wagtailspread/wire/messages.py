"""Thrift structs of the fleet's internal protocol.

The structs are defined in ``wagtailspread.thrift`` beside this module. Their
classes are created from ``definitions.json``, see
:mod:`wagtailspread.wire.definitions`.

>>> data = encode(structs.CancelRequest(service_name='vitrina', request='r1'))
>>> decode(structs.CancelRequest, data).request
'r1'

References: Apache Thrift, binary protocol.
"""

import typing

from wagtailspread.wire import codecs, definitions, structures

#: Characters of the library's reason in an error.
_MAX_REASON_LENGTH = 200

#: The structs as attributes: ``structs.Envelope`` and so on.
structs: typing.Any = definitions.load()
#: Methods of the protocol, as integer attributes.
methods: typing.Any = structs.Method

#: Largest values of the integer types.
MAX_I16 = 2**15 - 1
MAX_I32 = 2**31 - 1
MAX_I64 = 2**63 - 1

#: Code of a text field; a field of bytes has another one.
_TEXT_TYPE = codecs.thrift.TType.STRING

#: A struct of this protocol; thriftpy2 creates the classes at run time.
Struct = typing.Any


def encode(struct: Struct) -> bytes:
    """Encode a struct in the thrift binary protocol.

    The compiled writer takes a tenth of the time of the interpreted one and
    produces the same bytes.

    :raises EncodeError: if a field does not fit its type.
    """
    buffer = codecs.cymemory.TCyMemoryBuffer()
    try:
        codecs.cybin.TCyBinaryProtocol(buffer).write_struct(struct)
    except Exception as error:  # thriftpy2 raises many unrelated types
        raise EncodeError(
            f'struct {type(struct).__name__}: expected a value of the type of '
            f'each field: {str(error)[:_MAX_REASON_LENGTH]}',
        ) from error
    return buffer.getvalue()


def decode(struct_type: typing.Any, payload: bytes) -> Struct:
    """Decode a struct of this type from a payload.

    :raises DecodeError: if the payload is not a valid struct of this type.
    """
    try:
        structures.check_struct(payload)
        return decode_trusted(struct_type, payload)
    except Exception as error:  # thriftpy2 raises many unrelated types
        raise DecodeError(
            f'expected a thrift struct {struct_type.__name__}, '
            'got a malformed payload',
        ) from error


def decode_trusted(struct_type: typing.Any, payload: bytes) -> Struct:
    """Decode a struct from a payload that :func:`encode` returned.

    The compiled reader reads zeros past the end of a payload: a truncated
    payload yields missing fields, and a forged list length keeps the reader
    busy for minutes. Use it only for payloads that a process of the fleet
    encoded and stored under a checksum; :func:`decode` checks what a peer
    sends first.
    """
    struct = struct_type()
    buffer = codecs.cymemory.TCyMemoryBuffer(payload)
    codecs.cybin.TCyBinaryProtocol(buffer).read_struct(struct)
    return struct


def is_integer(
    found: typing.Any, least: int, most: int
) -> typing.TypeGuard[int]:
    """Tell whether a received value is an integer of this range.

    >>> is_integer(7, 0, 9), is_integer(True, 0, 9), is_integer(2**70, 0, 9)
    (True, False, False)
    """
    if isinstance(found, bool) or not isinstance(found, int):
        return False
    return least <= found <= most


def is_text(
    found: typing.Any, shortest: int, longest: int
) -> typing.TypeGuard[str]:
    """Tell whether a received value is a printable text of this length.

    The thrift library returns bytes for a text that is not UTF-8, and JSON may
    contain lone surrogates, which have no UTF-8 form.

    >>> is_text('u1', 1, 8), is_text('\\ud800', 1, 8), is_text(b'u1', 1, 8)
    (True, False, False)

    :param shortest: in bytes of UTF-8, as ``longest``.
    """
    if not isinstance(found, str) or not found.isprintable():
        return False
    return shortest <= len(found.encode()) <= longest


def has_texts(struct: Struct) -> bool:
    """Tell whether each text field of a decoded struct is a text or missing.

    The thrift library returns bytes for a text that is not UTF-8.
    """
    return not any(
        isinstance(getattr(struct, name), bytes)
        for code, name, *_ in struct.thrift_spec.values()
        if code == _TEXT_TYPE
    )


def check_texts(struct: Struct) -> None:
    """Check that each text field of a decoded struct is a text or missing.

    :raises DecodeError: if one is not UTF-8.
    """
    if not has_texts(struct):
        raise DecodeError(
            f'struct {type(struct).__name__}: expected UTF-8 in each text',
        )


def method_name(method: int) -> str:
    """Return the name of a method for logs and traces.

    >>> method_name(methods.ACQUIRE)
    'ACQUIRE'
    """
    return methods._VALUES_TO_NAMES.get(method, 'UNKNOWN')


class EncodeError(Exception):
    """A value does not fit the type of its field."""


class DecodeError(Exception):
    """A payload is not a valid struct of the expected type."""
