"""Tests of the settings of caps."""

import pytest

from wagtailspread.platform import processes
from wagtailspread.platform.tests import test_settings


@pytest.mark.parametrize(
    ('bounds', 'expected'),
    [
        ([], (5.0, 0.1, 20.0)),
        (
            ['quotaWindow=10s', 'quotaOverage=0.25', 'quotaSlack=7'],
            (10.0, 0.25, 7.0),
        ),
    ],
)
def test_the_limits_of_caps_come_from_the_bounds(bounds, expected):
    """Guards against bounds of the platform that are not read."""
    boot = test_settings.decode(bounds=bounds)
    limits = processes.create_cap_limits(boot)
    assert (limits.window, limits.overage, limits.slack) == expected
