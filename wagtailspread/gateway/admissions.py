"""Checks requests against one version of the routes and workspaces.

A request is admitted if a route matches it and, where the configuration has
workspaces, if it has the key of one or the route allows anonymous requests.
"""

import dataclasses
import typing

from wagtailspread.core import identifiers
from wagtailspread.entry import requests, web
from wagtailspread.gateway import headers, response_logs
from wagtailspread.routing import tables, terms
from wagtailspread.workspaces import keys

#: Header that carries the key of a workspace.
KEY_HEADER = 'Authorization'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why one version of the configuration forbids a request.

    :param routes: that version.
    :param route: that matches the request, if any.
    """

    routes: tables.RouteTable
    reason: response_logs.Reason
    route: terms.Route | None = None

    def describe(self) -> dict[str, typing.Any]:
        """Return the fields of a log line."""
        return {} if self.route is None else {'route': self.route.name}


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """How one version of the configuration serves a request.

    :param routes: that version.
    :param route: that matches the request.
    :param workspace: whose key the request carries, if any.
    """

    routes: tables.RouteTable
    route: terms.Route
    workspace: terms.Workspace | None

    def is_like(self, other: 'Admission | Rejection') -> bool:
        """Tell whether an upstream gets the same credentials by both."""
        if isinstance(other, Rejection):
            return False
        has_keys = bool(self.routes.workspaces)
        return (
            has_keys == bool(other.routes.workspaces)
            and self.workspace_name == other.workspace_name
        )

    @property
    def workspace_name(self) -> identifiers.WorkspaceName | None:
        """Name of the workspace, if there is one."""
        return None if self.workspace is None else self.workspace.name

    def copy_headers(
        self,
        request: web.BaseRequest,
        names: headers.HeaderNames,
    ) -> requests.Headers:
        """Return the headers of a request for an upstream.

        An upstream gets the name of the workspace in place of its key. Only
        the host may name a workspace, so that a caller's header never passes.
        """
        copied = requests.copy_headers(request.headers)
        copied.popall(names.workspace, None)
        if self.routes.workspaces:
            copied.popall(KEY_HEADER, None)
        if self.workspace is not None:
            copied[names.workspace] = self.workspace.name
        return copied


def admit(
    routes: tables.RouteTable,
    request: web.BaseRequest,
    default: terms.Route | None = None,
) -> Admission | Rejection:
    """Return whether and how a version serves a request.

    :param default: route of the request if the version has none for it.
    """
    path = request.raw_path.partition('?')[0]
    host = request.headers.get('Host', '')
    route = routes.match(host, path) or default
    if route is None:
        return Rejection(routes, response_logs.Reason.NO_ROUTE)
    workspace = _find_workspace(routes, request)
    if workspace is None and routes.workspaces and not route.allows_anonymous:
        return Rejection(routes, response_logs.Reason.UNKNOWN_KEY, route)
    return Admission(routes, route, workspace)


def renew(
    admission: Admission,
    routes: tables.RouteTable | None,
    request: web.BaseRequest,
) -> Admission | Rejection:
    """Return whether and how the active version serves an open request.

    Only its key may lead to a rejection. Without workspaces in either version
    the request keeps its route.
    """
    if routes is None or routes is admission.routes:
        return admission
    if not routes.workspaces and not admission.routes.workspaces:
        return admission
    return admit(routes, request, admission.route)


def _find_workspace(
    routes: tables.RouteTable,
    request: web.BaseRequest,
) -> terms.Workspace | None:
    if not routes.workspaces:
        return None
    digest = keys.read_digest(request.headers.getall(KEY_HEADER, ()))
    return None if digest is None else routes.workspaces.find(digest)
