"""Builders of messages and allocators for the tests of this package."""

import itertools
import random

from wagtailspread.allocation import coordination
from wagtailspread.core import identifiers, outcomes, priorities

URGENT = priorities.Priority.URGENT
STANDARD = priorities.Priority.STANDARD
BULK = priorities.Priority.BULK
SUCCESS = outcomes.ExchangeResult.SUCCESS

_numbers = itertools.count()


def make_coordinator(judge=None, **limits):
    """Return an allocator with a fixed random seed."""
    return coordination.create_coordinator(
        coordination.AllocationPolicy(**limits),
        judge or coordination.AcceptingJudge(),
        random.Random(7),
    )


def make_request(number=None, priority=STANDARD, **fields):
    """Return a request with a deadline at 1 s."""
    fields.setdefault('host', identifiers.HostId('h1'))
    fields.setdefault('domain', identifiers.FailureDomain('d0'))
    fields.setdefault('deadline', 1.0)
    name = f'r{next(_numbers) if number is None else number}'
    return coordination.SlotRequest(name, priority=priority, **fields)


def make_announcement(number=0, slots=6, domain='d0', **fields):
    """Return an announcement of the upstream with this number."""
    return coordination.Announcement(
        service='vitrina',
        upstream=identifiers.UpstreamId(f'u{number}'),
        address=identifiers.Address(f'127.0.0.1:{number}'),
        region='centro',
        domain=identifiers.FailureDomain(domain),
        slots=slots,
        connections=100,
        **fields,
    )


def announce_all(coordinator, count, now=0.0, **fields):
    """Announce upstreams ``u0`` to ``u(count - 1)``."""
    for number in range(count):
        coordinator.announce(make_announcement(number, **fields), now)


def submit_all(coordinator, count, now=0.0, **fields):
    """Submit new requests and return the decisions of the next tick."""
    for _ in range(count):
        coordinator.submit(make_request(**fields), now)
    return coordinator.tick(now)


def list_grants(decisions):
    """Return the grants among the decisions."""
    return [
        decision
        for decision in decisions
        if isinstance(decision, coordination.Grant)
    ]


def list_reasons(decisions):
    """Return the reasons of the refusals among the decisions."""
    return [
        decision.reason
        for decision in decisions
        if not isinstance(decision, coordination.Grant)
    ]


def complete_all(coordinator, grants, now, result=SUCCESS, seconds=0.05):
    """Complete the requests of the grants, which closes their leases."""
    for grant in grants:
        completion = coordination.Completion(grant.lease, result, seconds)
        coordinator.complete(completion, now)
