"""Cache of the values read from sections, reused for the next version."""

import typing

from wagtailspread.configuration import files

#: Bodies of the sections that a value was read from, as a cache key.
Bodies = tuple[files.SectionBody, ...]


class SectionCache:
    """Values by the bodies of the sections that they were read from.

    A value depends only on its sections, so a cached value equals the result
    of reading the sections again. :meth:`commit` drops the values that the
    current check did not use; :meth:`roll_back` drops those that it added, so
    that refused files use no memory.
    """

    def __init__(
        self,
        previous: typing.Mapping[Bodies, typing.Any] | None = None,
    ) -> None:
        """Start with the values of the previous check."""
        self._previous = previous or {}
        self._current: dict[Bodies, typing.Any] = {}

    def find(self, bodies: Bodies) -> typing.Any:
        """Return the cached value of these sections, or ``None``."""
        cached = self._previous.get(bodies)
        if cached is not None:
            self._current[bodies] = cached
        return cached

    def store(self, bodies: Bodies, section_value: typing.Any) -> None:
        """Store a value that was read without findings."""
        self._current[bodies] = section_value

    def commit(self) -> 'SectionCache':
        """Return the cache for the next check, with the values of this one."""
        return SectionCache(self._current)

    def roll_back(self) -> 'SectionCache':
        """Return the cache as it was before this check."""
        return SectionCache(self._previous)


def create_section_cache() -> SectionCache:
    """Return an empty cache."""
    return SectionCache()
