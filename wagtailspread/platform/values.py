"""Decodes single values of the platform's JSON."""

import json
import math
import re
import reprlib
import typing

from wagtailspread.wire import messages

#: Maximum depth of nested objects and lists in a body. It is stated here since
#: the parser's own limit depends on the depth of the caller's stack, so that
#: one process might accept what another one rejects.
MAX_DEPTH = 64
#: Longest duration in seconds; its milliseconds fit the fleet's protocol.
MAX_SECONDS = messages.MAX_I32 / 1000

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)', re.ASCII)
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
    if _is_nested_too_deeply(found):
        raise FormatError(f'body: expected at most {MAX_DEPTH} nested levels')
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
    seconds = number / _MILLISECONDS if match.group(2) == 'ms' else number
    if seconds > MAX_SECONDS:
        raise create_error('duration', f'at most {MAX_SECONDS} s', text)
    return seconds


def read_text(fields: dict[str, typing.Any], name: str) -> str:
    """Return the non-empty text in a field.

    :raises FormatError: if the field is missing or has another value, such as
        a text with lone surrogates, which cannot be sent.
    """
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise create_error(name, 'a non-empty text', found)
    try:
        found.encode()
    except UnicodeEncodeError as error:
        raise create_error(name, 'a text of characters', found) from error
    return found


def read_integer(
    fields: dict[str, typing.Any],
    name: str,
    most: int = messages.MAX_I64,
) -> int:
    """Return the non-negative integer in a field.

    :param most: largest accepted value.
    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if not messages.is_integer(found, 0, messages.MAX_I64):
        raise create_error(name, 'a non-negative integer', found)
    if found > most:
        raise create_error(name, f'at most {most}', found)
    return found


def read_number(fields: dict[str, typing.Any], name: str) -> float:
    """Return the finite number in a field.

    :raises FormatError: if the field is missing or has another value.
    """
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise create_error(name, 'a number', found)
    try:
        number = float(found)
    except OverflowError as error:
        raise create_error(name, 'a finite number', found) from error
    if not math.isfinite(number):
        raise create_error(name, 'a finite number', found)
    return number


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


def _is_nested_too_deeply(found: typing.Any) -> bool:
    """Tell whether a value has more than :data:`MAX_DEPTH` nested levels."""
    level = [found]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for parent in level
            for child in (
                parent.values() if isinstance(parent, dict) else parent
            )
            if isinstance(child, dict | list)
        ]
        if not level:
            return False
    return True
