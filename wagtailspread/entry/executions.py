"""What is known about whether a request has run.

Only the connector and the code that reads an upstream's answer write into a
ledger, so only they decide whether a caller may be told that its request was
not run. Answers that say so take a :class:`NotRunProof` as their proof.
"""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, eq=False)
class ConnectionRecord:
    """What one connection to an upstream did.

    :param generation: generation of connections that it belongs to.
    :param opened_at: seconds on the host's clock.
    :param succeeded_at: when it last carried a whole answer.
    :param was_reset: whether it ended by a reset or an error.
    """

    generation: int
    opened_at: float
    succeeded_at: float = -1.0
    was_reset: bool = False


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How far one attempt got.

    :param is_connected: whether it has a connection, from when on any byte
        may have been sent.
    :param is_reused: whether the connection carried an earlier exchange.
    :param is_shed: whether the upstream said that it did not run it.
    :param connection: record of the connection.
    :param repetition: the same attempt sent again on a new connection; it may
        have run even if this one was shed.
    """

    is_connected: bool = False
    is_reused: bool = False
    is_shed: bool = False
    connection: ConnectionRecord | None = None
    repetition: typing.Optional['AttemptProgress'] = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether the upstream may have run the request."""
        if self.repetition is not None and self.repetition.may_have_run:
            return True
        return self.is_connected and not self.is_shed


@typing.final
class NotRunProof:
    """Proof that no attempt of a request can have run.

    Only :meth:`ExecutionRecord.prove_not_run` makes one.
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
        """Start without attempts."""
        self.attempts: list[AttemptProgress] = []

    def open_attempt(self) -> AttemptProgress:
        """Return the progress of a new attempt."""
        progress = AttemptProgress()
        self.attempts.append(progress)
        return progress

    def prove_not_run(self) -> NotRunProof | None:
        """Return the proof, or ``None`` if an attempt may have run."""
        for progress in self.attempts:
            if progress.may_have_run:
                return None
        return _PROOF
