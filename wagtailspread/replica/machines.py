"""State machine of the replica process: configuration, documents, claims.

A command is a thrift struct with its kind, the request as received and the
wall-clock time of the leader. Applying it is therefore deterministic: every
replica computes the same state.
"""

import enum
import importlib
import typing

import logbook

from wagtailspread.configuration import documents
from wagtailspread.core import identifiers
from wagtailspread.replica import packing
from wagtailspread.wire import messages


_log = logbook.Logger('replica')


class CommandKind(enum.IntEnum):
    """Operation that a command requests from the state machine."""

    #: Set the base file of the initial configuration.
    START = 1
    SUBMIT = 2
    CLAIM_KEY = 3
    FINISH_KEY = 4
    RELEASE_KEY = 5
    #: Store a configuration document if its version is the highest so far.
    PUT_DOCUMENT = 6


class ConfigurationStore(typing.Protocol):
    """Store of the accepted configuration; structs are of the wire protocol."""

    @property
    def version(self) -> int:
        """Active version; 0 if there is none yet."""

    def start(self, text: str) -> None:
        """Set the initial base file."""

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Return the ``SubmissionAnswer`` to a ``Submission``."""

    def delta_since(self, version: int) -> messages.Struct:
        """Return the ``ConfigurationDelta`` since ``version``."""

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of an approved member, or ``None``."""

    def describe(self) -> dict[str, typing.Any]:
        """Return the status as a dictionary that JSON can represent."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


class ClaimStore(typing.Protocol):
    """Store of idempotency claims; ``now`` is in seconds since the epoch."""

    def claim(self, request: messages.Struct, now: float) -> messages.Struct:
        """Return the ``ClaimAnswer`` to a ``ClaimKey``."""

    def finish(self, request: messages.Struct, now: float) -> object:
        """Store the outcome of an attempt from a ``FinishKey``."""

    def release(self, request: messages.Struct, now: float) -> object:
        """Release the key in a ``ReleaseKey``; its attempt sent nothing."""

    def expire(self, now: float) -> object:
        """Remove expired claims."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


class StateMachine:
    """Applies committed commands. Use :func:`create_machine`.

    The time of commands is monotonic: if the clock of a new leader is behind,
    its commands get the time of the last command.
    """

    def __init__(
        self,
        configuration: ConfigurationStore,
        claims: ClaimStore,
    ) -> None:
        """Start without a document, at time zero."""
        self.configuration = configuration
        self.claims = claims
        self.document = documents.VersionedDocument()
        self._wall_ms = 0

    def apply(self, index: identifiers.LogIndex, command: bytes) -> bytes:
        """Apply one command and return its encoded answer.

        A command that raises an exception gets an empty answer at every
        replica. If the exception were passed on, it would stop all replicas,
        and again at each restart.

        :param index: index of the command in the log.
        """
        try:
            return self._apply(command)
        except Exception:
            _log.exception('command at log index {} raised an exception', index)
            return b''

    def _apply(self, command: bytes) -> bytes:
        decoded = messages.decode_trusted(messages.structs.Command, command)
        self._wall_ms = max(self._wall_ms, decoded.wall_ms)
        kind = CommandKind(decoded.kind)
        request = messages.decode_trusted(REQUEST_TYPES[kind], decoded.payload)
        return messages.encode(self._run(kind, request))

    def take_snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        snapshot = messages.structs.MachineSnapshot(
            configuration=self.configuration.take_snapshot(),
            claims=self.claims.take_snapshot(),
            wall_ms=self._wall_ms,
            document=packing.pack(self.document.version, self.document.body),
        )
        return messages.encode(snapshot)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        decoded = messages.decode_trusted(
            messages.structs.MachineSnapshot,
            snapshot,
        )
        self.configuration.restore(decoded.configuration)
        self.claims.restore(decoded.claims)
        self._wall_ms = decoded.wall_ms
        self.document = documents.VersionedDocument()
        if decoded.document is not None:
            self.document = packing.unpack(decoded.document)

    def _run(
        self,
        kind: CommandKind,
        request: messages.Struct,
    ) -> messages.Struct:
        if kind is CommandKind.SUBMIT:
            return self.configuration.submit(request)
        if kind is CommandKind.START:
            self.configuration.start(request.text)
            return messages.structs.Empty()
        if kind is CommandKind.PUT_DOCUMENT:
            if request.version > self.document.version:
                self.document = packing.unpack(request)
            version = self.document.version
            return messages.structs.DocumentAnswer(held_version=version)
        return self._run_claim(kind, request)

    def _run_claim(
        self,
        kind: CommandKind,
        request: messages.Struct,
    ) -> messages.Struct:
        now = self._wall_ms / 1000
        self.claims.expire(now)
        if kind is CommandKind.CLAIM_KEY:
            return self.claims.claim(request, now)
        if kind is CommandKind.FINISH_KEY:
            self.claims.finish(request, now)
        else:
            self.claims.release(request, now)
        return messages.structs.Empty()


#: Struct type of the request by kind of command.
REQUEST_TYPES: dict[CommandKind, typing.Any] = {
    CommandKind.START: messages.structs.SubmittedFile,
    CommandKind.SUBMIT: messages.structs.Submission,
    CommandKind.CLAIM_KEY: messages.structs.ClaimKey,
    CommandKind.FINISH_KEY: messages.structs.FinishKey,
    CommandKind.RELEASE_KEY: messages.structs.ReleaseKey,
    CommandKind.PUT_DOCUMENT: messages.structs.DocumentState,
}


def encode_command(
    kind: CommandKind,
    request: messages.Struct,
    wall_time: float,
) -> bytes:
    """Return an encoded command for the log.

    :param wall_time: seconds since the epoch by the leader's clock.
    """
    command = messages.structs.Command(
        kind=int(kind),
        payload=messages.encode(request),
        wall_ms=int(wall_time * 1000),
    )
    return messages.encode(command)


def create_machine(
    configuration: ConfigurationStore,
    claims: ClaimStore,
) -> StateMachine:
    """Return a state machine with these stores."""
    return StateMachine(configuration, claims)


def create_default_machine() -> StateMachine:
    """Return a state machine with empty stores of wagtailspread."""
    versions = importlib.import_module('wagtailspread.configuration.versions')
    claims = importlib.import_module('wagtailspread.idempotency.claims')
    return StateMachine(versions.ConfigurationState(), claims.ClaimTable())
