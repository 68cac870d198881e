"""What the registry of a replica needs to know of the replica group."""

import typing

from wagtailspread.configuration import documents
from wagtailspread.core import identifiers


class ReplicaGroup(typing.Protocol):
    """State of the replica group that the registry depends on."""

    def list_replicas(self) -> list[identifiers.Address]:
        """Return the addresses of all replicas, including this one."""

    def has_quorum(self) -> bool:
        """Tell whether this replica is connected to a majority."""

    def is_up_to_date(self) -> bool:
        """Tell whether this replica has applied the latest commits."""

    def is_majority(self, others: typing.Iterable[identifiers.Address]) -> bool:
        """Tell whether this replica and others are a majority of the voters.

        Nothing is a majority for a replica that does not know the membership.
        """

    def read_document(self) -> documents.VersionedDocument:
        """Return the newest document that this replica has applied."""
