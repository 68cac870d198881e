"""Test helper: an allocator with upstreams and a manual clock."""

import random

from wagtailspread.placement import allocators, budgets, messages, selection
from wagtailspread.registry import records, tables

_REGIONS = {'north': 'r1', 'south': 'r1', 'far': 'r2'}


class Region:
    """An allocator with upstreams and a manual clock."""

    def __init__(self, upstreams=4, slots=2, domain='north', ratio=10.0):
        """Create upstreams that are ready, without evidence."""
        rows = [create_record(f'u{n}', domain, slots) for n in range(upstreams)]
        self.selector = selection.create_selector(
            tables.create_table(rows),
            _REGIONS,
            random.Random(1),
        )
        self.allocator = allocators.create_allocator(
            self.selector,
            budgets.SharedRetryBudget(ratio, 0.0, 10.0, lambda: 1),
        )
        self.now = 0.0
        self.numbers = iter(range(1_000_000))

    def submit(self, **changes):
        """Submit a request; return its id and the answer."""
        request = self.create_request(**changes)
        return request.request_id, self.allocator.submit(request, self.now)

    def create_request(self, **changes):
        """Return a placement request with the given field values."""
        fields = {
            'request_id': f'q{next(self.numbers)}',
            'host': 'h1',
            'domain': 'north',
            'service': 'columns',
            'deadline': self.now + 5,
            'objective': 2.0,
            **changes,
        }
        return messages.PlacementRequest(**fields)

    def settle(self, request_id, answer, evidence=messages.Evidence.GOOD):
        """Settle a request with a duration of 0.5 s."""
        upstream = answer.record.upstream
        self.allocator.settle(request_id, upstream, evidence, 0.5, self.now)


def create_record(upstream, domain='north', slots=2, service='columns'):
    """Return the record of an upstream that is ready."""
    return records.UpstreamRecord(
        upstream=upstream,
        service=service,
        address=f'10.0.0.1:{upstream}',
        domain=domain,
        slots=slots,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )
