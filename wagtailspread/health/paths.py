"""Paths from a failure domain to an upstream that are blocked.

If requests from one failure domain fail while those from others succeed, the
fault is on the path. The domain then sends no requests to the upstream for a
limited time, unless the upstreams left to it would fall below the floor.
"""

import dataclasses

from wagtailspread.core import identifiers

#: Duration of the first block of a path, in seconds.
INITIAL_BLOCK_SECONDS = 2.0
#: Longest duration of a block, in seconds.
MAX_BLOCK_SECONDS = 32.0
#: Time after a block within which the duration of the next one is doubled, in
#: seconds.
BLOCK_HISTORY_SECONDS = 60.0
#: Successes after a block that end the probation of a path.
PROBATION_SUCCESSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """Path from a failure domain to the upstream of a row."""

    row: int
    domain: identifiers.FailureDomain


@dataclasses.dataclass(slots=True)
class Block:
    """A present or recent block of a path.

    :param expires_at: end of the block, in seconds of monotonic time.
    :param seconds: duration of the block.
    :param severity: severity of the fault.
    :param is_open: whether the block is over and the path is in use again.
    :param successes: successes since the path was opened. A failure before
        there are ``PROBATION_SUCCESSES`` blocks it again at once.
    """

    expires_at: float
    seconds: float
    severity: float
    is_open: bool = False
    successes: int = 0


class PathTable:
    """Blocked paths of one service."""

    def __init__(self) -> None:
        """Create a table in which all paths are open."""
        self._blocks: dict[Path, Block] = {}
        self._blocked: dict[identifiers.FailureDomain, set[int]] = {}

    def is_blocked(self, row: int, domain: identifiers.FailureDomain) -> bool:
        """Return whether a domain must not send requests to an upstream."""
        rows = self._blocked.get(domain)
        return rows is not None and row in rows

    def is_suspect(self, row: int, domain: identifiers.FailureDomain) -> bool:
        """Return whether a path is blocked or on probation."""
        if self.is_blocked(row, domain):
            return True
        return self.find_probation(row, domain) is not None

    def find_blocked_rows(
        self, domain: identifiers.FailureDomain
    ) -> frozenset[int]:
        """Return the rows that are blocked for a domain."""
        return frozenset(self._blocked.get(domain, ()))

    def find_blocked_domains(self) -> list[identifiers.FailureDomain]:
        """Return the domains that have a blocked path."""
        return [domain for domain, rows in self._blocked.items() if rows]

    def block(self, path: Path, severity: float, now: float) -> None:
        """Block a path, for twice as long if it was blocked recently.

        :param now: monotonic time in seconds.
        """
        seconds = INITIAL_BLOCK_SECONDS
        previous = self._blocks.get(path)
        if previous is not None:
            seconds = min(previous.seconds * 2, MAX_BLOCK_SECONDS)
        self._blocks[path] = Block(now + seconds, seconds, severity)
        self._blocked.setdefault(path.domain, set()).add(path.row)

    def open(self, path: Path) -> None:
        """Open a blocked path, which is then on probation."""
        self._blocks[path].is_open = True
        self._blocked[path.domain].discard(path.row)

    def find_probation(
        self,
        row: int,
        domain: identifiers.FailureDomain,
    ) -> Block | None:
        """Return the last block of a path if the path is on probation."""
        if not self._blocks:
            return None
        block = self._blocks.get(Path(row, domain))
        if block is None or not block.is_open:
            return None
        return block if block.successes < PROBATION_SUCCESSES else None

    def find_least_severe(self, domain: identifiers.FailureDomain) -> Path:
        """Return the blocked path of a domain with the least severe fault."""
        paths = [Path(row, domain) for row in self._blocked[domain]]
        return min(paths, key=lambda path: self._blocks[path].severity)

    def expire(self, now: float) -> list[Path]:
        """Open the paths whose block has expired and return them."""
        opened = []
        for path, block in list(self._blocks.items()):
            if block.is_open:
                if now - block.expires_at > BLOCK_HISTORY_SECONDS:
                    self._blocks.pop(path)
            elif now >= block.expires_at:
                self.open(path)
                opened.append(path)
        return opened

    def drop_row(self, row: int) -> None:
        """Drop the blocks of all paths to ``row``."""
        paths = [path for path in self._blocks if path.row == row]
        for path in paths:
            self._blocks.pop(path)
            self._blocked[path.domain].discard(row)
