"""Paths from a failure domain to an upstream that are blocked.

A fault that one failure domain sees while others see success lies on the
path. The domain then sends nothing to the upstream for a while, as long as
the upstreams left to the domain stay above its floor.
"""

import dataclasses

from wagtailspread.core import identifiers

#: Time of the first block of a path, in seconds.
FIRST_BLOCK_SECONDS = 2.0
#: Longest block, in seconds.
LONGEST_BLOCK_SECONDS = 32.0
#: Time after a block during which a new one is doubled, in seconds.
MEMORY_SECONDS = 60.0
#: Successes after a block until a path is trusted as before.
TRUSTED_SUCCESSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """From a failure domain to the upstream of a row."""

    row: int
    domain: identifiers.FailureDomain


@dataclasses.dataclass(slots=True)
class Block:
    """A path that is blocked until a time, or was not long ago.

    :param successes: results since it was opened; a failure before there are
        enough blocks it again at once.
    """

    until: float
    seconds: float
    badness: float
    is_open: bool = False
    successes: int = 0


class PathTable:
    """The blocked paths of one service."""

    def __init__(self) -> None:
        """Start with all paths open."""
        self._blocks: dict[Path, Block] = {}
        self._blocked: dict[identifiers.FailureDomain, set[int]] = {}

    def is_blocked(self, row: int, domain: identifiers.FailureDomain) -> bool:
        """Tell whether a domain must send nothing to an upstream."""
        rows = self._blocked.get(domain)
        return rows is not None and row in rows

    def is_doubtful(self, row: int, domain: identifiers.FailureDomain) -> bool:
        """Tell whether a path is blocked, or was and has not proved itself."""
        if self.is_blocked(row, domain):
            return True
        return self.find_untrusted(row, domain) is not None

    def find_rows(self, domain: identifiers.FailureDomain) -> frozenset[int]:
        """Return the rows that are blocked for a domain."""
        return frozenset(self._blocked.get(domain, ()))

    def find_domains(self) -> list[identifiers.FailureDomain]:
        """Return the domains that have a blocked path."""
        return [domain for domain, rows in self._blocked.items() if rows]

    def block(self, path: Path, badness: float, now: float) -> None:
        """Block a path, longer if it was blocked shortly before."""
        seconds = FIRST_BLOCK_SECONDS
        earlier = self._blocks.get(path)
        if earlier is not None:
            seconds = min(earlier.seconds * 2, LONGEST_BLOCK_SECONDS)
        self._blocks[path] = Block(now + seconds, seconds, badness)
        self._blocked.setdefault(path.domain, set()).add(path.row)

    def open(self, path: Path) -> None:
        """Let a path be used again."""
        self._blocks[path].is_open = True
        self._blocked[path.domain].discard(path.row)

    def find_untrusted(
        self,
        row: int,
        domain: identifiers.FailureDomain,
    ) -> Block | None:
        """Return the earlier block of a path that is on probation."""
        if not self._blocks:
            return None
        block = self._blocks.get(Path(row, domain))
        if block is None or not block.is_open:
            return None
        return block if block.successes < TRUSTED_SUCCESSES else None

    def find_least_bad(self, domain: identifiers.FailureDomain) -> Path:
        """Return the blocked path of a domain with the lowest badness."""
        paths = [Path(row, domain) for row in self._blocked[domain]]
        return min(paths, key=lambda path: self._blocks[path].badness)

    def expire(self, now: float) -> list[Path]:
        """Open the paths whose time is over and return them."""
        opened = []
        for path, block in list(self._blocks.items()):
            if block.is_open:
                if now - block.until > MEMORY_SECONDS:
                    self._blocks.pop(path)
            elif now >= block.until:
                self.open(path)
                opened.append(path)
        return opened

    def forget(self, row: int) -> None:
        """Drop all that is known about the paths to ``row``."""
        paths = [path for path in self._blocks if path.row == row]
        for path in paths:
            self._blocks.pop(path)
            self._blocked[path.domain].discard(row)
