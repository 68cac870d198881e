"""Keys by the minute in which they expire.

A list for each minute takes 8 bytes for a key and finds the due keys without
looking at the others.
"""

import typing

from wagtailspread.idempotency import keys

#: Width of a bucket in seconds; a key may outlive its lifetime by as much.
BUCKET_SECONDS = 60.0


class Expiries:
    """Keys by the minute in which they expire. Use :func:`create_expiries`.

    A key may be in it more than once; its record tells whether it is due.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: dict[int, list[keys.Scope]] = {}

    def add(self, scope: keys.Scope, expires: float) -> None:
        """Add a key.

        :param expires: wall seconds.
        """
        bucket = int(expires // BUCKET_SECONDS)
        self._buckets.setdefault(bucket, []).append(scope)

    def pop_due(self, now: float) -> typing.Iterator[keys.Scope]:
        """Remove and return the keys of the minutes that have passed.

        :param now: wall seconds.
        """
        current = int(now // BUCKET_SECONDS)
        for bucket in sorted(self._buckets):
            if bucket >= current:
                return
            yield from self._buckets.pop(bucket)


def create_expiries() -> Expiries:
    """Return an empty collection."""
    return Expiries()
