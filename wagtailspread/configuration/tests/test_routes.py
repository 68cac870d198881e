"""Route matching, compared with a linear search."""

import hypothesis

from hypothesis import strategies as st

from wagtailspread.configuration import routes, schemas
from wagtailspread.core import priorities

METHODS = ('GET', 'POST')
SEGMENTS = st.lists(st.sampled_from(['a', 'aa', 'b', '']), max_size=4)
PATHS = SEGMENTS.map(lambda segments: '/'.join(('', *segments)))
ROUTES = st.dictionaries(
    PATHS.map(routes.normalise_prefix),
    st.sampled_from([('GET',), ('POST',), METHODS]),
    max_size=6,
)


def create_settings(prefixes):
    """Return settings with a route for each prefix."""
    return schemas.Settings(
        services={},
        routes=tuple(
            schemas.RouteSettings(
                name=prefix or '/',
                service='vitrina',
                path_prefix=prefix or '/',
                methods=methods,
                priority=priorities.Priority.URGENT,
                is_idempotent=True,
            )
            for prefix, methods in prefixes.items()
        ),
        regions={},
        members={},
    )


def match_naively(prefixes, method, path):
    """Return the longest prefix of whole segments with the method."""
    stripped = path.rstrip('/')
    matching = [
        prefix
        for prefix, methods in prefixes.items()
        if method in methods
        and (stripped == prefix or stripped.startswith(f'{prefix}/'))
    ]
    return max(matching, key=len) if matching else None


@hypothesis.given(ROUTES, PATHS)
@hypothesis.example({'/a': ('GET',)}, '/aa')
@hypothesis.example({'/a': ('GET',)}, '/a/b')
def test_longest_prefix_of_segments(prefixes, path):
    """Guards against a request that is routed to the wrong service."""
    table = routes.create_route_table(create_settings(prefixes))
    expected = {
        method: match_naively(prefixes, method, path) for method in METHODS
    }
    for method, prefix in expected.items():
        route = table.match(method, path)
        assert (route and route.name) == (
            None if prefix is None else prefix or '/'
        )
    allowed = [method for method in METHODS if expected[method] is not None]
    assert list(table.allowed_methods(path)) == allowed


def test_longer_prefix_of_another_method_does_not_hide_a_route():
    """Guards against a GET refused because a POST has a longer prefix."""
    prefixes = {'/orders': ('GET',), '/orders/new': ('POST',)}
    table = routes.create_route_table(create_settings(prefixes))
    assert table.match('GET', '/orders/new').name == '/orders'
    assert table.match('PUT', '/orders/new') is None
