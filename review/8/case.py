"""Check-ins of another writer take sound targets out of use for good."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness

TARGETS = 10
#: Number of targets whose address another writer states.
STATED = 5
RATE = 70
#: 10 targets of 3 slots run 100 of these requests a second.
PATH = '/lepu270/ms300'
DEADLINE_MS = 2000
LOAD_SECONDS = 20
TROUBLE_AT = 6
WINDOW_SECONDS = 2.0
FLOOR_SHARE = 0.7


async def play(record, has_trouble):
    fleet = harness.Fleet(replicas=3, hosts=2)
    arrivals = []
    zones = list(harness.ZONES)
    targets = [
        harness.Target(
            f'i-{number}',
            'huvo11a',
            f'127.{fleet.network}.3.{number + 1}',
            zones[number % len(zones)],
            record,
            arrivals,
        )
        for number in range(TARGETS)
    ]
    route = harness.create_route(
        'r-lookup', '/lepu270/', 'safe', 'huvo11a', 2000, 800
    )
    configuration = harness.create_configuration(7, [route], ['huvo11a'])
    try:
        await harness.set_up(
            record,
            fleet,
            configuration,
            targets,
            2 * harness.CONTACT_SECONDS + 1,
        )
        requests = []
        load = asyncio.create_task(send_all(record, fleet, requests))
        await asyncio.sleep(TROUBLE_AT)
        confirmed = [target.confirmed for target in targets]
        if has_trouble:
            await send_foreign_check_ins(record, fleet, targets)
        await load
    finally:
        fleet.close()
    for target, before in zip(targets, confirmed, strict=True):
        record.say(
            target.name,
            'check-ins confirmed later:',
            target.confirmed - before,
            'requests in the last 8 s:',
            sum(
                one['target'] == target.name
                and one['at'] > requests[-1]['at'] - 8
                for one in arrivals
            ),
        )
    return find_break(record, requests, arrivals)


async def send_all(record, fleet, requests):
    """Send requests at a steady rate, and wait for all answers."""
    tasks = []
    start = time.monotonic()
    for number in range(RATE * LOAD_SECONDS):
        await asyncio.sleep(max(0, start + number / RATE - time.monotonic()))
        ip = fleet.hosts[number % len(fleet.hosts)]
        tasks.append(
            asyncio.create_task(send_one(record, ip, number, requests))
        )
    await asyncio.gather(*tasks)


async def send_one(record, ip, number, requests):
    request = {'at': record.now(), 'status': 0}
    requests.append(request)
    request['status'] = await harness.send(
        record, ip, 'GET', PATH, f'a{number:06d}', DEADLINE_MS
    )


async def send_foreign_check_ins(record, fleet, targets):
    """Send one check-in for each of some addresses of sound targets.

    Its service is not named in the configuration.
    """
    for number, target in enumerate(targets[:STATED]):
        fields = harness.create_check_in(
            target,
            service='monitor',
            seq=1,
            born=int(time.time() * 1000),
        )
        ip = fleet.replicas[number % len(fleet.replicas)]
        path = f'/wagtailspread/instances/agent-{number}/heartbeat'
        status, body = await harness.call(ip, 'POST', path, fields)
        record.say('foreign check-in for', target.address, status, body)


def find_break(record, requests, arrivals):
    """Tell whether the rule FLOOR is broken in some window."""
    end = max(request['at'] for request in requests) - WINDOW_SECONDS
    at = requests[0]['at'] + 1
    worst = None
    while at <= end:
        until = at + WINDOW_SECONDS
        sent = [one for one in requests if at <= one['at'] < until]
        unserved = sum(one['status'] != 200 for one in sent) / len(sent)
        used = {one['target'] for one in arrivals if at <= one['at'] < until}
        share = len(used) / TARGETS
        is_broken = 0 < share < FLOOR_SHARE and 0.1 < unserved < 0.5
        if is_broken and (worst is None or unserved > worst[2]):
            worst = (round(at, 1), share, round(unserved, 2), len(sent))
        at += 0.1
    statuses = [request['status'] for request in requests]
    counts = {one: statuses.count(one) for one in sorted(set(statuses))}
    record.say('answers by status:', counts)
    if worst is None:
        record.say('FLOOR holds')
        return False
    record.say(
        'FLOOR broken: 2 s from {} on, a share of {} of the sound targets got'
        ' requests, and a share of {} of {} requests was not served'.format(
            *worst
        )
    )
    return True


harness.run(pathlib.Path(__file__).resolve().parent, play)
