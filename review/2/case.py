"""A host takes a request on a kept connection late in its stop and cuts it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: Work of the requests, by their path, in seconds; 1.8 s is the largest work
#: of a repaint-booking at the site.
WORK_SECONDS = {'/o/short': 0.1, '/o/long': 1.8}
#: Times of the requests on kept connections, in seconds after the SIGTERM.
EARLY_SECONDS = 2.0
LATE_SECONDS = 3.6
HOST = 10


async def run(record, is_disrupted):
    """Return whether the order was answered by its target."""
    fleet = harness.Fleet(record)
    targets = [
        harness.Target(fleet, number, 'sa', zone, WORK_SECONDS.get)
        for number, zone in enumerate(('georgetown', 'balik-pulau'))
    ]
    try:
        return await stop_host(fleet, targets, is_disrupted)
    finally:
        await fleet.close()


async def stop_host(fleet, targets, is_disrupted):
    """Stop a host; send an order to it on a connection that was kept."""
    record = fleet.record
    for number in range(5):
        zone = list(harness.ZONES)[number % 4]
        await fleet.start_replica(number, zone, bootstrap=True)
    await fleet.start_host(HOST, 'georgetown')
    operator = harness.Operator(fleet)
    routes = [harness.create_route('orders', '/o/', 'unsafe', 'sa')]
    if not await operator.put(3, ['sa'], routes, seconds=20.0):
        raise harness.CannotRun('the configuration')
    for target in targets:
        await target.start()
    await harness.wait_until_ready(fleet, HOST)
    await asyncio.sleep(4.0)
    early = await harness.connect(fleet.ip(HOST), fleet.front)
    late = await harness.connect(fleet.ip(HOST), fleet.front)
    for name, connection in (('a', early), ('b', late)):
        for number in range(2):
            attempt = f'{name}{number}'
            if await order(record, connection, attempt, '/o/short') != 200:
                raise harness.CannotRun('an order before the stop')
    if is_disrupted:
        await fleet.end(HOST, how='terminate')
    await asyncio.sleep(EARLY_SECONDS)
    first = asyncio.create_task(order(record, early, 'early', '/o/long'))
    await asyncio.sleep(LATE_SECONDS - EARLY_SECONDS)
    # A connection that the host has closed is no break of the rule.
    status = await order(record, late, 'late', '/o/long')
    await first
    if not any('late' in target.runs for target in targets):
        record.add('the late order was not passed on')
        return True
    return status == 200


async def order(record, connection, attempt, path):
    """Send an order and return its status, 0 if it got no whole answer."""
    record.add(f'client sends {attempt} {path}')
    started = time.monotonic()
    try:
        await connection.send('POST', path, harness.create_request(attempt))
        answer = await connection.receive()
    except OSError:
        answer = harness.LOST
    seconds = time.monotonic() - started
    record.add(f'client gets {answer.status} for {attempt}, {seconds:.2f} s')
    return answer.status


if __name__ == '__main__':
    # TROUBLE=0 and record.txt come from run.sh.
    harness.main(run)
