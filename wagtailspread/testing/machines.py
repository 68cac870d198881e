"""In-memory stand-ins for the components of the replicas' state machine."""

import json
import typing

from wagtailspread.core import identifiers
from wagtailspread.replica import machines
from wagtailspread.wire import messages


class FakeConfiguration:
    """Accepts each submission that is based on the current version."""

    def __init__(self) -> None:
        """Create an empty configuration."""
        self.texts: list[str] = []
        self.keys: dict[identifiers.MemberId, bytes] = {}
        self._answers: dict[str, list[object]] = {}

    @property
    def version(self) -> int:
        """Current version; 0 before the first base file."""
        return len(self.texts)

    def start(self, text: str) -> None:
        """Store the first base file as version 1."""
        self.texts.append(text)

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Apply a submission once for each id.

        :returns: the answer to the first submission with this id, with the
            status 'accepted' or 'conflict'.
        """
        if submission.id not in self._answers:
            is_accepted = submission.based_on == self.version
            if is_accepted:
                self.texts.append(submission.files[0].text)
            status = 'accepted' if is_accepted else 'conflict'
            self._answers[submission.id] = [status, self.version]
        answer = self._answers[submission.id]
        return messages.structs.SubmissionAnswer(
            status=answer[0],
            version=answer[1],
            findings=[],
            differences=[],
        )

    def delta_since(self, version: int) -> messages.Struct:
        """Return a delta of one section with the newest text."""
        section = messages.structs.Section(
            file='base',
            name='fleet',
            text=self.texts[-1],
            is_removed=False,
        )
        return messages.structs.ConfigurationDelta(
            from_version=version,
            to_version=self.version,
            sections=[section],
        )

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of a member; ``None`` if it is unknown."""
        return self.keys.get(member)

    def describe(self) -> dict[str, typing.Any]:
        """Return the current version."""
        return {'version': self.version}

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return json.dumps([self.texts, self._answers]).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.texts, self._answers = json.loads(snapshot)


class FakeClaims:
    """Grants each key to the attempt that claims it first."""

    def __init__(self) -> None:
        """Create a store without claims."""
        self.attempts: dict[str, str] = {}

    def claim(self, request: messages.Struct, _now: float) -> messages.Struct:
        """Grant the key unless another attempt has claimed it."""
        attempt = self.attempts.setdefault(request.key, request.attempt)
        state = 'granted' if attempt == request.attempt else 'running'
        return messages.structs.ClaimAnswer(state=state, answer=None)

    def finish(self, request: messages.Struct, _now: float) -> None:
        """Do nothing; the claim is retained."""

    def release(self, request: messages.Struct, _now: float) -> None:
        """Release the key if this attempt has claimed it."""
        if self.attempts.get(request.key) == request.attempt:
            self.attempts.pop(request.key)

    def expire(self, now: float) -> None:
        """Do nothing; all claims are retained."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return json.dumps(self.attempts).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.attempts = json.loads(snapshot)


def create_fake_machine() -> machines.StateMachine:
    """Return a state machine with fake configuration and claims."""
    return machines.create_machine(FakeConfiguration(), FakeClaims())
