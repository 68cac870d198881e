"""Bounded cache of recent events, to detect duplicates."""

import typing

_Key = typing.TypeVar('_Key')
_Value = typing.TypeVar('_Value')


class RecentCache(typing.Generic[_Key, _Value]):
    """Cache with two generations of entries.

    The older generation is evicted as a whole, so that entries need no timers.
    An entry is retained for one to two retention times.

    >>> recent = RecentCache(seconds=2.0, limit=100)
    >>> recent.put('r1', 'granted', now=0.0)
    >>> recent.get('r1'), recent.get('r2')
    ('granted', None)

    :param seconds: minimum retention time, unless the limit is exceeded.
    :param limit: maximum number of entries in one generation; beyond it the
        older generation is evicted early.
    """

    def __init__(self, seconds: float, limit: int) -> None:
        """Create an empty cache."""
        self._retention_seconds = seconds
        self._limit = limit
        self._rotated_at = 0.0
        self._current: dict[_Key, _Value] = {}
        self._previous: dict[_Key, _Value] = {}

    def __len__(self) -> int:
        """Return the number of entries in both generations."""
        return len(self._current) + len(self._previous)

    def put(self, key: _Key, entry: _Value, now: float) -> None:
        """Add an entry, and evict the older generation if it is due."""
        is_due = now - self._rotated_at >= self._retention_seconds
        if is_due or len(self._current) >= self._limit:
            self._previous = self._current
            self._current = {}
            self._rotated_at = now
        self._current[key] = entry

    def get(self, key: _Key) -> _Value | None:
        """Return the entry, or ``None`` if it is unknown or evicted."""
        entry = self._current.get(key)
        return self._previous.get(key) if entry is None else entry
