"""Demonstration of a whole fleet of separate processes on loopback.

It starts replicas, entry hosts and fake upstreams, injects failures, and
prints the observations of each step and a summary table. All processes are
stopped at the end; the exit status is 0 only if all steps passed.

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
REQUESTS_PER_PATH = 40
CALLER = 'el-diario'
#: Maximum time until all hosts have applied a configuration, in seconds.
MAX_APPLY_SECONDS = 5.0
#: Maximum time until a frozen or failing upstream gets no requests, in seconds.
MAX_EJECTION_SECONDS = 4.0
_OK = 200
_TIMEOUT_SECONDS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """Result of a step, with the observations and its duration."""

    name: str
    passed: bool
    details: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a caller's request.

    :param status: HTTP status; 0 if the connection failed or timed out.
    """

    status: int
    outcome: str
    body: bytes
    seconds: float


#: Whether a step has passed, and what was observed.
StepOutcome = tuple[bool, str]


class Demonstration:
    """Runs the steps in order and collects their results."""

    def __init__(
        self, fleet: fleets.Fleet, session: aiohttp.ClientSession
    ) -> None:
        """Create a demonstration of a fleet that is not started yet."""
        self.results: list[StepResult] = []
        self.fleet = fleet
        self._session = session

    async def run(self) -> bool:
        """Run all steps and tell whether each has passed."""
        steps: list[
            tuple[str, typing.Callable[[], typing.Awaitable[StepOutcome]]]
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
            passed, details = await step()
            seconds = time.monotonic() - started
            self.results.append(StepResult(name, passed, details, seconds))
            click.echo(f'{"held" if passed else "FAILED":6} {name}: {details}')
        return all(one.passed for one in self.results)

    async def start_fleet(self) -> StepOutcome:
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

    async def send_all_priorities(self) -> StepOutcome:
        """Send requests of each priority through every host."""
        counts = []
        for path in PATHS:
            replies = await self.send_many(path)
            good = sum(is_answered(reply) for reply in replies)
            counts.append((path, good, len(replies)))
        passed = all(good == total for _, good, total in counts)
        return passed, ', '.join(f'{p} {g}/{n}' for p, g, n in counts)

    async def resend_order(self) -> StepOutcome:
        """Send one order through all hosts; upstreams must run it only once."""
        replies = [
            await self.send_order(entry, 'order-1')
            for entry in self.fleet.entries
        ]
        runs = await self.count_runs('order-1')
        bodies = {reply.body for reply in replies}
        is_same = len(bodies) == 1 and all(map(is_answered, replies))
        details = f'{len(replies)} sent, {len(bodies)} answer, {runs} run'
        return is_same and runs == 1, details

    async def submit_change(self) -> StepOutcome:
        """Submit a changed base file with the program itself."""
        changed = self.fleet.base_text.replace('floor = 50%', 'floor = 55%')
        return await self._submit(changed, 1)

    async def freeze_upstream(self) -> StepOutcome:
        """Freeze an upstream; after its ejection no caller may get an error."""
        frozen = self.fleet.upstreams[0]
        frozen.send_signal(signal.SIGSTOP)
        started = time.monotonic()
        failed = 0
        sent = 0
        while time.monotonic() - started < MAX_EJECTION_SECONDS:
            replies = await self.send_many(PATHS[0], 4)
            sent += len(replies)
            failed += sum(not is_answered(reply) for reply in replies)
        after = await self.send_many(PATHS[0])
        good = sum(is_answered(reply) for reply in after)
        frozen.send_signal(signal.SIGCONT)
        passed = good == len(after)
        return passed, (
            f'{failed} of {sent} failed in the first'
            f' {MAX_EJECTION_SECONDS:.0f} s,'
            f' then {good}/{len(after)} answered'
        )

    async def eject_gray_upstream(self) -> StepOutcome:
        """Let an upstream that still announces itself fail all requests."""
        gray = self.fleet.upstreams[4]
        await self.set_mode(gray, {'error_ratio': 1.0})
        started = time.monotonic()
        replies: list[Reply] = []
        evidence = ''
        while (
            time.monotonic() - started < MAX_EJECTION_SECONDS and not evidence
        ):
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
        """Return the evidence of an ejection, from the status of the owners.

        An ejection needs evidence from two failure domains. While only one
        has sent requests to the upstream, its path is blocked instead.
        """
        prefixes = (f'{upstream} ejected', f'{upstream} path-blocked')
        for entry in self.fleet.entries:
            status = await fleets.read_status(self._session, entry)
            for allocator in status.get('allocators', {}).values():
                for change in allocator['changes']:
                    if change.startswith(prefixes):
                        return str(change)
        return ''

    async def kill_entry(self) -> StepOutcome:
        """Kill an entry host; the others must take over its allocators."""
        killed = self.fleet.entries.pop(0)
        killed.send_signal(signal.SIGKILL)
        killed.wait()
        waited = await fleets.wait_until(self._is_serving)
        replies = await self.send_many(PATHS[0])
        good = sum(is_answered(reply) for reply in replies)
        passed = waited is not None and good == len(replies)
        return passed, f'{good}/{len(replies)} answered through the others'

    async def kill_replica(self) -> StepOutcome:
        """Kill a replica; the other two must accept changes and orders."""
        killed = self.fleet.replicas[0]
        killed.send_signal(signal.SIGKILL)
        killed.wait()
        changed = self.fleet.base_text.replace('floor = 50%', 'floor = 40%')
        is_accepted, details = await self._submit(changed, 2)
        order = await self.send_order(self.fleet.entries[0], 'order-2')
        resent = await self.send_order(self.fleet.entries[-1], 'order-2')
        runs = await self.count_runs('order-2')
        passed = is_accepted and is_answered(resent) and runs == 1
        return passed, f'{details}; order {order.status}, {runs} run'

    async def stop_entry(self) -> StepOutcome:
        """Stop a host with requests in flight; all must be answered."""
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
        passed = status == 0 and good == len(replies)
        return passed, (
            f'{good}/{len(replies)} in flight answered, exit status {status}'
        )

    async def _submit(self, text: str, based_on: int) -> StepOutcome:
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
        run = await asyncio.to_thread(
            subprocess.run,
            arguments,
            capture_output=True,
            check=False,
        )
        answered = time.monotonic() - started

        async def is_applied() -> bool:
            return await self._has_version(based_on + 1)

        waited = await fleets.wait_until(is_applied, MAX_APPLY_SECONDS)
        if run.returncode or waited is None:
            output = (run.stdout + run.stderr).decode()
            return False, f'status {run.returncode}: {output.strip()[-300:]}'
        return True, (
            f'version {based_on + 1} accepted after {answered:.1f} s (start of'
            f' the program included), on all hosts {waited:.2f} s later'
        )

    async def _has_version(self, version: int) -> bool:
        statuses = [
            await fleets.read_status(self._session, entry)
            for entry in self.fleet.entries
        ]
        return all(
            status.get('configuration_version', 0) >= version
            for status in statuses
        )

    async def _is_serving(self) -> bool:
        for entry in self.fleet.entries:
            for path in PATHS:
                if not is_answered(await self.send(entry, path)):
                    return False
        return True

    async def send_many(self, path: str, per_entry: int = 0) -> list[Reply]:
        """Send requests through all hosts concurrently.

        :param per_entry: 0 for an equal share of REQUESTS_PER_PATH.
        """
        count = per_entry or REQUESTS_PER_PATH // len(self.fleet.entries)
        return await asyncio.gather(
            *(
                self.send(entry, path)
                for entry in self.fleet.entries
                for _ in range(count)
            ),
        )

    async def send(self, entry: fleets.Process, path: str) -> Reply:
        """Send one GET request through a host."""
        return await self._request('GET', entry, path, {})

    async def send_order(self, entry: fleets.Process, key: str) -> Reply:
        """Send an order with an idempotency key through a host."""
        headers = {outcomes.KEY_HEADER: key, outcomes.CALLER_HEADER: CALLER}
        return await self._request('POST', entry, '/orders', headers)

    def start_order(
        self,
        entry: fleets.Process,
        key: str,
    ) -> asyncio.Task[Reply]:
        """Start sending an order; the task returns the reply."""
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
        """Return how many times the upstreams ran the order with this key."""
        total = 0
        for upstream in self.fleet.upstreams:
            async with self._session.get(
                f'http://{upstream.address}/-/report',
            ) as answer:
                report = await answer.json()
            total += report['runs'].get(f'{CALLER}/{key}', 0)
        return total

    async def set_mode(
        self, upstream: fleets.Process, mode: dict[str, typing.Any]
    ) -> None:
        """Change the given fields of a fake upstream's mode."""
        url = f'http://{upstream.address}/-/mode'
        async with self._session.put(url, json=mode) as answer:
            await answer.read()


def is_answered(reply: Reply) -> bool:
    """Tell whether the reply is a successful answer of an upstream."""
    is_from_upstream = reply.outcome == outcomes.Outcome.UPSTREAM.value
    return reply.status == _OK and is_from_upstream


async def run_demonstration(folder: pathlib.Path) -> bool:
    """Run all steps in a folder and tell whether each has passed."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        with fleets.Fleet(folder) as fleet:
            demonstration = Demonstration(fleet, session)
            passed = await demonstration.run()
    click.echo('\nstep                                          held  seconds')
    for one in demonstration.results:
        verdict = 'yes' if one.passed else 'NO'
        click.echo(f'{one.name:45} {verdict:4} {one.seconds:8.2f}')
    return passed


def main() -> None:
    """Run the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        passed = asyncio.run(run_demonstration(pathlib.Path(folder)))
    sys.exit(0 if passed else 1)


if __name__ == '__main__':
    main()
