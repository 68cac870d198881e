"""The state machine of the replicas, with configuration and claims."""

import typing

from wagtailspread.configuration import schemas, versions
from wagtailspread.core import identifiers
from wagtailspread.idempotency import claims
from wagtailspread.replica import machines
from wagtailspread.wire import messages

_FIRST_SUBMISSION_ID = 'first-version'


class ReplicatedConfiguration:
    """Configuration store of the replicas' state machine."""

    def __init__(self) -> None:
        """Create a store without a configuration."""
        self.state = versions.create_configuration()

    @property
    def version(self) -> int:
        """Return the active version; 0 if there is none yet."""
        return self.state.version

    def start(self, text: str) -> None:
        """Apply the initial base file, unless there is a version already."""
        if self.state.version:
            return
        base = messages.structs.SubmittedFile(
            name=schemas.BASE_FILE,
            text=text,
        )
        self.state.submit(
            messages.structs.Submission(
                id=_FIRST_SUBMISSION_ID,
                based_on=0,
                files=[base],
                member='',
                signature=b'',
            ),
        )

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Apply a ``Submission`` and return its ``SubmissionAnswer``."""
        return self.state.submit(submission)

    def delta_since(self, version: int) -> messages.Struct:
        """Return the ``ConfigurationDelta`` since a version."""
        return self.state.delta_since(version)

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of an approved member, or ``None``."""
        found = self.state.members.get(member)
        return found.public_key if found else None

    def describe(self) -> dict[str, typing.Any]:
        """Return the version, the members and the pending changes."""
        return {
            'version': self.state.version,
            'members': list(self.state.members),
            'pending': [
                {
                    'change': pending.kind.value,
                    'subject': pending.subject,
                    'digest': pending.digest,
                    'agreed': list(pending.agreed),
                    'missing': list(pending.missing),
                    'void': list(pending.void),
                }
                for pending in self.state.pending
            ],
        }

    def find_lifetime(self, service: str) -> float:
        """Return the lifetime of a service's idempotency keys, in seconds."""
        return self.state.find_lifetime(service)

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.take_snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.state.restore(snapshot)


def create_machine() -> machines.StateMachine:
    """Return the state machine of a replica, without any state."""
    configuration = ReplicatedConfiguration()
    table = claims.create_claim_table(lifetimes=configuration)
    return machines.create_machine(configuration, table)
