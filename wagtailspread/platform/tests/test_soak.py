"""A short soak with a fixed seed; ``make soak`` runs longer ones."""

from wagtailspread.platform.tests.soak import ledgers, soaks


async def test_planned_stops_lose_no_request(tmp_path):
    """Guards against review/2 under load: orders cut at the end of a stop.

    On the code before it was mended, 6 of 2,142 requests of a run of 60 s were
    answered 502 while an upstream was at work on them.
    """
    plan = soaks.Plan(seed=1, seconds=25.0, hosts=4, callers=60, block=20)
    soak = await soaks.run_soak(plan, tmp_path)
    lines, is_held = soaks.summarise(soak)
    assert is_held, '\n'.join(lines)
    assert len(soak.ledger.attempts) > 100


async def test_a_suspended_allocator_leaves_no_upstream_idle(tmp_path):
    """Guards against sound upstreams that look full after a suspension.

    Before, hosts never withdrew what they had asked of the suspended allocator:
    3 of 9 upstreams got no request for 2 s, and 21 of 1,870 requests failed.
    """
    plan = soaks.Plan(
        seed=1,
        seconds=24.0,
        hosts=6,
        callers=200,
        pause=3.0,
        block=25,
        script=((8.0, 'pause', 'replica', 0),),
    )
    soak = await soaks.run_soak(plan, tmp_path)
    lines, is_held = soaks.summarise(soak)
    assert is_held, '\n'.join(lines)
    assert len(soak.ledger.attempts) > 500


async def test_a_region_without_callers_leaves_no_upstream_idle(tmp_path):
    """Guards against idle upstreams of a region whose only host was stopped.

    Before, 3 of 9 upstreams got no request for 2 s in 12 windows.
    """
    plan = soaks.Plan(
        seed=1,
        seconds=14.0,
        hosts=4,
        callers=60,
        block=28,
        script=((4.0, 'stop', 'host', 11),),
    )
    soak = await soaks.run_soak(plan, tmp_path)
    lines, is_held = soaks.summarise(soak)
    assert is_held, '\n'.join(lines)
    assert len(soak.ledger.attempts) > 100


def create_ledger(**fields):
    """Return a ledger with one order, which is stopped after 1 s."""
    ledger = ledgers.Ledger(grace=6.0, contact=3.0, max_attempts=2)
    attempt = ledgers.Attempt('a1', 10, True, 10.0, 5.0, ended_at=11.0)
    for name, value in fields.items():
        setattr(attempt, name, value)
    ledger.attempts['a1'] = attempt
    return ledger


def add_arrival(ledger, ending, upstream='u1'):
    """Add an arrival of the order at an upstream."""
    ledger.arrivals['a1'].append(ledgers.Arrival(upstream, 10.1, ending))


def add_stop(ledger, started_at, *, is_planned=True):
    """Add a stop of the order's host."""
    ledger.disruptions[10].append(
        ledgers.Disruption(is_planned, started_at, started_at + 6.0)
    )


def test_the_soak_finds_each_broken_promise():
    """Guards against checks that hold whatever happens."""
    dropped = ledgers.Ending.DROPPED
    cases = {
        ledgers.Fault.CUT: ({'status': 502}, (dropped,)),
        ledgers.Fault.CLOSED: ({'status': 0}, (dropped,)),
        ledgers.Fault.FALSE_REFUSAL: ({'status': 503}, (dropped,)),
        ledgers.Fault.REPEATED: ({'status': 200}, (dropped, dropped)),
        ledgers.Fault.MIXED: ({'status': 200, 'is_own': False}, ()),
        ledgers.Fault.LATE: ({'status': 504, 'ended_at': 15.6}, ()),
        ledgers.Fault.STALE: ({'status': 404}, ()),
    }
    for fault, (fields, endings) in cases.items():
        ledger = create_ledger(**fields)
        for ending in endings:
            add_arrival(ledger, ending)
        assert fault in ledger.find_faults(), fault


def test_the_soak_finds_requests_at_upstreams_that_left():
    """Guards against a check of departures that holds whatever happens."""
    ledger = create_ledger(status=200)
    add_arrival(ledger, ledgers.Ending.ANSWERED)
    ledger.departures['u1'] = 8.0
    assert set(ledger.find_faults()) == {ledgers.Fault.DRAINED}
    ledger.departures['u1'] = 8.2
    assert not ledger.find_faults()


def test_the_soak_finds_sound_upstreams_without_requests():
    """Guards against a check of idle upstreams that holds whatever happens."""
    ledger = ledgers.Ledger(grace=6.0, contact=3.0, max_attempts=2)
    for number in range(4):
        ledger.presences[f'u{number}'] = (0.0, float('inf'))
    for step in range(800):
        arrival = ledgers.Arrival(f'u{step % 4}', step * 0.05)
        if step < 400 or step % 4 < 2:
            ledger.arrivals[step].append(arrival)
    idle = ledger.find_idle(40.0)
    assert {tuple(names) for _, names in idle} == {('u2', 'u3')}
    assert min(at for at, _ in idle) == 20.0
    ledger.presences['u2'] = (0.0, 20.0)
    assert len(ledger.find_idle(40.0)) > 10
    ledger.presences['u3'] = (14.5, 21.0)
    assert not ledger.find_idle(40.0)
    del ledger.presences['u3'], ledger.presences['u2']
    ledger.presences['u4'] = (0.0, float('inf'))
    assert ledger.find_idle(40.0)
    ledger.disruptions[1].append(ledgers.Disruption(False, 0.0, 40.0))
    assert not ledger.find_idle(40.0)


def test_the_soak_counts_upstreams_of_an_attempt():
    """Guards against attempts beyond the limit of the route."""
    ledger = create_ledger(status=503)
    for number in range(3):
        add_arrival(ledger, ledgers.Ending.REFUSED, f'u{number}')
    assert set(ledger.find_faults()) == {ledgers.Fault.TOO_MANY}


def test_the_soak_allows_what_the_platform_allows():
    """Guards against a soak that fails for a request that had to be cut."""
    early = create_ledger(status=502)
    add_arrival(early, ledgers.Ending.DROPPED)
    add_stop(early, started_at=5.9)
    assert ledgers.Fault.CUT in early.find_faults()
    early.disruptions[10][0].started_at = 7.5
    early.attempts['a1'].ended_at = 12.6
    assert not early.find_faults()
    disturbed = create_ledger(status=502)
    add_arrival(disturbed, ledgers.Ending.DROPPED)
    add_stop(disturbed, started_at=9.0, is_planned=False)
    assert not disturbed.find_faults()
