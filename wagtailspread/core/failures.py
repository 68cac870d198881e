"""Base class of failures, and failures that several packages use.

A function that can fail returns a ``returns.result.Result`` whose failure is
one of these types. Packages define further subclasses next to the code that
produces them.
"""

import dataclasses

from wagtailspread.core import identifiers, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Base class of typed failures; subclasses add fields with details."""

    def describe(self) -> str:
        """Return one line for logs and error messages."""
        name = type(self).__name__
        shown = [
            f'{field.name}={getattr(self, field.name)}'
            for field in dataclasses.fields(self)
        ]
        return ' '.join((name, *shown))

    def hint(self) -> str:
        """Return what a remote caller needs to continue after this failure."""
        return ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal(Failure):
    """A request was refused and did not run.

    :param retry_after: seconds after which a retry may succeed.
    """

    request: identifiers.RequestId
    reason: outcomes.RefusalReason
    retry_after: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader(Failure):
    """The replica is not the leader.

    :param leader: address of the leader, if known.
    """

    leader: identifiers.Address | None = None

    def hint(self) -> str:
        """Return the address of the leader, or an empty string."""
        return self.leader or ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable(Failure):
    """A peer could not be reached; nothing was sent to it."""

    address: identifiers.Address


@dataclasses.dataclass(frozen=True, slots=True)
class CallTimeout(Failure):
    """A call was sent but not answered in time; it may have been run.

    :param seconds: timeout of the call.
    """

    address: identifiers.Address
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallRejected(Failure):
    """A peer refused a call.

    :param reason: name of the failure type at the peer.
    :param detail: hint of the peer, such as the address of the leader.
    """

    address: identifiers.Address
    reason: str
    detail: str = ''
