"""Reads single values of the platform's JSON."""

import json
import math
import re
import typing

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MILLISECONDS = 1000


class FormatError(ValueError):
    """A text does not have the platform's format."""


def read_object(body: bytes | str) -> dict[str, typing.Any]:
    """Return the JSON object in ``body``.

    :raises FormatError: if it holds anything else.
    """
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FormatError('not JSON') from error
    if not isinstance(found, dict):
        raise FormatError('not an object')
    return found


def read_seconds(text: typing.Any) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    >>> read_seconds('1500ms'), read_seconds('2.5s')
    (1.5, 2.5)

    :raises FormatError: if it is none.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise FormatError('duration')
    number = float(found.group(1))
    return number / _MILLISECONDS if found.group(2) == 'ms' else number


def read_text(fields: dict[str, typing.Any], name: str) -> str:
    """Return a text that is not empty.

    :raises FormatError: if the field is missing or holds anything else.
    """
    found = fields.get(name)
    if not isinstance(found, str) or not found:
        raise FormatError(name)
    return found


def read_whole(fields: dict[str, typing.Any], name: str) -> int:
    """Return a whole number that is not negative.

    :raises FormatError: if the field is missing or holds anything else.
    """
    found = fields.get(name)
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise FormatError(name)
    return found


def read_number(fields: dict[str, typing.Any], name: str) -> float:
    """Return a finite number.

    :raises FormatError: if the field is missing or holds anything else.
    """
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise FormatError(name)
    if not math.isfinite(found):
        raise FormatError(name)
    return float(found)


def read_objects(
    fields: dict[str, typing.Any],
    name: str,
) -> list[dict[str, typing.Any]]:
    """Return a list of objects.

    :raises FormatError: if the field is missing or holds anything else.
    """
    found = fields.get(name)
    if not isinstance(found, list):
        raise FormatError(name)
    if not all(isinstance(one, dict) for one in found):
        raise FormatError(name)
    return found
