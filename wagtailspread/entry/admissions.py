"""Checks the keys of requests against the active workspaces.

Where the configuration has workspaces, a request needs the key of one. An
upstream gets the name of the workspace in place of the key.
"""

import dataclasses
import typing

from wagtailspread.core import identifiers, outcomes, priorities
from wagtailspread.entry import lookups
from wagtailspread.routing import terms
from wagtailspread.workspaces import directories, keys

#: Request header that carries the key of a workspace.
KEY_HEADER = 'Authorization'


@dataclasses.dataclass(slots=True)
class Admission:
    """How one version of the workspaces admits a request.

    Not frozen: a frozen data class takes three times as long to create.

    :param routing: of the host, which always has the active workspaces.
    :param directory: the workspaces that admitted the request.
    :param digest: of the key that the request carries, if any.
    :param workspace: of that key; ``None`` if there are no workspaces.
    """

    routing: lookups.Routing
    directory: directories.WorkspaceDirectory
    digest: keys.KeyDigest | None
    workspace: terms.Workspace | None

    @property
    def workspace_name(self) -> identifiers.WorkspaceName | None:
        """Name of the workspace, if there is one."""
        return None if self.workspace is None else self.workspace.name

    def find_refusal(self) -> outcomes.RefusalReason | None:
        """Return why the active version forbids to send the request.

        The headers for the upstream were written by the admitting version. A
        request that had no workspace then would bring its key to the upstream.
        """
        active = self.routing.workspaces
        if active is self.directory or not active:
            return None
        found = None if self.digest is None else active.find(self.digest)
        if found is None:
            return outcomes.RefusalReason.UNKNOWN_KEY
        if found.name != self.workspace_name:
            return outcomes.RefusalReason.WORKSPACE_CHANGED
        return None

    def is_valid(self) -> bool:
        """Return whether the active version allows to send the request."""
        return self.find_refusal() is None

    def choose_priority(self, route: lookups.Route) -> priorities.Priority:
        """Return the priority of the workspace, or else that of the route."""
        if self.workspace is None or self.workspace.priority is None:
            return route.priority
        return priorities.Priority(self.workspace.priority)

    def replace_key(self, headers: typing.Any) -> None:
        """Replace the key in a copy of the headers by the workspace.

        Only the host may name a workspace, so a caller's header never passes.
        """
        if self.workspace is None:
            return
        headers.popall(KEY_HEADER, None)
        headers[outcomes.WORKSPACE_HEADER] = self.workspace.name


def admit(routing: lookups.Routing, headers: typing.Any) -> Admission | None:
    """Return the admission of a request, ``None`` if it has no known key.

    :param headers: a case-insensitive multidict.
    """
    directory = routing.workspaces
    digest = None
    if KEY_HEADER in headers:
        digest = keys.read_digest(headers.getall(KEY_HEADER))
    if not directory:
        return Admission(routing, directory, digest, None)
    workspace = None if digest is None else directory.find(digest)
    if workspace is None:
        return None
    return Admission(routing, directory, digest, workspace)
