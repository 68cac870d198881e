"""Index of keys by the minute in which they expire.

One list per minute uses 8 bytes per key and yields the due keys without
scanning the others.
"""

import typing

from wagtailspread.idempotency import keys

#: Width of a bucket in seconds; a key may exceed its lifetime by that much.
BUCKET_SECONDS = 60.0


class Expiries:
    """Keys by the minute in which they expire. Use :func:`create_expiries`.

    A key may occur more than once; its record determines whether it is due.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._buckets: dict[int, list[keys.Scope]] = {}

    def add(self, scope: keys.Scope, expires: float) -> None:
        """Add a key.

        :param expires: wall seconds.
        """
        bucket = int(expires // BUCKET_SECONDS)
        self._buckets.setdefault(bucket, []).append(scope)

    def pop_due(self, now: float) -> typing.Iterator[keys.Scope]:
        """Remove and return the keys of all past minutes.

        :param now: wall seconds.
        """
        current = int(now // BUCKET_SECONDS)
        for bucket in sorted(self._buckets):
            if bucket >= current:
                return
            yield from self._buckets.pop(bucket)


def create_expiries() -> Expiries:
    """Return an empty index."""
    return Expiries()
