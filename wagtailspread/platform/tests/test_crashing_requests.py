"""A request that crashes upstreams, with real processes in two regions."""

import pytest

from wagtailspread.platform.tests import crashing_fleets

#: Number of upstreams that the platform allows to be lost later.
ALLOWED = 3


@pytest.mark.parametrize('has_restarts', [False, True])
async def test_a_known_request_crashes_no_more_upstreams(
    tmp_path, has_restarts
):
    """Guards against a crashing request that comes from many addresses.

    Its copies come to all hosts at once, and may be repeated.
    """
    block = 51 if has_restarts else 50
    later = await crashing_fleets.count_later_crashes(
        tmp_path, block, has_restarts=has_restarts
    )
    assert later <= ALLOWED
