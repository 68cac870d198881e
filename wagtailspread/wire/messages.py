"""Thrift structs of the fleet's own protocol.

The structs are loaded from ``wagtailspread.thrift`` beside this module, so no
generator is needed at build time.

>>> data = encode(structs.CancelRequest(service_name='vitrina', request='r1'))
>>> decode(structs.CancelRequest, data).request
'r1'

References: Apache Thrift, binary protocol.
"""

import pathlib
import typing

import thriftpy2

from thriftpy2.utils import deserialize, serialize

_IDL_PATH = pathlib.Path(__file__).with_name('wagtailspread.thrift')

#: The loaded structs, as attributes: ``structs.Envelope`` and so on.
structs: typing.Any = thriftpy2.load(
    str(_IDL_PATH),
    module_name='wagtailspread_thrift',
)
#: Methods of the protocol, as integer attributes.
methods: typing.Any = structs.Method

#: A struct of this protocol; thriftpy2 makes the classes at run time.
Struct = typing.Any


def encode(struct: Struct) -> bytes:
    """Return the struct in the thrift binary protocol."""
    return serialize(struct)


def decode(struct_type: typing.Any, payload: bytes) -> Struct:
    """Return the struct of this type that ``payload`` holds.

    :raises DecodeError: if the payload does not hold one.
    """
    try:
        return deserialize(struct_type(), payload)
    except Exception as error:  # thriftpy2 raises many unrelated types
        raise DecodeError(struct_type.__name__) from error


def method_name(method: int) -> str:
    """Return the name of a method for logs and traces.

    >>> method_name(methods.ACQUIRE)
    'ACQUIRE'
    """
    return methods._VALUES_TO_NAMES.get(method, 'UNKNOWN')


class DecodeError(Exception):
    """A payload does not hold a struct of the expected type."""
