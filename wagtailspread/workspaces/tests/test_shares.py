"""Tests of the share of an allocator."""

import random

import pytest

from wagtailspread.workspaces import caps, fleets, presences, shares


def create_contacts(hosts, rate, now, seed=1):
    """Return the last messages of hosts that send at random times."""
    rng = random.Random(seed)
    return {f'h{one}': now - rng.expovariate(rate) for one in range(hosts)}


def test_hosts_with_few_requests_keep_their_part():
    """Guards against a share that falls with the load of a fleet."""
    contacts = create_contacts(200, 2.0, 100.0)
    source = shares.create_shares(contacts, lambda: 400)
    assert 0.4 <= source.compute(0.85, 100.0) <= 0.5


def test_hosts_that_have_left_are_not_counted_for_long():
    """Guards against two allocators that count the same hosts."""
    contacts = create_contacts(200, 5.0, 100.0)
    moved = {f'h{one}': 97.0 for one in range(100)}
    source = shares.create_shares({**contacts, **moved}, lambda: 400)
    assert 0.2 <= source.compute(0.85, 100.0) <= 0.3


@pytest.mark.parametrize('rate', [1.0, 10.0, 100.0, 1000.0])
@pytest.mark.parametrize('turn_seconds', [0.0, 1.0, 3.0, 6.0])
def test_hosts_that_alternate_count_once(rate, turn_seconds):
    """Guards against a part of a cap that two allocators use.

    The bound is what the cap allows in a window, as a multiple of its rate.
    """
    limits, cap = caps.Limits(), caps.Cap(rate, rate / 2)
    silence = shares.compute_silence(limits, cap)
    rng = random.Random(1)
    logs = {f'h{one}': presences.create_log() for one in range(50)}
    pair = [shares.create_shares({}, lambda: 50) for _ in range(2)]
    starts = {host: rng.random() for host in logs}
    sums = []
    for step in range(4000):
        now = step / 200
        host = rng.choice(list(logs))
        chosen = rng.randrange(2)
        if turn_seconds:
            chosen = int(now / turn_seconds + starts[host]) % 2
        pair[chosen].record(host, logs[host].state(f'r{chosen}', now), now)
        logs[host].record_answer(f'r{chosen}', now)
        if now > 10:
            sums.append(sum(one.compute(silence, now) for one in pair))
    allowance = limits.compute_allowance(cap) / (limits.window * cap.rate)
    assert sum(sums) / len(sums) <= 1 + allowance


def test_reports_of_ended_requests_do_not_keep_a_host():
    """Guards against hosts that count at the allocator that they have left."""
    contacts = {}
    source = shares.create_shares(contacts, lambda: 1)
    presence = presences.Presence(0.0, 0.2)
    source.record('h1', presence, 100.0)
    contacts['h1'] = 101.0
    assert source.compute(0.85, 101.0) == 0


def test_hosts_of_an_allocator_that_starts_count_at_once():
    """Guards against requests refused while hosts are not yet heard from."""
    rng = random.Random(1)
    source = shares.create_shares({}, lambda: 50)
    logs = {f'h{one}': presences.create_log() for one in range(50)}
    for step in range(3000):
        now = step / 250
        host = rng.choice(list(logs))
        presence = logs[host].state('r1', now)
        if now > 10:
            source.record(host, presence, now)
        if now > 10.3:
            break
    assert source.compute(0.85, now) >= 0.8


def test_declared_hosts_count_in_a_quiet_fleet_only():
    """Guards against a first burst that is refused for want of messages."""
    quiet = shares.create_shares({'h1': 100.0}, lambda: 100, lambda: 50)
    assert quiet.compute(0.85, 100.0) == 0.5
    contacts = create_contacts(20, 10.0, 100.0)
    moved = {f'm{one}': 97.0 for one in range(30)}
    split = shares.create_shares({**contacts, **moved}, lambda: 100, lambda: 50)
    assert split.compute(0.85, 100.0) <= 0.25


def test_an_allocator_that_no_host_asks_has_no_share():
    """Guards against replicas that stand by and use a part of a cap."""
    source = shares.create_shares({}, lambda: 100)
    assert source.compute(5.0, 100.0) == 0


def test_the_steady_share_is_the_lowest_of_the_interval():
    """Guards against the burst of hosts that have only just come."""
    contacts = {}
    source = shares.create_shares(contacts, lambda: 10)
    for step in range(100):
        now = 100 + step * 0.25
        if step > 80:
            contacts.update({f'h{one}': now for one in range(10)})
        source.observe(now)
    steady = {int(one.seconds): one.share for one in source.list_steady(125.0)}
    assert steady[2] == 1
    assert steady[10] == 0


def test_a_silent_host_is_counted_for_less_time_at_higher_rates():
    """Guards against an overlap that is larger than the allowance."""
    limits = caps.Limits()
    for rate in (1.0, 10.0, 100.0, 1000.0):
        cap = caps.Cap(rate, 0.0)
        seconds = shares.compute_silence(limits, cap)
        overlap = shares.MAX_MOVED_SHARE * rate * seconds
        assert overlap <= 0.31 * limits.compute_allowance(cap)


def test_hosts_that_are_counted_twice_for_a_moment_do_not_count():
    """Guards against half a cap for minutes after the loss of a replica."""
    fleet = fleets.create_size()
    for step in range(40):
        is_double = 20 <= step < 25
        fleet.record(80 if is_double else 40, float(step))
    assert fleet.estimate() == 40


def test_hosts_that_are_cut_off_still_count():
    """Guards against a whole cap on each side of a partition."""
    fleet = fleets.create_size()
    for step in range(200):
        fleet.record(40 if step < 20 else 20, float(step))
    assert fleet.estimate() == 40
