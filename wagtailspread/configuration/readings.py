"""What was read from sections without a fault, kept for the next version."""

import typing

from wagtailspread.configuration import files

#: The sections that a value was read from.
Bodies = tuple[files.SectionBody, ...]


class Readings:
    """Values by the bodies of the sections that they were read from.

    A value depends on nothing but its sections, so that using it again gives
    the same result as reading the sections again. Values that the present
    check did not use are dropped by :meth:`succeed`; those that it added are
    dropped by :meth:`revert`, so that refused files take no memory.
    """

    def __init__(
        self,
        recalled: typing.Mapping[Bodies, typing.Any] | None = None,
    ) -> None:
        """Start with the values of an earlier check."""
        self._recalled = recalled or {}
        self._used: dict[Bodies, typing.Any] = {}

    def find(self, bodies: Bodies) -> typing.Any:
        """Return the value read from these sections, or ``None``."""
        found = self._recalled.get(bodies)
        if found is not None:
            self._used[bodies] = found
        return found

    def keep(self, bodies: Bodies, read: typing.Any) -> None:
        """Keep a value that was read without a fault."""
        self._used[bodies] = read

    def succeed(self) -> 'Readings':
        """Return the readings for the next check."""
        return Readings(self._used)

    def revert(self) -> 'Readings':
        """Return the readings as they were before this check."""
        return Readings(self._recalled)


def create_readings() -> Readings:
    """Return readings without values."""
    return Readings()
