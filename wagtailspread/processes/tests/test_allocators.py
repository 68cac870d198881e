"""Tests that allocators apply changes of configuration and membership."""

import random

from wagtailspread.allocation import messages
from wagtailspread.configuration import deltas
from wagtailspread.core import clocks, identifiers, priorities
from wagtailspread.membership import agents, tables
from wagtailspread.observability import metrics
from wagtailspread.processes import allocators
from wagtailspread.processes.tests import test_copies

REGION = identifiers.RegionName('centro-andes')
SERVICE = identifiers.ServiceName('vitrina')


def create_agent():
    row = tables.HostRow('h0', '127.0.0.1:1', REGION, 'andes-bog', 1, 'm')
    return agents.create_agent(
        row,
        [],
        agents.MembershipPolicy(),
        random.Random(1),
    )


def create_factory():
    copy = test_copies.create_copy()
    first, *later = test_copies.create_deltas()
    copy.apply(first)
    factory = allocators.AllocatorFactory(
        copy,
        REGION,
        create_agent(),
        metrics.create_metrics('h0'),
        clocks.ManualClock(10.0),
    )
    copy.listeners.append(lambda _settings: factory.refresh())
    return copy, factory, later


def test_accepted_change_reaches_a_running_allocator():
    """Guards against new limits that a host applies only after a restart."""
    copy, factory, later = create_factory()
    coordinator, _ = factory.create(SERVICE)
    assert round(coordinator.policy.floor * 100) == 50
    copy.apply(later[0])
    assert round(coordinator.policy.floor * 100) == 60


def test_majority_counts_hosts_beyond_the_configured_number():
    """Guards against two majorities if more hosts run than configured."""
    _, factory, _ = create_factory()
    agent = factory._agent
    _, judge = factory.create(SERVICE)
    for number in range(1, 5):
        host = f'h{number}'
        agent._view.apply(
            tables.HostRow(host, host, REGION, 'andes-bog', 1, 'm'),
            0.0,
        )
    factory.refresh()
    for host in ('h0', 'h1'):
        judge.record_vote(host, 10.0)
    assert not judge.authority.holds_votes(10.0)
    judge.record_vote('h2', 10.0)
    assert judge.authority.holds_votes(10.0)


def test_new_owner_grants_nothing_before_leases_are_adopted():
    """Guards against granting slots that leases of an earlier owner use."""
    _, factory, _ = create_factory()
    coordinator, _ = factory.create(SERVICE)
    coordinator.announce(
        messages.Announcement(
            SERVICE, 'u0', '127.0.0.1:2', REGION, 'andes-bog', 1, 9
        ),
        10.0,
    )
    request = messages.SlotRequest(
        'r1', 'h1', 'andes-bog', priorities.Priority.URGENT, 12.0
    )
    coordinator.submit(request, 10.0)
    assert not coordinator.tick(10.1)
    coordinator.adopt(messages.AdoptedLease(5, 'h2', 'u0', 11.0), 10.1)
    assert not coordinator.tick(10.0 + allocators.ADOPTION_SECONDS)
    assert [grant.upstream for grant in coordinator.tick(11.1)] == ['u0']


def test_half_of_the_hosts_is_enough_with_the_configured_tie_breaker():
    """Guards against a stop of ejections after the loss of one of two domains.

    Without a tie breaker, half of the hosts are no majority.
    """
    copy, factory, _ = create_factory()
    _, judge = factory.create(SERVICE)
    judge.record_vote('h0', 10.0)
    assert not judge.authority.holds_votes(10.0)
    texts = {
        'base.ini': test_copies.create_base(50).replace(
            'hosts = 2',
            'hosts = 2\ntie_breaker = h0',
        ),
    }
    copy.apply(deltas.create_full(texts, 2)).unwrap()
    judge.record_vote('h0', 10.1)
    assert judge.authority.holds_votes(10.1)
