"""Test helper: real processes before upstreams that a request crashes."""

import asyncio
import contextlib
import itertools
import json
import time

from wagtailspread.platform.tests import test_processes
from wagtailspread.platform.tests.soak import ledgers, soaks, upstreams

REPLICAS = 3
HOSTS = range(10, 14)
FIRST_UPSTREAM = 150
UPSTREAMS = 12
#: Time after the third crash from which crashes are counted, in seconds.
CONTACT_SECONDS = 3.0


class FragileUpstream(upstreams.Upstream):
    """Ends with all its connections under a request for ``/l/crash/``."""

    def __init__(self, *values, crashes, **names):
        """Create an upstream that does not listen.

        :param crashes: gets the time of each crash.
        """
        super().__init__(*values, **names)
        self._crashes = crashes
        self._crashing = None

    async def close(self):
        """Stop at once."""
        if self._crashing is not None:
            self._crashing.cancel()
        await super().close()

    async def _run(self, reader, head, arrival):
        if ' /l/crash/' not in head:
            return await super()._run(reader, head, arrival)
        self._crashes.append(time.monotonic())
        self._crashing = asyncio.create_task(self.crash())
        arrival.ending = ledgers.Ending.DROPPED
        return False


class CrashingFleet:
    """A fleet in two regions, its upstreams and a request that crashes them."""

    def __init__(self, fleet):
        """Create the upstreams; nothing is started."""
        self.crashes = []
        self._fleet = fleet
        self._numbers = itertools.count()
        ledger = ledgers.Ledger(6.0, CONTACT_SECONDS, 2)
        controls = [
            fleet.find_address(number, test_processes.CONTROL_PORT)
            for number in range(REPLICAS)
        ]
        self._control = controls[0]
        zones = list(test_processes.ZONES)
        self._upstreams = [
            FragileUpstream(
                f'u{number}',
                'sa',
                zones[number % len(zones)],
                ledger,
                time.monotonic,
                controls,
                crashes=self.crashes,
            )
            for number in range(UPSTREAMS)
        ]

    async def start(self):
        """Start all processes and upstreams; wait until requests are served."""
        for number in range(REPLICAS):
            self._fleet.start_replica(number)
        for number in HOSTS:
            self._fleet.start_host(number)
        body = json.dumps(soaks.create_document(2)).encode()
        await self._wait_for_answer('config/put', body)
        for number, one in enumerate(self._upstreams):
            await one.start(self._fleet.find_ip(FIRST_UPSTREAM + number))
        for number in HOSTS:
            async with asyncio.timeout(20.0):
                while await self.send(number, '/l/20') != 200:
                    await asyncio.sleep(0.2)

    async def close(self):
        """Stop the upstreams."""
        for one in self._upstreams:
            with contextlib.suppress(Exception):
                await one.close()

    async def send_copies(self, count, pause):
        """Send the crashing request through all hosts at once, repeatedly.

        Each copy comes from another address.
        """
        for _ in range(count):
            copies = [self.send(number, '/l/crash/1') for number in HOSTS]
            await asyncio.gather(*copies)
            await asyncio.sleep(pause)

    async def send(self, host, path):
        """Send a request; return the status, 0 without an answer."""
        number = next(self._numbers)
        address = self._fleet.find_address(host, test_processes.CALLER_PORT)
        ip, _, port = address.rpartition(':')
        head = (
            f'GET {path} HTTP/1.1\r\nHost: a.example\r\n'
            f'Attempt-Id: a{number}\r\nDeadline-Ms: 3000\r\n\r\n'
        )
        source = (self._fleet.find_ip(200 + number % 40), 0)
        try:
            async with asyncio.timeout(4.0):
                reader, writer = await asyncio.open_connection(
                    ip, int(port), local_addr=source
                )
                writer.write(head.encode())
                status, _body = await upstreams.read_answer(reader)
                writer.close()
                return status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def restart_replicas(self):
        """Kill each replica in turn and start it again."""
        for number in range(REPLICAS):
            self._fleet.kill(f'replica{number}')
            await asyncio.sleep(0.3)
            self._fleet.start_replica(number, is_first=False)
            await asyncio.sleep(2.0)

    async def _wait_for_answer(self, call, body):
        async with asyncio.timeout(30.0):
            while True:
                path = f'/wagtailspread/{call}'
                if (
                    await upstreams.call(self._control, 'POST', path, body)
                    == 200
                ):
                    return
                await asyncio.sleep(0.2)


async def count_later_crashes(folder, block, *, has_restarts):
    """Return how many upstreams a request still crashes after it is known.

    :param has_restarts: whether all replicas start anew meanwhile.
    """
    with test_processes.run_fleet(folder, block) as processes:
        fleet = CrashingFleet(processes)
        try:
            await fleet.start()
            async with asyncio.timeout(30.0):
                while len(fleet.crashes) < 3:
                    await fleet.send_copies(1, 0.5)
            third = fleet.crashes[2]
            if has_restarts:
                await fleet.restart_replicas()
            wait = third + CONTACT_SECONDS + 0.5 - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            before = len(fleet.crashes)
            await fleet.send_copies(6, 0.7)
            return len(fleet.crashes) - before
        finally:
            await fleet.close()
