"""The replicas' state machine with the fleet's own parts."""

import typing

from wagtailspread.configuration import schemas, versions
from wagtailspread.core import identifiers
from wagtailspread.idempotency import claims
from wagtailspread.replica import machines
from wagtailspread.wire import messages

_FIRST_ID = 'first-version'


class ReplicatedConfiguration:
    """The configuration as the replicas' state machine uses it."""

    def __init__(self) -> None:
        """Start without a version."""
        self.state = versions.create_configuration()

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self.state.version

    def start(self, text: str) -> None:
        """Put the first base file in force."""
        if self.state.version:
            return
        base = messages.structs.SubmittedFile(
            name=schemas.BASE_FILE,
            text=text,
        )
        self.state.submit(
            messages.structs.Submission(
                id=_FIRST_ID,
                based_on=0,
                files=[base],
                member='',
                signature=b'',
            ),
        )

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Apply a submission."""
        return self.state.submit(submission)

    def delta_since(self, version: int) -> messages.Struct:
        """Return what changed since a version."""
        return self.state.delta_since(version)

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of a member in force."""
        found = self.state.members.get(member)
        return found.public_key if found else None

    def describe(self) -> dict[str, typing.Any]:
        """Return the version, the members and what waits for approvals."""
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
        """Return how long idempotency keys of a service live, in seconds."""
        return self.state.find_lifetime(service)

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.take_snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.state.restore(snapshot)


def create_machine() -> machines.StateMachine:
    """Return the state machine of a replica, empty."""
    configuration = ReplicatedConfiguration()
    table = claims.create_claim_table(lifetimes=configuration)
    return machines.create_machine(configuration, table)
