"""Which services the configuration of a replica names."""

import typing

from wagtailspread.configuration import documents
from wagtailspread.core import identifiers
from wagtailspread.registry import groups


class ServiceReader(typing.Protocol):
    """Parses the configuration document of the platform."""

    def __call__(
        self, body: bytes
    ) -> frozenset[identifiers.ServiceName] | None:
        """Return the services that it names, ``None`` if it is invalid."""


def read_no_services(body: bytes) -> None:
    """Return ``None``: the services of the configuration are not known."""


class ServiceWatch:
    """Reads the services of each new configuration once."""

    def __init__(self, read_services: ServiceReader) -> None:
        """Start before the first configuration."""
        self._read_services = read_services
        self._version = documents.NO_VERSION

    def find_change(
        self, group: groups.ReplicaGroup | None
    ) -> frozenset[identifiers.ServiceName] | None:
        """Return the services of a new configuration, ``None`` if none is."""
        if group is None:
            return None
        document = group.read_document()
        if document.version == self._version:
            return None
        self._version = document.version
        return self._read_services(document.body)
