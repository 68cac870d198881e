"""Lookup of the public keys of members at a replica."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.replica import machines
from wagtailspread.wire import credentials


class ReplicaDirectory:
    """Finds public keys in the settings, later in the configuration.

    The settings are used until the replica has a configuration. The key of the
    local member is always taken from the settings.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted: typing.Mapping[
            identifiers.MemberId, credentials.VerificationKey
        ],
        machine: machines.StateMachine,
    ) -> None:
        """Create the directory from both sources of keys."""
        self._local_member = member
        self._trusted = trusted
        self._machine = machine

    def find_key(
        self, member: identifiers.MemberId
    ) -> credentials.VerificationKey | None:
        """Return the key of a member, or ``None`` if it is not known."""
        configuration = self._machine.configuration
        if configuration.version > 0 and member != self._local_member:
            return configuration.find_key(member)
        return self._trusted.get(member)


def create_directory(
    member: identifiers.MemberId,
    trusted: typing.Mapping[identifiers.MemberId, credentials.VerificationKey],
    machine: machines.StateMachine,
) -> ReplicaDirectory:
    """Return the directory of a replica.

    :param member: member that runs the replica; its key is always taken from
        ``trusted``.
    :param trusted: keys by member.
    """
    return ReplicaDirectory(member, trusted, machine)
