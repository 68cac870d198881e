"""Classes of the structs and enums that ``wagtailspread.thrift`` defines.

To parse that file takes more processor time than most of the other steps of a
start. So its content is also held as ``definitions.json``, which
:mod:`wagtailspread.wire.generation` writes, and a class is created when it is
first used. The classes are the same as those that the thrift library creates.

>>> definitions = load()
>>> definitions.ReplicaPlace(address='10.0.0.1:80').address
'10.0.0.1:80'
>>> definitions.Method._NAMES_TO_VALUES['ACQUIRE'] == definitions.Method.ACQUIRE
True
"""

import json
import pathlib
import typing

from wagtailspread.wire import codecs

PATH = pathlib.Path(__file__).with_name('definitions.json')
#: Name of the module that the classes give as theirs.
MODULE = 'wagtailspread_thrift'

#: A type as JSON: a code, or a code and the type of the elements.
_JsonType = typing.Any


class Definitions:
    """The structs and enums as attributes. Use :func:`load`."""

    def __init__(self, document: dict[str, typing.Any]) -> None:
        """Store the content of ``definitions.json``."""
        self._structs = document['structs']
        self._enums = document['enums']

    def __getattr__(self, name: str) -> typing.Any:
        """Create a class when it is used first."""
        if name in self._structs:
            created = self._create_struct(name, self._structs[name])
        elif name in self._enums:
            created = _create_enum(name, self._enums[name])
        else:
            raise AttributeError(name)
        setattr(self, name, created)
        return created

    def _create_struct(self, name: str, fields: list[typing.Any]) -> typing.Any:
        """Return the class of a struct.

        :param fields: for each field its number, name, type, whether it is
            required, and its default.
        """
        attributes = {
            '__module__': MODULE,
            '_ttype': codecs.thrift.TType.STRUCT,
        }
        created: typing.Any = type(name, (codecs.thrift.TPayload,), attributes)
        thrift_spec = {
            number: self._create_spec(kind, field, is_required)
            for number, field, kind, is_required, _ in fields
        }
        defaults = [(field, default) for _, field, _, _, default in fields]
        created.thrift_spec = thrift_spec
        created.default_spec = defaults
        return codecs.thrift.gen_init(created, thrift_spec, defaults)

    def _create_spec(
        self, kind: _JsonType, field: str, is_required: bool
    ) -> tuple[typing.Any, ...]:
        resolved = self._resolve(kind)
        if isinstance(resolved, int):
            return resolved, field, is_required
        return resolved[0], field, resolved[1], is_required

    def _resolve(self, kind: _JsonType) -> typing.Any:
        """Return a type as the thrift library describes it."""
        if isinstance(kind, int):
            return kind
        code, inner = kind
        if isinstance(inner, str):
            return code, getattr(self, inner)
        return code, self._resolve(inner)


def load() -> typing.Any:
    """Return the definitions, whose classes are not created yet."""
    return Definitions(json.loads(PATH.read_bytes()))


def _create_enum(name: str, values: dict[str, int]) -> typing.Any:
    attributes = {
        '__module__': MODULE,
        '_ttype': codecs.thrift.TType.I32,
        '_NAMES_TO_VALUES': values,
        '_VALUES_TO_NAMES': {number: key for key, number in values.items()},
        **values,
    }
    return type(name, (), attributes)
