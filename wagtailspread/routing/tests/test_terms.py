"""Tests of the validation of a configuration."""

import dataclasses

import pytest

from wagtailspread.routing import terms

_PART = terms.SplitPart('columns', 1.0)
_ROUTE = terms.Route(
    name='r1',
    host='a.example',
    prefix='/a/',
    kind=terms.RequestKind.SAFE,
    parts=(_PART,),
    max_attempts=2,
    timeout=5.0,
    objective=2.0,
)
_CASES = [
    ({'prefix': 'a/'}, terms.FaultKind.BARE_PREFIX),
    ({'max_attempts': 0}, terms.FaultKind.NO_ATTEMPTS),
    ({'timeout': 0.0}, terms.FaultKind.NO_TIMEOUT),
    ({'prefix': '/a/'}, terms.FaultKind.DUPLICATE_ROUTE),
    ({'prefix': '/a/', 'host': 'A.example'}, terms.FaultKind.DUPLICATE_ROUTE),
    ({'objective': 65.0}, terms.FaultKind.OBJECTIVE_BEYOND_TIMEOUT),
    (
        {'parts': (terms.SplitPart('unknown', 1.0),)},
        terms.FaultKind.UNKNOWN_SERVICE,
    ),
    (
        {'parts': (terms.SplitPart('columns', 0.0),)},
        terms.FaultKind.NO_WEIGHT,
    ),
    (
        {'parts': (_PART, terms.SplitPart('columns', -1.0))},
        terms.FaultKind.NEGATIVE_WEIGHT,
    ),
]


def find_fault(**changes):
    """Return the fault of a configuration with one changed route."""
    route = dataclasses.replace(_ROUTE, **{'prefix': '/b/', **changes})
    settings = terms.RoutingSettings(1, (_ROUTE, route), {'columns': 390})
    return terms.find_fault(settings)


@pytest.mark.parametrize(('changes', 'kind'), _CASES)
def test_an_invalid_route_is_found(changes, kind):
    """Guards against activating an invalid configuration."""
    assert find_fault(**changes).kind is kind


@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'objective': 64.9},
        {'timeout': None, 'objective': 500.0},
        {'parts': (_PART, terms.SplitPart('columns', 0.0))},
        {'prefix': '/'},
        {'prefix': '/a/', 'host': 'b.example'},
    ],
)
def test_a_valid_route_is_accepted(changes):
    """Guards against rejecting a valid configuration."""
    assert find_fault(**changes) is None
