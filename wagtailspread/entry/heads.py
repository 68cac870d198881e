"""Request limits and the size of request heads."""

import asyncio
import dataclasses
import typing

from wagtailspread.entry import web

#: Minimum size of a field on the wire: a one-byte name, colon and line end.
MIN_FIELD_BYTES = 4
#: Maximum size of a single line of a head, in bytes. It is only an upper bound
#: for the parser; the active limits are far below it.
MAX_LINE_BYTES = 1024 * 1024
#: Time for which replaced limits are still accepted, in seconds. The platform
#: allows 2.5 s until a configuration is active on all hosts, and a head that
#: was started by then may take another 3 s.
GRACE_SECONDS = 6.0

#: Bytes of a request line without method and target: two spaces, the version
#: and the line end.
_REQUEST_LINE_BYTES = 12
#: Bytes of a field without name, value and optional whitespace.
_FIELD_BYTES = 3
#: Bytes of the empty line that terminates a head.
_END_BYTES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on requests and connections of callers.

    :param seconds: maximum time from the first byte of a head to its end.
    :param head_bytes: maximum size of a head: request line, fields and line
        ends. There is no separate limit on the number of fields.
    :param keepalive_seconds: maximum idle time of a connection.
    :param linger_seconds: time without a byte after which reading the rest of
        a refused request ends; it is read so that the caller receives the
        refusal.
    :param body_bytes: maximum size of a body, for handlers that check it.
    """

    seconds: float = 5.0
    head_bytes: int = 8190
    keepalive_seconds: float = 75.0
    linger_seconds: float = 1.0
    body_bytes: int = 0


DEFAULT_LIMITS = RequestLimits()
#: Limits until a configuration is known: the maximum that a host can buffer
#: for each caller.
UNKNOWN_LIMITS = RequestLimits(seconds=10.0, head_bytes=MAX_LINE_BYTES // 4)


def assume_newest() -> bool:
    """Return ``True``: no newer limits than the current ones exist."""
    return True


class LimitWindow:
    """The active limits and those that were replaced recently.

    A caller may comply with replaced limits until it learns of the new ones,
    so a request is refused only if all of these limits forbid it. While newer
    limits may be active that this host has not received,
    :data:`UNKNOWN_LIMITS` are accepted too.

    :param current: the active limits.
    """

    def __init__(
        self,
        limits: RequestLimits,
        is_newest: typing.Callable[[], bool] = assume_newest,
    ) -> None:
        """Create a window with the current limits only.

        :param is_newest: returns whether the current limits are the newest
            ones.
        """
        self.current = limits
        self._is_newest = is_newest
        self._replaced: list[tuple[float, RequestLimits]] = []

    def change(self, limits: RequestLimits) -> None:
        """Apply new limits; accept the replaced ones for a grace period."""
        if limits == self.current:
            return
        now = asyncio.get_running_loop().time()
        self._remove_expired(now)
        # Equal limits are stored once, so that repeated changes do not add up.
        retained = [
            entry for entry in self._replaced if entry[1] != self.current
        ]
        self._replaced = [*retained, (now, self.current)]
        self.current = limits

    def compute_loosest(self) -> RequestLimits:
        """Return the maximum of each limit over the window."""
        is_newest = self._is_newest()
        if is_newest and not self._replaced:
            return self.current
        self._remove_expired(asyncio.get_running_loop().time())
        allowed = [self.current, *(limits for _, limits in self._replaced)]
        if not is_newest:
            allowed.append(UNKNOWN_LIMITS)
        return dataclasses.replace(
            self.current,
            seconds=max(limits.seconds for limits in allowed),
            head_bytes=max(limits.head_bytes for limits in allowed),
            keepalive_seconds=max(
                limits.keepalive_seconds for limits in allowed
            ),
            body_bytes=max(limits.body_bytes for limits in allowed),
        )

    def _remove_expired(self, now: float) -> None:
        oldest = now - GRACE_SECONDS
        self._replaced = [
            entry for entry in self._replaced if entry[0] >= oldest
        ]


def count_bytes(request: web.BaseRequest) -> int:
    """Return the size of a head without optional whitespace, in bytes.

    It never exceeds the size that the caller sent.
    """
    target = request.raw_path.encode('utf-8', 'surrogateescape')
    size = len(request.method) + len(target) + _REQUEST_LINE_BYTES
    for name, text in request.raw_headers:
        size += len(name) + len(text) + _FIELD_BYTES
    return size + _END_BYTES
