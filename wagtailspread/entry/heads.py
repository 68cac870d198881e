"""Limits of requests, and the size of a head by which they hold."""

import asyncio
import dataclasses
import typing

from aiohttp import web

#: Fewest bytes of a field on the wire: a name, the colon and the line's end.
MIN_FIELD_BYTES = 4
#: Bytes of incomplete heads that a host holds, over all connections. A parsed
#: byte takes up to 47 bytes (fields of four bytes, measured with tracemalloc),
#: so that these take 50 MB at worst of the 200 MB of a host.
PENDING_BYTES = 1024 * 1024
#: Time for which limits that were replaced are allowed still, in seconds. The
#: platform grants 2.5 s for a configuration to be in force everywhere, and a
#: head that was begun then may take another 3 s.
GRACE_SECONDS = 6.0

#: Bytes of a request line beside method and target: two blanks, the version
#: and the line's end.
_REQUEST_LINE_BYTES = 12
#: Bytes of a field beside name and value, without optional blanks.
_FIELD_BYTES = 3
#: Bytes of the empty line that ends a head.
_END_BYTES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of requests and their connections.

    :param seconds: from the first byte of a head to its end.
    :param head_bytes: largest head: request line, fields and line ends. It
        alone bounds the number of fields.
    :param keepalive_seconds: idle time of a connection.
    :param linger_seconds: longest time without a byte for which the rest of a
        refused request is read, so that the caller gets the refusal.
    :param body_bytes: largest body, for handlers that look at it.
    """

    seconds: float = 5.0
    head_bytes: int = 8190
    keepalive_seconds: float = 75.0
    linger_seconds: float = 1.0
    body_bytes: int = 0


DEFAULT_LIMITS = RequestLimits()
#: Limits while no configuration is known: what a host can hold of one caller.
UNKNOWN_LIMITS = RequestLimits(seconds=10.0, head_bytes=PENDING_BYTES // 4)


def assume_newest() -> bool:
    """Tell that the limits put in force last are always the newest ones."""
    return True


class LimitWindow:
    """The limits in force, and those that were in force a moment ago.

    A caller may keep to limits that were replaced, until it learns of the new
    ones; it is refused only by what all of them forbid. While newer limits may
    be in force that this host does not have, they are unknown.

    :param current: the limits in force.
    """

    def __init__(
        self,
        limits: RequestLimits,
        is_newest: typing.Callable[[], bool] = assume_newest,
    ) -> None:
        """Start with limits that replaced no others.

        :param is_newest: tells whether the limits that were put in force last
            are the newest ones.
        """
        self.current = limits
        self._is_newest = is_newest
        self._replaced: list[tuple[float, RequestLimits]] = []

    def change(self, limits: RequestLimits) -> None:
        """Put other limits in force."""
        if limits == self.current:
            return
        now = asyncio.get_running_loop().time()
        self._drop_old(now)
        # Equal limits are kept once, so that changes in series stay few.
        kept = [one for one in self._replaced if one[1] != self.current]
        self._replaced = [*kept, (now, self.current)]
        self.current = limits

    def find_loosest(self) -> RequestLimits:
        """Return what the limits of the last seconds allow at most."""
        is_newest = self._is_newest()
        if is_newest and not self._replaced:
            return self.current
        self._drop_old(asyncio.get_running_loop().time())
        allowed = [self.current, *(limits for _, limits in self._replaced)]
        if not is_newest:
            allowed.append(UNKNOWN_LIMITS)
        return dataclasses.replace(
            self.current,
            seconds=max(one.seconds for one in allowed),
            head_bytes=max(one.head_bytes for one in allowed),
            keepalive_seconds=max(one.keepalive_seconds for one in allowed),
            body_bytes=max(one.body_bytes for one in allowed),
        )

    def _drop_old(self, now: float) -> None:
        oldest = now - GRACE_SECONDS
        self._replaced = [one for one in self._replaced if one[0] >= oldest]


class HeadBudget:
    """The bytes of incomplete heads of all connections of a host.

    :param held: bytes held now.
    """

    def __init__(self) -> None:
        """Start without a connection."""
        self.held = 0

    @property
    def is_exceeded(self) -> bool:
        """Tell whether more is held than the host has memory for."""
        return self.held > PENDING_BYTES


def count_bytes(request: web.BaseRequest) -> int:
    """Return the bytes of a head, without optional blanks around values.

    It is never more than what the caller sent.
    """
    target = request.raw_path.encode('utf-8', 'surrogateescape')
    size = len(request.method) + len(target) + _REQUEST_LINE_BYTES
    for name, text in request.raw_headers:
        size += len(name) + len(text) + _FIELD_BYTES
    return size + _END_BYTES
