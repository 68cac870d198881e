"""Two replicas lose their disks just after a planned replacement of a third."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

CATCH_UP_SECONDS = 4.0
#: Time between the SIGTERM of the replaced machine and the loss of the disks.
PAUSE_SECONDS = 0.5
DOWN_SECONDS = 3.0
#: ``recovery`` of the site, and the time for which the operator asks.
RECOVERY_SECONDS = 15.0
READ_SECONDS = 10.0


async def run(record, is_disrupted):
    """Return whether the acknowledged configuration can be read back."""
    fleet = harness.Fleet(record)
    try:
        return await replace(fleet, is_disrupted)
    finally:
        await fleet.close()


async def replace(fleet, is_disrupted):
    """Replace a machine as planned; lose two disks."""
    zones = ['georgetown', 'butterworth', 'balik-pulau', 'bukit-mertajam']
    zones.append('georgetown')
    for number, zone in enumerate(zones):
        await fleet.start_replica(number, zone, bootstrap=True)
    operator = harness.Operator(fleet)
    routes = [harness.create_route('r', '/p/', 'safe', 'sa')]
    if not await operator.put(3, ['sa'], routes, seconds=20.0):
        raise harness.CannotRun('the first configuration')
    # More than catchUp after the start of the machines.
    await asyncio.sleep(CATCH_UP_SECONDS + 2.0)
    await fleet.start_replica(5, zones[4], bootstrap=False)
    operator.addresses.append(f'{fleet.ip(5)}:{fleet.control}')
    await asyncio.sleep(CATCH_UP_SECONDS + 2.0)
    await fleet.end(4, how='terminate')
    operator.addresses.pop(4)
    if not await operator.put(7, ['sa'], routes):
        raise harness.CannotRun('the second configuration')
    if is_disrupted:
        await asyncio.sleep(PAUSE_SECONDS)
        for number in (2, 3):
            await fleet.end(number, how='kill')
            fleet.wipe(number)
        await asyncio.sleep(DOWN_SECONDS)
        for number in (2, 3):
            await fleet.start_replica(number, zones[number], bootstrap=False)
    await asyncio.sleep(RECOVERY_SECONDS)
    return await is_read_back(fleet.record, operator)


async def is_read_back(record, operator):
    """Ask all replicas for the configuration again and again."""
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        for address in operator.addresses:
            version = await operator.read(address)
            record.add(f'read at {address}: {version or "no 200"}')
            if version is not None:
                return version >= 7
        await asyncio.sleep(0.5)
    return False


if __name__ == '__main__':
    # TROUBLE=0 and record.txt come from run.sh.
    harness.main(run)
