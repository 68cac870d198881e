"""Bounded memory of recent events, to recognise duplicates."""

import typing

_Key = typing.TypeVar('_Key')
_Value = typing.TypeVar('_Value')


class RecentTable(typing.Generic[_Key, _Value]):
    """Values of the last one to two retention times.

    Two generations are kept; the older one is dropped as a whole, so that an
    entry costs no timer of its own.

    >>> recent = RecentTable(seconds=2.0, limit=100)
    >>> recent.put('r1', 'granted', now=0.0)
    >>> recent.get('r1'), recent.get('r2')
    ('granted', None)

    :param seconds: shortest time that a value is kept.
    :param limit: entries of one generation; older ones go earlier if more
        arrive.
    """

    def __init__(self, seconds: float, limit: int) -> None:
        """Start empty."""
        self._seconds = seconds
        self._limit = limit
        self._rotated = 0.0
        self._young: dict[_Key, _Value] = {}
        self._old: dict[_Key, _Value] = {}

    def __len__(self) -> int:
        """Return the number of entries in both generations."""
        return len(self._young) + len(self._old)

    def put(self, key: _Key, entry: _Value, now: float) -> None:
        """Remember an entry."""
        is_due = now - self._rotated >= self._seconds
        if is_due or len(self._young) >= self._limit:
            self._old = self._young
            self._young = {}
            self._rotated = now
        self._young[key] = entry

    def get(self, key: _Key) -> _Value | None:
        """Return the entry, or none if it is unknown or too old."""
        entry = self._young.get(key)
        return self._old.get(key) if entry is None else entry
