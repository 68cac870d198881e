"""Tests of the upstreams that stay in use, with the loads that need it."""

import collections

from wagtailspread.placement import messages
from wagtailspread.placement.tests import regions


def test_most_upstreams_stay_in_use_while_many_requests_fail():
    """Guards against idle upstreams beside requests that are not served.

    Load pattern: upstreams are released one after the other and answers are
    lost, so that a quarter of the requests fails; the doubts leave most of the
    upstreams unused although some of them would serve.
    """
    region = regions.Region(upstreams=11, slots=6)
    for number in range(11):
        for _ in range(3 if number > 3 else 0):
            region.selector.shared.add_failures(f'u{number}', 0.0)
    used = collections.deque()
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit()
        used.append((region.now, answer.record.upstream))
        evidence = messages.Evidence.GOOD
        if step % 4 == 0:
            evidence = messages.Evidence.BAD
        region.settle(request, answer, evidence)
        while used[0][0] < region.now - 2.0:
            used.popleft()
        if region.now > 3:
            assert len({upstream for _, upstream in used}) >= 0.7 * 11


def test_most_upstreams_are_in_use_before_many_requests_fail():
    """Guards against a floor that is only kept once requests have failed.

    Load pattern: single ordinary errors have put most upstreams in doubt, the
    rest carries all work with ease, and then every host loses power at once.
    """
    region = regions.Region(upstreams=10, slots=6)
    for number in range(10):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    for number in range(3, 10):
        region.selector.shared.add_failures(f'u{number}', 0.0)
    used = collections.deque()
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit()
        used.append((region.now, answer.record.upstream))
        region.settle(request, answer)
        while used[0][0] < region.now - 2.0:
            used.popleft()
        if region.now > 5:
            assert len({upstream for _, upstream in used}) >= 0.7 * 10


def test_uploads_do_not_cross_for_the_floor():
    """Guards against large bodies between failure domains for a test.

    Load pattern: uploads of one failure domain, and upstreams of another one
    that were in doubt and get nothing.
    """
    region = regions.Region(upstreams=2, slots=6)
    for away in ('away1', 'away2'):
        region.selector.registry.merge(
            regions.create_record(away, 'south', 6), 0.0
        )
        region.selector.shared.add_successes(away, 30, 15.0, 0.0)
        region.selector.shared.add_failures(away, 0.0)
    for number in range(2):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit(size=60_000)
        assert answer.record.domain == 'north'
        region.settle(request, answer)


def test_what_is_known_of_departed_upstreams_is_dropped():
    """Guards against memory that grows with each release of a service."""
    region = regions.Region(upstreams=2)
    floor = region.allocator.floor
    request, answer = region.submit()
    region.settle(request, answer, messages.Evidence.BAD)
    floor.keep({})
    assert not floor._used
    assert not floor._failed


def test_a_region_without_failures_keeps_its_part_of_the_floor():
    """Guards against idle upstreams of a service that fails elsewhere."""
    region = regions.Region(upstreams=10, slots=6)
    for number in range(2, 10):
        for _ in range(3):
            region.selector.shared.add_failures(f'u{number}', 0.0)
    region.allocator.floor.note_strained({'columns'})
    used = set()
    for step in range(30):
        region.now = step * 0.05
        request, answer = region.submit()
        used.add(answer.record.upstream)
        region.settle(request, answer)
    assert len(used) >= 7


def test_requests_for_the_floor_do_not_keep_a_service_strained():
    """Guards against a floor that causes the failures which it answers.

    Load pattern: half of the upstreams turns gray, and a few requests are lost
    at once. The floor then sent orders to gray ones every 1.4 s, these failed,
    and so the service stayed strained until the end of the day.
    """
    region = regions.Region(upstreams=12, slots=6)
    gray = {'u0', 'u1', 'u2', 'u3', 'u4', 'u5'}
    lost = 0
    for step in range(400):
        region.now = step * 0.05
        request, answer = region.submit()
        evidence = messages.Evidence.GOOD
        if answer.record.upstream in gray:
            evidence = messages.Evidence.BAD
            lost += 1
        region.settle(request, answer, evidence)
    assert lost <= 3 * len(gray)


def test_a_failed_request_that_is_sent_again_does_not_strain_its_service():
    """Guards against orders to doubtful upstreams for what is served after all.

    Load pattern: look-ups try doubtful upstreams first and are repeated.
    """
    region = regions.Region(upstreams=12, slots=6)
    for step in range(30):
        region.now = step * 0.05
        request, answer = region.submit(is_repeatable=True)
        region.settle(request, answer, messages.Evidence.BAD)
        request, answer = region.submit(is_repeat=True)
        region.settle(request, answer)
    assert not region.allocator.floor.list_strained(region.now)


def test_doubtful_upstreams_are_left_alone_while_requests_succeed():
    """Guards against losing requests for the sake of the floor alone."""
    region = regions.Region(upstreams=11, slots=6)
    for number in range(4, 11):
        for _ in range(3):
            region.selector.shared.add_failures(f'u{number}', 0.0)
    for step in range(40):
        region.now = step * 0.05
        request, answer = region.submit()
        assert answer.record.upstream in {'u0', 'u1', 'u2', 'u3'}
        region.settle(request, answer)
