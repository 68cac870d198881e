"""Tests of invalid, forged, repeated and excessive announcements."""

import json

import pytest

from wagtailspread.core import clocks
from wagtailspread.entry import announcements, rows, slots
from wagtailspread.entry.tests import fleets, test_exchanges
from wagtailspread.testing import stand_ins

FIELDS = {
    'service': fleets.SERVICE,
    'id': 'u1',
    'address': '10.0.0.1:80',
    'region': fleets.REGION,
    'domain': fleets.DOMAIN,
    'slots': 6,
    'connections': 400,
    'state': 'ready',
    'incarnation': 5,
}


class Sink:
    """Records forwarded announcements."""

    def __init__(self):
        self.taken = []

    def announce(self, announcement):
        self.taken.append(announcement)


def create_gate():
    clock = clocks.ManualClock(100)
    sink = Sink()
    routing = stand_ins.FixedRouting(fleets.ROUTES)
    gate = announcements.AnnouncementReceiver(routing, sink, clock)
    return gate, sink, clock


def receive(gate, **changes):
    fault = gate.receive(json.dumps({**FIELDS, **changes}).encode())
    return None if fault is None else fault.status


@pytest.mark.parametrize(
    ('status', 'changes'),
    [
        (400, {'slots': 0}),
        (400, {'slots': True}),
        (400, {'slots': 1.5}),
        (400, {'slots': 10**9}),
        (400, {'incarnation': -1}),
        (400, {'state': 'gone'}),
        (400, {'address': 'example.org:80'}),
        (400, {'address': '10.0.0.1:99999'}),
        (400, {'address': '10.0.0.1:-1'}),
        (400, {'address': '0.0.0.0:80'}),
        (400, {'id': 'u' * 129}),
        (400, {'id': 'u\n1'}),
        (400, {'domain': None}),
        (404, {'service': 'nobody'}),
        (413, {'extra': 'x' * 5000}),
    ],
)
def test_wrong_announcement_is_refused(status, changes):
    """Guards against rows with values that no upstream can have."""
    gate, sink, _ = create_gate()
    assert receive(gate, **changes) == status
    assert not sink.taken


@pytest.mark.parametrize('body', [b'', b'[]', b'{"a"', b'[' * 4000, b'\xff'])
def test_malformed_body_is_refused(body):
    """Guards against bodies that raise an exception in the handler."""
    gate, _, _ = create_gate()
    assert gate.receive(body).status == 400


def test_forged_address_is_refused_while_the_row_is_in_force():
    """Guards against a forged announcement that redirects requests."""
    gate, sink, clock = create_gate()
    assert receive(gate) is None
    assert receive(gate, address='10.9.9.9:80', incarnation=6) == 409
    clock.advance(rows.ROW_SECONDS)
    assert receive(gate, address='10.9.9.9:80', incarnation=6) is None
    assert len(sink.taken) == 2


def test_stale_incarnation_is_refused():
    """Guards against late announcements of an upstream before its restart."""
    gate, _, _ = create_gate()
    assert receive(gate, incarnation=7) is None
    assert receive(gate, incarnation=5) == 409


def test_repetition_is_forwarded_once_and_a_drain_immediately():
    """Guards against forwarded duplicates and a delayed drain."""
    gate, sink, _ = create_gate()
    for _ in range(5):
        assert receive(gate) is None
    assert receive(gate, state='draining') is None
    assert [one.state for one in sink.taken] == [
        slots.UpstreamState.READY,
        slots.UpstreamState.DRAINING,
    ]


def test_flood_of_announcements_is_bounded():
    """Guards against memory and traffic that grow with forged ids."""
    gate, sink, _ = create_gate()
    burst = int(announcements.MAX_BURST_ANNOUNCEMENTS)
    seen = [receive(gate, id=f'u{number}') for number in range(burst + 50)]
    assert seen.count(503) == 50
    assert len(sink.taken) <= rows.MAX_ROWS


async def test_posted_announcement_reaches_the_owner_through_any_host():
    """Guards against upstreams that stay unknown to the owner."""
    async with fleets.start_fleet(2) as (hosts, _):
        body = json.dumps({**FIELDS, 'id': 'u9'}).encode()
        answer, _ = await test_exchanges.fetch(
            hosts[1],
            '/-/announce',
            'POST',
            body,
        )
        assert answer.status == 204
        await fleets.wait_briefly()
        await fleets.wait_briefly()
        assert 'u9' in hosts[0].coordinator.rows


async def test_forged_announcement_is_refused_by_the_owner_too():
    """Guards against forged announcements sent through another host."""
    async with fleets.start_fleet(2) as (hosts, _):
        body = json.dumps({**FIELDS, 'id': 'u0'}).encode()
        await test_exchanges.fetch(hosts[1], '/-/announce', 'POST', body)
        await fleets.wait_briefly()
        await fleets.wait_briefly()
        assert hosts[0].coordinator.rows['u0'].address != '10.0.0.1:80'
