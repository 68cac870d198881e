"""Tests of route matching and of weighted splits."""

import collections
import random

from wagtailspread.routing import tables, terms


def create_route(*weights, prefix='/a/'):
    """Return a route to services named by index."""
    parts = tuple(
        terms.SplitPart(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    kind = terms.RequestKind.SAFE
    return terms.Route('r1', 'a.example', prefix, kind, parts, 2)


def count_shares(route, hosts, requests):
    """Return the share of each service over many hosts."""
    counted = collections.Counter()
    for seed in range(hosts):
        counter = tables.SplitCounter(random.Random(seed))
        counted.update(counter.choose(route) for _ in range(requests))
    total = hosts * requests
    return {service: count / total for service, count in counted.items()}


def test_shares_hold_over_few_requests_of_many_hosts():
    """Guards against hosts that all start with the same service."""
    shares = count_shares(create_route(90, 10), hosts=44, requests=10)
    assert abs(shares['s1'] - 0.1) < 0.05


def test_a_part_without_weight_gets_no_requests():
    """Guards against sending requests to a service with weight 0."""
    shares = count_shares(create_route(0, 1, 0), hosts=200, requests=20)
    assert shares == {'s1': 1.0}


def test_the_root_prefix_matches_every_path():
    """Guards against a search that stops before the shortest prefix."""
    settings = terms.RoutingSettings(1, (create_route(1, prefix='/'),), {})
    table = tables.RouteTable(settings)
    assert table.match('a.example', '/x/y') is not None
    assert table.match('b.example', '/x/y') is None


def test_a_prefix_matches_whole_segments_only():
    """Guards against a route that matches paths of a longer segment."""
    settings = terms.RoutingSettings(1, (create_route(1, prefix='/ab/'),), {})
    table = tables.RouteTable(settings)
    assert table.match('a.example', '/abc/d') is None
    assert table.match('a.example', '/ab/') is not None
