"""Lookup of the public keys of members at a replica."""

from wagtailspread.core import identifiers
from wagtailspread.replica import machines


class ReplicaDirectory:
    """Finds keys in the settings until a configuration is in force, then in it.

    The own key is always taken from the settings.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted: dict[identifiers.MemberId, bytes],
        machine: machines.StateMachine,
    ) -> None:
        """Create the directory from both sources of keys."""
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

    :param member: member that runs the replica; its key is always taken from
        ``trusted``.
    :param trusted: raw public keys by member.
    """
    return ReplicaDirectory(member, trusted, machine)
