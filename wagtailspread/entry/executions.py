"""Records of whether a request may have been executed by an upstream.

Only the connector and the code that reads an upstream's answer update a
record, so only they decide whether a caller may be told that its request was
not run. Functions that create such answers require a :class:`NotRunProof`.
"""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, eq=False)
class ConnectionRecord:
    """History of one connection to an upstream.

    :param generation: number of its generation of connections.
    :param opened_at: seconds on the host's clock.
    :param succeeded_at: time of its last complete answer, in seconds on the
        host's clock; negative if there was none.
    :param was_reset: whether it ended with a reset or an error.
    """

    generation: int
    opened_at: float
    succeeded_at: float = -1.0
    was_reset: bool = False


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """Progress of one attempt.

    :param is_connected: whether it obtained a connection; from then on any
        byte may have been sent.
    :param is_reused: whether the connection carried an earlier exchange.
    :param is_shed: whether the upstream declared that it did not execute the
        request.
    :param connection: record of the connection.
    :param repetition: the same attempt repeated on a new connection, which
        may have been executed even if this one was shed.
    """

    is_connected: bool = False
    is_reused: bool = False
    is_shed: bool = False
    connection: ConnectionRecord | None = None
    repetition: typing.Optional['AttemptProgress'] = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have executed the request."""
        if self.repetition is not None and self.repetition.may_have_run:
            return True
        return self.is_connected and not self.is_shed


@typing.final
class NotRunProof:
    """Proof that no attempt of a request can have been executed.

    Only :meth:`ExecutionRecord.prove_not_run` returns one.
    """

    __slots__ = ()


_PROOF = NotRunProof()


class ExecutionRecord:
    """The attempts of one request.

    >>> execution = ExecutionRecord()
    >>> progress = execution.open_attempt()
    >>> progress.is_connected = True
    >>> execution.prove_not_run() is None
    True
    """

    __slots__ = ('attempts',)

    def __init__(self) -> None:
        """Create a record without attempts."""
        self.attempts: list[AttemptProgress] = []

    def open_attempt(self) -> AttemptProgress:
        """Add an attempt and return its progress."""
        progress = AttemptProgress()
        self.attempts.append(progress)
        return progress

    def prove_not_run(self) -> NotRunProof | None:
        """Return the proof, or ``None`` if an attempt may have run."""
        for progress in self.attempts:
            if progress.may_have_run:
                return None
        return _PROOF
