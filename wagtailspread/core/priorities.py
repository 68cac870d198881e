"""Priorities of requests, the most urgent first."""

import enum


class Priority(enum.IntEnum):
    """Priority of a request; a lower value is more urgent.

    >>> sorted([Priority.BULK, Priority.URGENT])
    [<Priority.URGENT: 0>, <Priority.BULK: 2>]
    """

    URGENT = 0
    STANDARD = 1
    BULK = 2


def parse_priority(text: str) -> Priority:
    """Parse the lower-case name of a priority.

    >>> parse_priority('standard')
    <Priority.STANDARD: 1>

    :param text: ``urgent``, ``standard`` or ``bulk``.
    :raises KeyError: if no priority has this name.
    """
    return Priority[text.upper()]
