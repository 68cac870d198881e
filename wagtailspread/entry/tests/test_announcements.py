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
        self.received = []

    def announce(self, announcement):
        self.received.append(announcement)


def create_receiver():
    clock = clocks.ManualClock(100)
    sink = Sink()
    routing = stand_ins.FixedRouting(fleets.ROUTES)
    receiver = announcements.AnnouncementReceiver(routing, sink, clock)
    return receiver, sink, clock


def receive(receiver, **changes):
    rejection = receiver.receive(json.dumps({**FIELDS, **changes}).encode())
    return None if rejection is None else rejection.status


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
def test_invalid_announcement_is_rejected(status, changes):
    """Guards against rows with values that no upstream can have."""
    receiver, sink, _ = create_receiver()
    assert receive(receiver, **changes) == status
    assert not sink.received


@pytest.mark.parametrize('body', [b'', b'[]', b'{"a"', b'[' * 4000, b'\xff'])
def test_malformed_body_is_rejected(body):
    """Guards against bodies that raise an exception in the handler."""
    receiver, _, _ = create_receiver()
    assert receiver.receive(body).status == 400


def test_forged_address_is_rejected_until_the_row_expires():
    """Guards against a forged announcement that redirects requests."""
    receiver, sink, clock = create_receiver()
    assert receive(receiver) is None
    assert receive(receiver, address='10.9.9.9:80', incarnation=6) == 409
    clock.advance(rows.ROW_SECONDS)
    assert receive(receiver, address='10.9.9.9:80', incarnation=6) is None
    assert len(sink.received) == 2


def test_stale_incarnation_is_rejected():
    """Guards against announcements sent by an upstream before its restart."""
    receiver, _, _ = create_receiver()
    assert receive(receiver, incarnation=7) is None
    assert receive(receiver, incarnation=5) == 409


def test_repetition_is_forwarded_once_and_a_drain_immediately():
    """Guards against forwarded duplicates and a delayed drain."""
    receiver, sink, _ = create_receiver()
    for _ in range(5):
        assert receive(receiver) is None
    assert receive(receiver, state='draining') is None
    assert [announcement.state for announcement in sink.received] == [
        slots.UpstreamState.READY,
        slots.UpstreamState.DRAINING,
    ]


def test_flood_of_announcements_is_bounded():
    """Guards against memory and traffic that grow with forged ids."""
    receiver, sink, _ = create_receiver()
    burst = int(announcements.MAX_BURST_ANNOUNCEMENTS)
    statuses = [
        receive(receiver, id=f'u{number}') for number in range(burst + 50)
    ]
    assert statuses.count(503) == 50
    assert len(sink.received) <= rows.MAX_ROWS


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


async def test_forged_announcement_is_rejected_by_the_owner_too():
    """Guards against forged announcements sent through another host."""
    async with fleets.start_fleet(2) as (hosts, _):
        body = json.dumps({**FIELDS, 'id': 'u0'}).encode()
        await test_exchanges.fetch(hosts[1], '/-/announce', 'POST', body)
        await fleets.wait_briefly()
        await fleets.wait_briefly()
        assert hosts[0].coordinator.rows['u0'].address != '10.0.0.1:80'
