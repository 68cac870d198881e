"""Runs a soak: a fleet, its callers and upstreams, and a plan of signals."""

import asyncio
import collections
import dataclasses
import json
import random
import signal
import time

from wagtailspread.platform.tests import test_processes
from wagtailspread.platform.tests.soak import callers, ledgers, upstreams

#: Bounds of the settings of the fleet, in seconds.
GRACE_SECONDS = 6.0
CONTACT_SECONDS = 3.0
MAX_ATTEMPTS = 2
REPLICAS = 3
#: Numbers of the first host and of the first upstream in their network block.
FIRST_HOST = 10
FIRST_UPSTREAM = 150
UPSTREAMS = 9
#: Time between two events of the plan, in seconds.
EVENT_SECONDS = 2.5
#: Time after its confirmation from which all hosts obey a version, in seconds.
APPLY_SECONDS = 2.0
#: Number of versions for which a document has a route.
KEPT_VERSIONS = 3
RESTART_SECONDS = 0.5
#: Shortest and longest time for which a process is suspended, in seconds.
PAUSE_SECONDS = (0.5, 4.0)
_PLANNED = ('stop host', 'stop host', 'stop host', 'change', 'leave upstream')
_UNPLANNED = (
    'kill host',
    'pause host',
    'pause replica',
    'stop replica',
    'kill replica',
    'crash upstream',
    'silence upstream',
    'mute upstream',
    'slow upstream',
    'reset upstream',
)


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size and seed of a soak.

    :param pause: longest time of a caller between two requests, in seconds.
    :param is_calm: whether only planned events occur.
    :param script: events in place of random ones, each with its seconds since
        the callers started, its verb, and the role and number of its process.
    """

    seed: int = 1
    seconds: float = 60.0
    hosts: int = 8
    callers: int = 120
    pause: float = 5.0
    is_calm: bool = True
    block: int = 30
    script: tuple[tuple[float, str, str, int], ...] = ()


class Soak:
    """One run of a plan.

    :param events: lines of the plan with their times.
    """

    def __init__(self, plan, fleet):
        """Create the stand-ins; nothing is started."""
        self.plan = plan
        self.events = []
        self.ledger = ledgers.Ledger(
            GRACE_SECONDS, CONTACT_SECONDS, MAX_ATTEMPTS
        )
        self._fleet = fleet
        self._random = random.Random(plan.seed)
        self._started = time.monotonic()
        self._version = 1
        self._confirmed = 0
        self._confirmed_at = {}
        #: When the callers stopped, in seconds since the start.
        self.ended_at = 0.0
        self._busy = set()
        hosts = range(FIRST_HOST, FIRST_HOST + plan.hosts)
        self._controls = [
            fleet.find_address(number, test_processes.CONTROL_PORT)
            for number in range(REPLICAS)
        ]
        self._balancer = callers.Balancer(
            self._map_addresses(hosts, test_processes.READY_PORT)
        )
        addresses = self._map_addresses(hosts, test_processes.CALLER_PORT)
        self._callers = [
            callers.Caller(
                number,
                self._balancer,
                addresses,
                self.ledger,
                self.now,
                plan.pause,
                self.list_new_routes,
            )
            for number in range(plan.callers)
        ]
        zones = list(test_processes.ZONES)
        self._upstreams = [
            upstreams.Upstream(
                f'u{number}',
                'sa',
                zones[number % len(zones)],
                self.ledger,
                self.now,
                self._controls,
                slots=max(3, plan.callers // 10),
            )
            for number in range(UPSTREAMS)
        ]

    def now(self):
        """Return the seconds since the start of the soak."""
        return time.monotonic() - self._started

    def list_new_routes(self):
        """Return the routes that all hosts must know, without the oldest."""
        return [
            f'v{version}'
            for version, confirmed_at in self._confirmed_at.items()
            if version > self._version - KEPT_VERSIONS + 1
            and self.now() > confirmed_at + APPLY_SECONDS
        ]

    async def run(self):
        """Start all processes, run the plan and end all processes."""
        await self._start()
        until = self.now() + self.plan.seconds
        self.ended_at = until
        balancing = asyncio.create_task(self._balancer.run())
        sending = [asyncio.create_task(one.run(until)) for one in self._callers]
        perform = (
            self._perform_script if self.plan.script else self._perform_all
        )
        await asyncio.gather(*sending, perform(until))
        balancing.cancel()
        await self._check_configuration()
        for one in self._upstreams:
            await one.close()

    async def _perform_all(self, until):
        """Perform random events at random times."""
        ending = set()
        while self.now() < until:
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * EVENT_SECONDS)
            ending.add(asyncio.create_task(self._perform()))
        await asyncio.gather(*ending)

    async def _perform_script(self, until):
        """Perform the events of the script, one after the other."""
        started = until - self.plan.seconds
        for seconds, verb, role, number in self.plan.script:
            await asyncio.sleep(max(started + seconds - self.now(), 0.0))
            self._record(f'{verb} {role} {number}')
            await self._disrupt(verb, role, number)

    def _map_addresses(self, numbers, port):
        return {n: self._fleet.find_address(n, port) for n in numbers}

    async def _start(self):
        for number in range(REPLICAS):
            self._fleet.start_replica(number)
        for number in range(self.plan.hosts):
            self._fleet.start_host(FIRST_HOST + number)
        await test_processes.wait_for(self._change, 30.0)
        for number, one in enumerate(self._upstreams):
            await one.start(self._fleet.find_ip(FIRST_UPSTREAM + number))
        await asyncio.sleep(CONTACT_SECONDS)

    async def _perform(self):
        kinds = _PLANNED if self.plan.is_calm else (*_PLANNED, *_UNPLANNED)
        kind = self._random.choice(kinds)
        if kind == 'change':
            self._record(kind)
            await self._change()
            return
        verb, role = kind.split()
        if role == 'upstream':
            await self._disturb_upstream(verb)
            return
        first, count = 0, REPLICAS
        if role == 'host':
            first, count = FIRST_HOST, self.plan.hosts
        idle = [
            number
            for number in range(first, first + count)
            if number not in self._busy
        ]
        # One replica at a time, so that a majority remains.
        if not idle or (role == 'replica' and len(idle) < count):
            return
        number = self._random.choice(idle)
        self._record(f'{kind} {number}')
        self._busy.add(number)
        try:
            await self._disrupt(verb, role, number)
        finally:
            self._busy.discard(number)

    async def _disturb_upstream(self, verb):
        """Let an upstream crash, leave or lose bytes, if most of them run."""
        idle = [one for one in self._upstreams if one not in self._busy]
        if 2 * len(idle) < len(self._upstreams):
            return
        chosen = self._random.choice(idle)
        self._record(f'{verb} {chosen.name}')
        self._busy.add(chosen)
        started = self.now()
        try:
            await getattr(chosen, verb)()
        finally:
            self._busy.discard(chosen)
        if verb != 'leave':
            disruption = ledgers.Disruption(False, started, self.now())
            self.ledger.disruptions[chosen.name].append(disruption)

    async def _disrupt(self, verb, role, number):
        # A stop of a replica leaves the group without a leader for a moment.
        is_planned = verb == 'stop' and role == 'host'
        started = self.now()
        disruption = ledgers.Disruption(is_planned, started, float('inf'))
        self.ledger.disruptions[number].append(disruption)
        name = f'{role}{number}'
        process = self._fleet.processes[name]
        if verb == 'pause':
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
            process.send_signal(signal.SIGCONT)
        else:
            await self._end(process, is_killed=verb == 'kill')
            await asyncio.sleep(RESTART_SECONDS)
            start = self._fleet.start_host
            if role == 'replica':
                start = _Restart(self._fleet)
            start(number)
        disruption.ended_at = self.now()

    async def _end(self, process, *, is_killed):
        if is_killed:
            process.kill()
        else:
            process.terminate()
            until = self.now() + GRACE_SECONDS
            while process.poll() is None and self.now() < until:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                self._record(f'not ended after {GRACE_SECONDS} s')
                process.kill()
        await asyncio.to_thread(process.wait)

    async def _change(self):
        """Send the next version until it is confirmed; tell whether it was."""
        self._version += 1
        version = self._version
        body = json.dumps(create_document(version)).encode()
        for _ in range(20):
            control = self._random.choice(self._controls)
            status = await upstreams.call(
                control, 'POST', '/wagtailspread/config/put', body
            )
            if status == 200:
                self._confirmed = max(self._confirmed, version)
                self._confirmed_at[version] = self.now()
                return True
            await asyncio.sleep(0.1)
        return False

    async def _check_configuration(self):
        """Read the configuration back until a replica gives the newest."""
        for _ in range(50):
            for control in self._controls:
                status, body = await upstreams.exchange(
                    control, 'GET', '/wagtailspread/config/get'
                )
                if status == 200:
                    found = json.loads(body)['version']
                    self.ledger.failed_changes += found < self._confirmed
                    return
            await asyncio.sleep(0.2)
        self.ledger.failed_changes += 1

    def _record(self, event):
        self.events.append(f'{self.now():7.2f} {event}')


class _Restart:
    """Starts a replica that has run before."""

    def __init__(self, fleet):
        self._fleet = fleet

    def __call__(self, number):
        self._fleet.start_replica(number, is_first=False)


def create_document(version):
    """Return a configuration with routes for orders, lookups and versions."""
    document = test_processes.create_document(version)
    (route,) = document['virtualHosts'][0]['pathRoutes']
    document['virtualHosts'][0]['pathRoutes'] = [
        {
            **route,
            'name': prefix.strip('/'),
            'pathPrefix': prefix,
            'kind': kind,
            'maxAttempts': MAX_ATTEMPTS,
            'timeout': f'{5000 + version % 7}ms',
        }
        for prefix, kind in (
            ('/o/', 'unsafe'),
            ('/l/', 'safe'),
            *((f'/v{version - age}/', 'safe') for age in range(KEPT_VERSIONS)),
        )
    ]
    return document


async def run_soak(plan, folder):
    """Run a soak and return it; its logs are in ``folder``."""
    with test_processes.run_fleet(folder, plan.block) as fleet:
        soak = Soak(plan, fleet)
        await soak.run()
        return soak


def summarise(soak):
    """Return the lines of a report and whether all promises held."""
    ledger = soak.ledger
    faults = ledger.find_faults()
    if ledger.failed_changes:
        faults[ledgers.Fault.LOST_CHANGE] = []
    statuses = collections.Counter(
        one.status for one in ledger.attempts.values()
    )
    lines = [
        *soak.events,
        f'requests {len(ledger.attempts)}, by status {dict(statuses)}',
    ]
    idle = ledger.find_idle(soak.ended_at)
    if idle:
        faults[ledgers.Fault.IDLE] = []
        lines.extend(f'{at:7.2f} idle: {names}' for at, names in idle)
    for fault, attempts in faults.items():
        lines.append(f'{fault.value}: {len(attempts)}')
        lines.extend(f'  {one} {ledger.arrivals[one.name]}' for one in attempts)
    return lines, not faults
