"""State machine of the replica process: configuration, documents, claims.

A command is a thrift struct with its kind, the request as it came, and the
wall time of the leader, so that every replica computes the same from it.
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
    """What a command asks the state machine to do."""

    #: Start with the base file of the first settings.
    START = 1
    SUBMIT = 2
    CLAIM_KEY = 3
    FINISH_KEY = 4
    RELEASE_KEY = 5
    #: Put a configuration document; the highest version is in force.
    PUT_DOCUMENT = 6


class ConfigurationStore(typing.Protocol):
    """Accepted configuration; structs are those of the wire protocol."""

    @property
    def version(self) -> int:
        """Version in force; 0 before the first file."""

    def start(self, text: str) -> None:
        """Take the first base file."""

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Return the ``SubmissionAnswer`` to a ``Submission``."""

    def delta_since(self, version: int) -> messages.Struct:
        """Return the ``ConfigurationDelta`` from ``version`` on."""

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of an approved member."""

    def describe(self) -> dict[str, typing.Any]:
        """Return what the status shows, as a map that JSON can hold."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


class ClaimStore(typing.Protocol):
    """Idempotency claims; ``now`` is in seconds since the epoch."""

    def claim(self, request: messages.Struct, now: float) -> messages.Struct:
        """Return the ``ClaimAnswer`` to a ``ClaimKey``."""

    def finish(self, request: messages.Struct, now: float) -> object:
        """Store the end of an attempt, a ``FinishKey``."""

    def release(self, request: messages.Struct, now: float) -> object:
        """Free the key of an attempt that sent nothing, a ``ReleaseKey``."""

    def expire(self, now: float) -> object:
        """Drop what has expired."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""


class StateMachine:
    """Applies committed commands. Use :func:`create_machine`.

    The time of commands never goes back: a leader with a slow clock continues
    at the time of the last command.
    """

    def __init__(
        self,
        configuration: ConfigurationStore,
        claims: ClaimStore,
    ) -> None:
        """Start with empty parts."""
        self.configuration = configuration
        self.claims = claims
        self.document = documents.VersionedDocument()
        self._wall_ms = 0

    def apply(self, index: identifiers.LogIndex, command: bytes) -> bytes:
        """Apply one command and return its encoded answer.

        A command that a part cannot run gets an empty answer at every
        replica; otherwise it would end all of them, again at each restart.

        :param index: place of the command in the log.
        """
        try:
            return self._apply(command)
        except Exception:
            _log.exception('command {} failed', index)
            return b''

    def _apply(self, command: bytes) -> bytes:
        decoded = messages.decode_own(messages.structs.Command, command)
        self._wall_ms = max(self._wall_ms, decoded.wall_ms)
        kind = CommandKind(decoded.kind)
        request = messages.decode_own(REQUEST_TYPES[kind], decoded.payload)
        return messages.encode(self._run(kind, request))

    def take_snapshot(self) -> bytes:
        """Return the state of all parts."""
        snapshot = messages.structs.MachineSnapshot(
            configuration=self.configuration.take_snapshot(),
            claims=self.claims.take_snapshot(),
            wall_ms=self._wall_ms,
            document=packing.pack(self.document.version, self.document.body),
        )
        return messages.encode(snapshot)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state of all parts."""
        decoded = messages.decode_own(
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
            held = self.document.version
            return messages.structs.DocumentAnswer(held_version=held)
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


#: Types of the requests that commands carry.
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
    """Return a command for the log.

    :param wall_time: the leader's seconds since the epoch.
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
    """Return a state machine of these parts."""
    return StateMachine(configuration, claims)


def create_default_machine() -> StateMachine:
    """Return a state machine of the fleet's own parts, both empty."""
    versions = importlib.import_module('wagtailspread.configuration.versions')
    claims = importlib.import_module('wagtailspread.idempotency.claims')
    return StateMachine(versions.ConfigurationState(), claims.ClaimTable())
