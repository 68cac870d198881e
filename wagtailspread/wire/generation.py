"""Writes ``definitions.json`` from ``wagtailspread.thrift``.

Run ``python -m wagtailspread.wire.generation`` after each change of the latter.
"""

import json
import pathlib
import typing

import thriftpy2

from thriftpy2 import thrift

from wagtailspread.wire import definitions

IDL_PATH = pathlib.Path(__file__).with_name('wagtailspread.thrift')


def describe() -> dict[str, typing.Any]:
    """Return the content of ``definitions.json``.

    :raises ValueError: if a default has no form in JSON.
    """
    module = thriftpy2.load(str(IDL_PATH), module_name=definitions.MODULE)
    return {
        'structs': {
            one.__name__: _describe_struct(one)
            for one in module.__thrift_meta__['structs']
        },
        'enums': {
            one.__name__: one._NAMES_TO_VALUES
            for one in module.__thrift_meta__['enums']
        },
    }


def render() -> str:
    """Return the text of ``definitions.json``, with a line for each name."""
    parts = [
        f'{json.dumps(kind)}: {{\n{_render_lines(entries)}\n}}'
        for kind, entries in describe().items()
    ]
    joined = ',\n'.join(parts)
    return f'{{\n{joined}\n}}\n'


def _render_lines(entries: dict[str, typing.Any]) -> str:
    return ',\n'.join(
        f'{json.dumps(name)}: {json.dumps(entry)}'
        for name, entry in entries.items()
    )


def _describe_struct(struct: typing.Any) -> list[typing.Any]:
    defaults = dict(struct.default_spec)
    return [
        [number, *_describe_field(*spec), defaults[spec[1]]]
        for number, spec in struct.thrift_spec.items()
    ]


def _describe_field(
    code: int, name: str, *rest: typing.Any
) -> tuple[str, typing.Any, bool]:
    """Return the name of a field, its type, and whether it is required."""
    kind = code if len(rest) == 1 else [code, _describe_type(rest[0])]
    return name, kind, rest[-1]


def _describe_type(kind: typing.Any) -> typing.Any:
    if isinstance(kind, type):
        if not issubclass(kind, thrift.TPayload):
            raise ValueError(f'{kind.__name__}: expected a struct')
        return kind.__name__
    if isinstance(kind, int):
        return kind
    code, inner = kind
    return [code, _describe_type(inner)]


if __name__ == '__main__':
    definitions.PATH.write_text(render())
