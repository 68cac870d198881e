"""Route table: finds the route of a method and a path.

Among the routes that accept the method, the one with the longest matching
prefix of whole path segments is used. A lookup costs one dictionary access per
path segment, up to the longest configured prefix, independent of the number of
routes.
"""

import typing

from wagtailspread.configuration import schemas


class RouteTable:
    """Routes of one site. Use :func:`create_route_table`.

    :param routes: routes by normalised prefix and method.
    """

    def __init__(
        self,
        routes: dict[str, dict[str, schemas.RouteSettings]],
    ) -> None:
        """Compute the length of the longest prefix."""
        self._routes = routes
        self._max_prefix_length = max(map(len, routes), default=0)

    def match(self, method: str, path: str) -> schemas.RouteSettings | None:
        """Return the route for a request, or ``None`` if there is none.

        :param method: HTTP method in upper case.
        :param path: path without query, as the client sent it; it must not
            have dot segments.
        """
        for accepted in self._candidates(path):
            route = accepted.get(method)
            if route is not None:
                return route
        return None

    def allowed_methods(self, path: str) -> tuple[str, ...]:
        """Return all methods that routes accept for this path, sorted."""
        return tuple(
            sorted(
                {
                    method
                    for accepted in self._candidates(path)
                    for method in accepted
                },
            ),
        )

    def _candidates(
        self,
        path: str,
    ) -> typing.Iterator[dict[str, schemas.RouteSettings]]:
        prefix = normalise_prefix(path)
        if len(prefix) > self._max_prefix_length:
            # Truncates at a segment boundary; one more character shows
            # whether the longest prefix ends at a boundary.
            prefix = prefix[: self._max_prefix_length + 1].rpartition('/')[0]
        while True:
            accepted = self._routes.get(prefix)
            if accepted is not None:
                yield accepted
            if not prefix:
                return
            prefix = prefix.rpartition('/')[0]


def create_route_table(settings: schemas.Settings) -> RouteTable:
    """Return the route table of one site.

    >>> from wagtailspread.core import priorities
    >>> route = schemas.RouteSettings(
    ...     'columns', 'vitrina', '/columns', ('GET',),
    ...     priorities.Priority.URGENT, True)
    >>> table = create_route_table(schemas.Settings({}, (route,), {}, {}))
    >>> table.match('GET', '/columns/42').name
    'columns'
    >>> table.match('GET', '/columnists') is None
    True
    """
    routes: dict[str, dict[str, schemas.RouteSettings]] = {}
    for route in settings.routes:
        accepted = routes.setdefault(normalise_prefix(route.path_prefix), {})
        for method in route.methods:
            accepted[method] = route
    return RouteTable(routes)


def normalise_prefix(path: str) -> str:
    """Return the path without trailing slashes; the root becomes empty.

    >>> normalise_prefix('/columns/')
    '/columns'
    """
    return path.rstrip('/')
