"""A demonstration of the whole fleet, as separate processes on loopback.

It starts replicas, entry hosts and fake upstreams, brings about failures, and
prints what happened at each step and a table. Every process that it started
is ended; the exit status is 0 only if each step held.

Run it with ``make demo``.
"""

import asyncio
import dataclasses
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import click

from wagtailspread.core import outcomes
from wagtailspread.testing import fleets

PATHS = ('/columns/1', '/search?q=map', '/archive/2020')
PER_PATH = 40
CALLER = 'el-diario'
#: Longest time for a configuration to be in force everywhere, in seconds.
IN_FORCE_SECONDS = 5.0
#: Longest time until a frozen upstream gets no more work, in seconds.
EJECTION_SECONDS = 4.0
_OK = 200
_TIMEOUT_SECONDS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """Whether a step held, and what was seen."""

    name: str
    held: bool
    seen: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got.

    :param status: HTTP status; 0 if the connection broke.
    """

    status: int
    outcome: str
    body: bytes
    seconds: float


Check = tuple[bool, str]


class Demonstration:
    """The steps, in their order."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        session: aiohttp.ClientSession,
    ) -> None:
        """Keep the fleet, of which nothing runs yet."""
        self.results: list[StepResult] = []
        self.fleet = fleet
        self._session = session

    async def run(self) -> bool:
        """Run all steps and tell whether each held."""
        steps: list[
            tuple[str, typing.Callable[[], typing.Awaitable[Check]]]
        ] = [
            ('replicas and entry hosts become ready', self.start_fleet),
            ('requests of three priorities', self.send_all_priorities),
            ('an order is resent through another host', self.resend_order),
            ('a submitted base file is in force', self.submit_change),
            ('a gray upstream gets no more work', self.eject_gray_upstream),
            ('a frozen upstream is taken out of work', self.freeze_upstream),
            ('an entry host is killed', self.kill_entry),
            ('a replica is killed', self.kill_replica),
            ('an entry host shuts down gracefully', self.stop_entry),
        ]
        for name, step in steps:
            started = time.monotonic()
            held, seen = await step()
            seconds = time.monotonic() - started
            self.results.append(StepResult(name, held, seen, seconds))
            click.echo(f'{"held" if held else "FAILED":6} {name}: {seen}')
        return all(one.held for one in self.results)

    async def start_fleet(self) -> Check:
        """Start all processes."""
        fleet = self.fleet
        fleet.start_replicas()
        fleet.start_entries()
        for number in range(4):
            fleet.start_upstream('vitrina', f'v{number}', number)
            fleet.start_upstream('vitrina', f'v{number + 4}', number)
            fleet.start_upstream('contratos', f'c{number}', number)
        waited = await fleets.wait_until(self._is_serving)
        if waited is None:
            return False, 'not every host answers'
        return True, (
            f'{len(fleet.replicas)} replicas, {len(fleet.entries)} hosts and'
            f' {len(fleet.upstreams)} upstreams after {waited:.1f} s'
        )

    async def send_all_priorities(self) -> Check:
        """Send requests of each priority through every host."""
        counts = []
        for path in PATHS:
            replies = await self.send_many(path)
            good = sum(is_answered(reply) for reply in replies)
            counts.append((path, good, len(replies)))
        held = all(good == total for _, good, total in counts)
        return held, ', '.join(f'{p} {g}/{n}' for p, g, n in counts)

    async def resend_order(self) -> Check:
        """Send one order through all hosts; it must run once."""
        replies = [
            await self.send_order(entry, 'order-1')
            for entry in self.fleet.entries
        ]
        runs = await self.count_runs('order-1')
        bodies = {reply.body for reply in replies}
        same = len(bodies) == 1 and all(map(is_answered, replies))
        seen = f'{len(replies)} sent, {len(bodies)} answer, {runs} run'
        return same and runs == 1, seen

    async def submit_change(self) -> Check:
        """Submit a changed base file with the program itself."""
        changed = self.fleet.base_text.replace('floor = 50%', 'floor = 55%')
        return await self._submit(changed, 1)

    async def freeze_upstream(self) -> Check:
        """Freeze an upstream and see that callers keep being served."""
        victim = self.fleet.upstreams[0]
        victim.send_signal(signal.SIGSTOP)
        started = time.monotonic()
        failed = 0
        sent = 0
        while time.monotonic() - started < EJECTION_SECONDS:
            replies = await self.send_many(PATHS[0], 4)
            sent += len(replies)
            failed += sum(not is_answered(reply) for reply in replies)
        after = await self.send_many(PATHS[0])
        good = sum(is_answered(reply) for reply in after)
        victim.send_signal(signal.SIGCONT)
        held = good == len(after)
        return held, (
            f'{failed} of {sent} failed in the first {EJECTION_SECONDS:.0f} s,'
            f' then {good}/{len(after)} answered'
        )

    async def eject_gray_upstream(self) -> Check:
        """Let an upstream fail real work while it announces itself."""
        gray = self.fleet.upstreams[4]
        await self.set_mode(gray, {'error_ratio': 1.0})
        started = time.monotonic()
        replies: list[Reply] = []
        evidence = ''
        while time.monotonic() - started < EJECTION_SECONDS and not evidence:
            replies += await self.send_many(PATHS[0], 4)
            evidence = await self._find_ejection(gray.name)
        seconds = time.monotonic() - started
        await self.set_mode(gray, {'error_ratio': 0.0})
        failed = sum(not is_answered(reply) for reply in replies)
        if not evidence:
            return False, f'still in work after {seconds:.1f} s'
        return True, (
            f'after {seconds:.2f} s, {failed} of {len(replies)} callers saw an'
            f' error; evidence: {evidence}'
        )

    async def _find_ejection(self, upstream: str) -> str:
        """Return the evidence that stopped its work, from the owners' status.

        While only one failure domain has sent it work, that path is blocked;
        an ejection needs a second view.
        """
        stopped = (f'{upstream} ejected', f'{upstream} path-blocked')
        for entry in self.fleet.entries:
            status = await fleets.read_status(self._session, entry)
            for owned in status.get('allocators', {}).values():
                for change in owned['changes']:
                    if change.startswith(stopped):
                        return str(change)
        return ''

    async def kill_entry(self) -> Check:
        """Kill an entry host; the others take its allocators over."""
        victim = self.fleet.entries.pop(0)
        victim.send_signal(signal.SIGKILL)
        victim.wait()
        waited = await fleets.wait_until(self._is_serving)
        replies = await self.send_many(PATHS[0])
        good = sum(is_answered(reply) for reply in replies)
        held = waited is not None and good == len(replies)
        return held, f'{good}/{len(replies)} answered through the others'

    async def kill_replica(self) -> Check:
        """Kill a replica; changes and orders go on with the other two."""
        victim = self.fleet.replicas[0]
        victim.send_signal(signal.SIGKILL)
        victim.wait()
        changed = self.fleet.base_text.replace('floor = 50%', 'floor = 40%')
        held, seen = await self._submit(changed, 2)
        order = await self.send_order(self.fleet.entries[0], 'order-2')
        again = await self.send_order(self.fleet.entries[-1], 'order-2')
        runs = await self.count_runs('order-2')
        held = held and is_answered(again) and runs == 1
        return held, f'{seen}; order {order.status}, {runs} run'

    async def stop_entry(self) -> Check:
        """Stop a host with requests in flight; none may be cut."""
        stopped = self.fleet.entries.pop()
        for upstream in self.fleet.upstreams:
            await self.set_mode(upstream, {'service_seconds': 1.0})
        sending = [
            asyncio.create_task(self.send(stopped, PATHS[0])) for _ in range(8)
        ]
        await asyncio.sleep(0.1)
        stopped.send_signal(signal.SIGTERM)
        replies = await asyncio.gather(*sending)
        status = await asyncio.to_thread(stopped.wait)
        good = sum(is_answered(reply) for reply in replies)
        held = status == 0 and good == len(replies)
        return held, (
            f'{good}/{len(replies)} in flight answered, exit status {status}'
        )

    async def _submit(self, text: str, based_on: int) -> Check:
        path = self.fleet.folder / 'base.ini'
        path.write_text(text)
        arguments = [
            sys.executable,
            '-m',
            'wagtailspread',
            'submit',
            str(path),
            f'--based-on={based_on}',
            f'--member={fleets.MEMBER}',
            f'--key={self.fleet.key_file}',
        ]
        for address in self.fleet.replica_addresses:
            arguments.append(f'--replica={address}')
        started = time.monotonic()
        ran = await asyncio.to_thread(
            subprocess.run,
            arguments,
            capture_output=True,
            check=False,
        )
        answered = time.monotonic() - started

        async def is_in_force() -> bool:
            return await self._has_version(based_on + 1)

        waited = await fleets.wait_until(is_in_force, IN_FORCE_SECONDS)
        if ran.returncode or waited is None:
            shown = (ran.stdout + ran.stderr).decode()
            return False, f'status {ran.returncode}: {shown.strip()[-300:]}'
        return True, (
            f'version {based_on + 1} accepted after {answered:.1f} s (start of'
            f' the program included), on all hosts {waited:.2f} s later'
        )

    async def _has_version(self, version: int) -> bool:
        seen = [
            await fleets.read_status(self._session, entry)
            for entry in self.fleet.entries
        ]
        return all(
            one.get('configuration_version', 0) >= version for one in seen
        )

    async def _is_serving(self) -> bool:
        for entry in self.fleet.entries:
            for path in PATHS:
                if not is_answered(await self.send(entry, path)):
                    return False
        return True

    async def send_many(self, path: str, each: int = 0) -> list[Reply]:
        """Send requests through every host at once."""
        count = each or PER_PATH // len(self.fleet.entries)
        return await asyncio.gather(
            *(
                self.send(entry, path)
                for entry in self.fleet.entries
                for _ in range(count)
            ),
        )

    async def send(self, entry: fleets.Process, path: str) -> Reply:
        """Send one read through a host."""
        return await self._request('GET', entry, path, {})

    async def send_order(self, entry: fleets.Process, key: str) -> Reply:
        """Send an order with an idempotency key."""
        headers = {
            outcomes.KEY_HEADER: key,
            outcomes.CALLER_HEADER: CALLER,
        }
        return await self._request('POST', entry, '/orders', headers)

    def start_order(
        self,
        entry: fleets.Process,
        key: str,
    ) -> asyncio.Task[Reply]:
        """Send an order without waiting for its answer."""
        return asyncio.create_task(self.send_order(entry, key))

    async def _request(
        self,
        method: str,
        entry: fleets.Process,
        path: str,
        headers: dict[str, str],
    ) -> Reply:
        started = time.monotonic()
        try:
            async with self._session.request(
                method,
                f'http://{entry.address}{path}',
                headers=headers,
            ) as answer:
                body = await answer.read()
                outcome = answer.headers.get(outcomes.OUTCOME_HEADER, '')
                status = answer.status
        except (aiohttp.ClientError, TimeoutError):
            status, outcome, body = 0, '', b''
        return Reply(status, outcome, body, time.monotonic() - started)

    async def count_runs(self, key: str) -> int:
        """Return how often upstreams ran the order with this key."""
        total = 0
        for upstream in self.fleet.upstreams:
            async with self._session.get(
                f'http://{upstream.address}/-/report',
            ) as answer:
                report = await answer.json()
            total += report['runs'].get(f'{CALLER}/{key}', 0)
        return total

    async def set_mode(
        self,
        upstream: fleets.Process,
        mode: dict[str, typing.Any],
    ) -> None:
        """Set the faults of a fake upstream."""
        url = f'http://{upstream.address}/-/mode'
        async with self._session.put(url, json=mode) as answer:
            await answer.read()


def is_answered(reply: Reply) -> bool:
    """Tell whether the caller got an upstream's answer."""
    is_own = reply.outcome == outcomes.Outcome.UPSTREAM.value
    return reply.status == _OK and is_own


async def run_demonstration(folder: pathlib.Path) -> bool:
    """Run all steps in a folder and tell whether each held."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout,
        connector=connector,
    ) as session:
        with fleets.Fleet(folder) as fleet:
            demonstration = Demonstration(fleet, session)
            held = await demonstration.run()
    click.echo('\nstep                                          held  seconds')
    for one in demonstration.results:
        shown = 'yes' if one.held else 'NO'
        click.echo(f'{one.name:45} {shown:4} {one.seconds:8.2f}')
    return held


def main() -> None:
    """Run the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        held = asyncio.run(run_demonstration(pathlib.Path(folder)))
    sys.exit(0 if held else 1)


if __name__ == '__main__':
    main()
