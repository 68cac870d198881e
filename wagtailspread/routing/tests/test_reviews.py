"""Tests of findings in valid configurations."""

import dataclasses

import pytest

from wagtailspread.core import identifiers
from wagtailspread.routing import reviews, terms
from wagtailspread.workspaces import caps, keys

_SERVICE = identifiers.ServiceName('columns')
_ROUTE = terms.Route(
    'r1',
    'a.example',
    '/a/',
    terms.RequestKind.UPLOAD,
    (terms.SplitPart('columns', 1.0),),
    2,
    timeout=8.0,
    objective=2.0,
)
_WORKSPACE = terms.Workspace(
    'w1', (keys.compute_digest('k1'),), None, caps.Cap(2.0, 4.0, 1)
)
_SETTINGS = terms.RoutingSettings(
    1, (_ROUTE,), {_SERVICE: 9}, workspaces=(_WORKSPACE,)
)


def change_services(**connections):
    """Return the settings with other services."""
    return dataclasses.replace(_SETTINGS, connections=connections)


def change_route(**changes):
    """Return the settings with a changed route."""
    route = dataclasses.replace(_ROUTE, **changes)
    return dataclasses.replace(_SETTINGS, routes=(route,))


def change_workspace(**changes):
    """Return the settings with a changed workspace."""
    workspace = dataclasses.replace(_WORKSPACE, **changes)
    return dataclasses.replace(_SETTINGS, workspaces=(workspace,))


def test_usual_settings_have_no_warnings():
    """Guards against warnings that operators learn to ignore."""
    assert terms.find_fault(_SETTINGS) is None
    assert not reviews.list_warnings(_SETTINGS)


@pytest.mark.parametrize(
    ('settings', 'kind'),
    [
        (change_route(prefix='/a'), 'never-matches'),
        (change_route(host='a.example:80'), 'odd-host'),
        (
            change_route(
                parts=(
                    terms.SplitPart('columns', 1.0),
                    terms.SplitPart('columns', 0.0),
                )
            ),
            'unused-part',
        ),
        (change_route(objective=9.0), 'objective-after-timeout'),
        (change_route(timeout=2.5), 'head-after-timeout'),
        (change_services(columns=9, other=1), 'unused-service'),
        (change_services(columns=0), 'no-connections'),
        (
            dataclasses.replace(
                _SETTINGS, limits=terms.CallerLimits(body_bytes=0)
            ),
            'no-body',
        ),
        (change_workspace(digests=()), 'no-keys'),
        (change_workspace(cap=caps.Cap(0.0, 4.0)), 'burst-without-rate'),
        (change_workspace(cap=caps.Cap(2.0, 0.5)), 'no-burst'),
        (
            dataclasses.replace(
                change_route(allows_anonymous=True), workspaces=()
            ),
            'anonymous-without-workspaces',
        ),
    ],
)
def test_entries_without_effect_are_found(settings, kind):
    """Guards against a mistake that shows only when requests fail."""
    assert terms.find_fault(settings) is None
    assert [one.kind.value for one in reviews.list_warnings(settings)] == [kind]


def test_differences_are_told_without_keys():
    """Guards against changes that are overlooked, and against shown keys."""
    after = dataclasses.replace(
        change_workspace(digests=(keys.compute_digest('k2'),)),
        routes=(
            dataclasses.replace(_ROUTE, timeout=9.0),
            dataclasses.replace(_ROUTE, name='r2', prefix='/b/'),
        ),
    )
    found = reviews.compare(_SETTINGS, after)
    described = '\n'.join(one.describe() for one in found)
    assert 'route r1: timeout: 8.0 -> 9.0' in described
    assert 'route r2: prefix: (none) -> /b/' in described
    assert 'workspace w1: keys: 1 (' in described
    assert keys.compute_digest('k2').hex()[:8] not in described
    assert not reviews.compare(after, after)
