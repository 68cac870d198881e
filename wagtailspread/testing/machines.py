"""In-memory stand-ins for the parts of the replicas' state machine."""

import json
import typing

from wagtailspread.core import identifiers
from wagtailspread.replica import machines
from wagtailspread.wire import messages


class FakeConfiguration:
    """Accepts every submission that was made from the version in force."""

    def __init__(self) -> None:
        """Start without any file."""
        self.texts: list[str] = []
        self.keys: dict[identifiers.MemberId, bytes] = {}
        self._answers: dict[str, list[object]] = {}

    @property
    def version(self) -> int:
        """Version in force."""
        return len(self.texts)

    def start(self, text: str) -> None:
        """Take the first base file."""
        self.texts.append(text)

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Accept a change of the version in force, once for each id."""
        if submission.id not in self._answers:
            is_next = submission.based_on == self.version
            if is_next:
                self.texts.append(submission.files[0].text)
            status = 'accepted' if is_next else 'conflict'
            self._answers[submission.id] = [status, self.version]
        known = self._answers[submission.id]
        return messages.structs.SubmissionAnswer(
            status=known[0],
            version=known[1],
            findings=[],
            differences=[],
        )

    def delta_since(self, version: int) -> messages.Struct:
        """Return one section that holds the last text."""
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
        """Return the key of a member, if one was set."""
        return self.keys.get(member)

    def describe(self) -> dict[str, typing.Any]:
        """Return the version."""
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
        """Start without claims."""
        self.attempts: dict[str, str] = {}

    def claim(self, request: messages.Struct, _now: float) -> messages.Struct:
        """Grant the key, or tell that another attempt has it."""
        attempt = self.attempts.setdefault(request.key, request.attempt)
        state = 'granted' if attempt == request.attempt else 'running'
        return messages.structs.ClaimAnswer(state=state, answer=None)

    def finish(self, request: messages.Struct, _now: float) -> None:
        """Keep the claim."""

    def release(self, request: messages.Struct, _now: float) -> None:
        """Free the key if this attempt has it."""
        if self.attempts.get(request.key) == request.attempt:
            self.attempts.pop(request.key)

    def expire(self, now: float) -> None:
        """Keep all claims."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return json.dumps(self.attempts).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.attempts = json.loads(snapshot)


def create_fake_machine() -> machines.StateMachine:
    """Return a state machine of two stand-ins."""
    return machines.create_machine(FakeConfiguration(), FakeClaims())
