"""Matches requests to routes and splits routes between services.

>>> from wagtailspread.routing import terms
>>> part = terms.SplitPart('vitrina', 1.0)
>>> routes = [
...     terms.Route(name, 'a.example', prefix, terms.RequestKind.SAFE,
...                      (part,), 2)
...     for name, prefix in (('short', '/a/'), ('long', '/a/b/'))]
>>> settings = terms.RoutingSettings(1, tuple(routes), {'vitrina': 390})
>>> table = RouteTable(settings)
>>> table.match('A.example:80', '/a/b/c').name, table.match('a.example', '/b/')
('long', None)
"""

import dataclasses
import math
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.routing import terms
from wagtailspread.workspaces import directories

#: Fractional part of the golden ratio.
_GOLDEN_RATIO = 0.6180339887498949


class RouteTable:
    """The routes of one version of the configuration.

    :param settings: the active version without its workspaces, which take
        more memory than their index.
    :param workspaces: index of the workspaces by key.
    """

    def __init__(self, settings: terms.RoutingSettings) -> None:
        """Index the routes by host and path prefix, and the workspaces."""
        self.workspaces = directories.create_directory(
            settings.workspaces, settings.version
        )
        self.settings = dataclasses.replace(settings, workspaces=())
        self._hosts: dict[str, dict[str, terms.Route]] = {}
        for route in settings.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def match(self, host: str, path: str) -> terms.Route | None:
        """Return the route with the longest matching prefix, if there is one.

        The running time depends on the number of path segments, not on the
        number of routes.

        :param host: host of the request, with or without a port.
        :param path: path of the request.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class SplitCounter:
    """Distributes the requests of split routes by weight.

    The points of each route are spaced by the golden ratio (a low-discrepancy
    sequence), so the shares are accurate over few requests. The random start
    prevents many hosts from starting with the same service.

    References: H. Niederreiter, Random Number Generation and Quasi-Monte
    Carlo Methods, 1992, on Kronecker sequences.
    """

    def __init__(self, random: random_module.Random) -> None:
        """Create a counter without routes."""
        self._random = random
        self._points: dict[str, float] = {}

    def choose(self, route: terms.Route) -> identifiers.ServiceName:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        point = self._points.get(route.name)
        if point is None:
            point = self._random.random()
        point, _ = math.modf(point + _GOLDEN_RATIO)
        self._points[route.name] = point
        remaining = point * sum(part.weight for part in route.parts)
        chosen = route.parts[0]
        for part in route.parts:
            if part.weight > 0:
                chosen = part
            remaining -= part.weight
            if remaining < 0:
                break
        return chosen.service
