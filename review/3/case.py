"""A new replica that is cut off confirms that a target leaves."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: ``contact`` and ``drain`` of the site.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
#: Time that the target goes on serving after the confirmation.
SERVING_SECONDS = 5.0
HOSTS = (10, 11)
NEW = 5


async def run(record, is_disrupted):
    """Return whether the leaving target gets no work after ``drain``."""
    fleet = harness.Fleet(record)
    zones = ('georgetown', 'balik-pulau', 'butterworth', 'bukit-mertajam')
    targets = [
        harness.Target(fleet, number, 'sa', zone, lambda _path: 0.1)
        for number, zone in enumerate(zones)
    ]
    try:
        return await leave(fleet, targets, is_disrupted)
    finally:
        await fleet.close()


async def leave(fleet, targets, is_disrupted):
    """Add a replica behind a cut; let a target leave there."""
    record = fleet.record
    for number in range(5):
        zone = list(harness.ZONES)[number % 4]
        await fleet.start_replica(number, zone, bootstrap=True)
    for number in HOSTS:
        await fleet.start_host(number, 'georgetown')
    operator = harness.Operator(fleet)
    routes = [harness.create_route('r', '/p/', 'safe', 'sa')]
    if not await operator.put(3, ['sa'], routes, seconds=20.0):
        raise harness.CannotRun('the configuration')
    for target in targets:
        await target.start()
    for number in HOSTS:
        await harness.wait_until_ready(fleet, number)
    await asyncio.sleep(4.0)
    await add_replica(fleet, is_cut=is_disrupted)
    # The core has been stable for ``contact`` when the target leaves.
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    sending = asyncio.create_task(send_requests(fleet))
    await asyncio.sleep(1.0)
    leaving = targets[0]
    leaving.stop_beating()
    new = f'{fleet.ip(NEW)}:{fleet.control}'
    status = await leaving.say(new, 'leave', {'born': leaving.born})
    confirmed = time.monotonic()
    record.add(f'{leaving.identity} leaves at {new}: {status}')
    if status != 200:
        # It would ask the next replica; nothing was confirmed here.
        sending.cancel()
        return True
    await asyncio.sleep(SERVING_SECONDS)
    sending.cancel()
    late = [
        attempt
        for arrived, attempt in leaving.arrived
        if arrived > confirmed + DRAIN_SECONDS
    ]
    record.add(f'{len(late)} requests reached it later than drain: {late}')
    return not late


async def add_replica(fleet, *, is_cut):
    """Start a replica on a new machine; its ways to the seeds may be cut."""
    paths = [
        harness.Path(fleet.ip(150 + n), fleet.link, fleet.ip(n), is_cut=is_cut)
        for n in range(3)
    ]
    for path in paths:
        await path.open()
    fleet.record.add(f'the new machine is {"cut off" if is_cut else "linked"}')
    await fleet.start_replica(
        NEW,
        'georgetown',
        bootstrap=False,
        seeds=[f'{path.ip}:{fleet.control}' for path in paths],
    )


async def send_requests(fleet):
    """Send requests through both hosts, 20 a second."""
    tasks = set()
    for number in itertools.count():
        host = HOSTS[number % len(HOSTS)]
        address = f'{fleet.ip(host)}:{fleet.front}'
        task = asyncio.create_task(send_request(fleet, address, f'a{number}'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.05)


async def send_request(fleet, address, attempt):
    """Send one request on a connection of its own."""
    headers = harness.create_request(attempt, 4000)
    answer = await harness.call(
        address, 'GET', '/p/x', b'', headers, seconds=4.0
    )
    fleet.record.add(f'client gets {answer.status} for {attempt}')


if __name__ == '__main__':
    # TROUBLE=0 and record.txt come from run.sh.
    harness.main(run)
