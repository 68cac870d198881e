"""Keys of members at a replica: those of its settings, then the approved."""

from wagtailspread.core import identifiers
from wagtailspread.replica import machines


class ReplicaDirectory:
    """Keys of the settings, then those of the configuration in force."""

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted: dict[identifiers.MemberId, bytes],
        machine: machines.StateMachine,
    ) -> None:
        """Keep where to look."""
        self._member = member
        self._trusted = trusted
        self._machine = machine

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw Ed25519 public key, or ``None`` if not approved."""
        configuration = self._machine.configuration
        if configuration.version > 0 and member != self._member:
            return configuration.find_key(member)
        return self._trusted.get(member)


def create_directory(
    member: identifiers.MemberId,
    trusted: dict[identifiers.MemberId, bytes],
    machine: machines.StateMachine,
) -> ReplicaDirectory:
    """Return the directory of a replica.

    :param member: whose replica it is; its key is always that of the settings.
    :param trusted: raw public keys by member.
    """
    return ReplicaDirectory(member, trusted, machine)
