"""Protocols of the active configuration that the request path reads.

:mod:`wagtailspread.processes.entries` injects the real components; tests
inject simple ones.
"""

import typing

from wagtailspread.core import identifiers, priorities
from wagtailspread.workspaces import directories


class Route(typing.Protocol):
    """A configured route."""

    @property
    def name(self) -> str:
        """Return the section name of the route."""

    @property
    def service(self) -> identifiers.ServiceName:
        """Return the service that receives its requests."""

    @property
    def priority(self) -> priorities.Priority:
        """Return the priority of its requests."""

    @property
    def is_idempotent(self) -> bool:
        """Return whether its requests may be executed more than once."""


class ServiceLimits(typing.Protocol):
    """Settings of a service that the request path reads."""

    @property
    def deadline(self) -> float:
        """Return the default time limit of a request, in seconds."""

    @property
    def max_body(self) -> int:
        """Return the maximum size of a request body, in bytes."""


class Routing(typing.Protocol):
    """Routes, services and workspaces of the active configuration."""

    @property
    def workspaces(self) -> directories.WorkspaceDirectory:
        """Return the workspaces; if there are any, requests need a key."""

    def match(self, method: str, path: str) -> Route | None:
        """Return the route that matches a request, ``None`` if none does."""

    def find_service(
        self,
        service: identifiers.ServiceName,
    ) -> ServiceLimits | None:
        """Return the limits of a service, ``None`` if it is unknown."""
