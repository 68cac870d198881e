"""Lookup of the public keys of members at a replica."""

from wagtailspread.core import identifiers
from wagtailspread.replica import machines


class ReplicaDirectory:
    """Finds public keys in the settings, later in the configuration.

    The settings are used until the replica has a configuration. The key of the
    local member is always taken from the settings.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted: dict[identifiers.MemberId, bytes],
        machine: machines.StateMachine,
    ) -> None:
        """Create the directory from both sources of keys."""
        self._local_member = member
        self._trusted = trusted
        self._machine = machine

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw Ed25519 public key, or ``None`` if it is not known."""
        configuration = self._machine.configuration
        if configuration.version > 0 and member != self._local_member:
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
