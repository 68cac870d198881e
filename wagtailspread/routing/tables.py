"""Finds the route of a request and the service of a split route.

>>> from wagtailspread.routing import terms
>>> part = terms.SplitPart('vitrina', 1.0)
>>> routes = [
...     terms.RouteTerms(name, 'a.example', prefix, terms.RequestKind.SAFE,
...                      (part,), 2)
...     for name, prefix in (('short', '/a/'), ('long', '/a/b/'))]
>>> settings = terms.RoutingSettings(1, tuple(routes), {'vitrina': 390})
>>> table = RouteTable(settings)
>>> table.match('A.example:80', '/a/b/c').name, table.match('a.example', '/b/')
('long', None)
"""

import math
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.routing import terms

#: Fractional part of the golden ratio.
_GOLDEN_RATIO = 0.6180339887498949


class RouteTable:
    """The routes of one version of the configuration.

    :param settings: the version in force.
    """

    def __init__(self, settings: terms.RoutingSettings) -> None:
        """Index the routes by host and prefix."""
        self.settings = settings
        self._hosts: dict[str, dict[str, terms.Route]] = {}
        for route in settings.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def match(self, host: str, path: str) -> terms.Route | None:
        """Return the route with the longest prefix of the path.

        The time does not depend on the number of routes, only on the number
        of segments of the path.

        :param host: of the request, with or without a port.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
        return None


class SplitCounter:
    """Spreads the requests of split routes by weight.

    The points of each route are spaced by the golden ratio, so the shares
    hold over few requests; the random start keeps many hosts from beginning
    with the same part.

    References: H. Niederreiter, Random Number Generation and Quasi-Monte
    Carlo Methods, 1992, on Kronecker sequences.
    """

    def __init__(self, random: random_module.Random) -> None:
        """Start without routes."""
        self._random = random
        self._points: dict[str, float] = {}

    def choose(self, route: terms.Route) -> identifiers.ServiceName:
        """Return the service of the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        point = self._points.get(route.name)
        if point is None:
            point = self._random.random()
        point, _ = math.modf(point + _GOLDEN_RATIO)
        self._points[route.name] = point
        left = point * sum(part.weight for part in route.parts)
        chosen = route.parts[0]
        for part in route.parts:
            if part.weight > 0:
                chosen = part
            left -= part.weight
            if left < 0:
                break
        return chosen.service
