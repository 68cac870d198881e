"""Tests of decisions that are resent, withdrawn or replaced."""

import dataclasses

import pytest

from wagtailspread.allocation import coordination
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes


def make_coordinator(slots):
    """Return an allocator with one upstream and a large retry budget."""
    coordinator = builders.make_coordinator(retry_share=1.0)
    builders.announce_all(coordinator, 1, slots=slots)
    return coordinator


def test_grant_of_a_returned_lease_is_not_resent():
    """Guards against a late duplicate that reopens a returned lease."""
    coordinator = make_coordinator(2)
    request = builders.make_request()
    coordinator.submit(request, 0.0)
    grants = builders.list_grants(coordinator.tick(0.0))
    builders.complete_all(coordinator, grants, 0.1)
    coordinator.submit(request, 0.2)
    assert not coordinator.tick(0.2)


def test_higher_attempt_replaces_a_grant_that_was_not_sent():
    """Guards against a slot held for an abandoned attempt."""
    coordinator = make_coordinator(2)
    request = builders.make_request()
    coordinator.submit(request, 0.0)
    retry = dataclasses.replace(request, attempt=2)
    coordinator.submit(retry, 0.0)
    decisions = builders.list_grants(coordinator.tick(0.0))
    assert len(coordinator.leases.leases) == len(decisions) == 1


def test_higher_attempt_replaces_a_waiting_one():
    """Guards against a retry that is ignored while an attempt waits."""
    coordinator = make_coordinator(1)
    first = builders.list_grants(builders.submit_all(coordinator, 1))
    request = builders.make_request()
    coordinator.submit(request, 0.0)
    retry = dataclasses.replace(request, attempt=2, deadline=5.0)
    coordinator.submit(retry, 0.0)
    builders.complete_all(coordinator, first, 0.1)
    grants = builders.list_grants(coordinator.tick(0.1))
    assert [grant.expires for grant in grants] == [6.0]


def test_repeated_pass_to_an_unknown_request_counts_once():
    """Guards against evidence that is recorded twice."""
    coordinator = make_coordinator(1)
    grants = builders.list_grants(builders.submit_all(coordinator, 1))
    completion = coordination.Completion(
        grants[0].lease,
        outcomes.ExchangeResult.SUCCESS,
        0.1,
        'r-unknown',
    )
    for now in (0.1, 0.2):
        coordinator.complete(completion, now)
    granted_at = coordinator.leases.leases[grants[0].lease].granted_at
    assert granted_at == pytest.approx(0.1)
