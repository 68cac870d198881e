"""Decodes single values of the platform's JSON."""

import json
import math
import re
import reprlib
import typing

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MILLISECONDS = 1000


class FormatError(ValueError):
    """A body or a field is not in the platform's format."""


def create_error(name: str, expected: str, found: typing.Any) -> FormatError:
    """Return the error for a field that does not have the expected value.

    >>> str(create_error('seq', 'a non-negative integer', -1))
    'seq: expected a non-negative integer, got -1'

    :param found: value of the sender. The error has the type and length of a
        list or an object, and at most 40 escaped characters of other values.
    """
    if isinstance(found, dict | list):
        excerpt = f'{type(found).__name__} of {len(found)} items'
    else:
        excerpt = reprlib.repr(found)
    return FormatError(f'{name}: expected {expected}, got {excerpt}')


def read_object(body: bytes | str) -> dict[str, typing.Any]:
    """Return the JSON object in ``body``.

    :raises FormatError: if the body is anything else.
    """
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FormatError(f'body: expected JSON: {error}') from error
    if not isinstance(found, dict):
        raise create_error('body', 'a JSON object', found)
    return found


def read_seconds(text: typing.Any) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    >>> read_seconds('1500ms'), read_seconds('2.5s')
    (1.5, 2.5)

    :raises FormatError: if ``text`` is anything else.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise create_error('duration', 'a number with unit ms or s', text)
    number = float(match.group(1))
    return number / _MILLISECONDS if match.group(2) == 'ms' else number


def read_text(fields: dict[str, typing.Any], name: str) -> str:
    """Return the non-empty text in a field.

    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise create_error(name, 'a non-empty text', found)
    return found


def read_integer(fields: dict[str, typing.Any], name: str) -> int:
    """Return the non-negative integer in a field.

    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise create_error(name, 'a non-negative integer', found)
    return found


def read_number(fields: dict[str, typing.Any], name: str) -> float:
    """Return the finite number in a field.

    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise create_error(name, 'a number', found)
    if not math.isfinite(found):
        raise create_error(name, 'a finite number', found)
    return float(found)


def read_objects(
    fields: dict[str, typing.Any],
    name: str,
) -> list[dict[str, typing.Any]]:
    """Return the list of objects in a field.

    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if not isinstance(found, list):
        raise create_error(name, 'a list of objects', found)
    if not all(isinstance(element, dict) for element in found):
        raise create_error(name, 'only objects in the list', found)
    return found
