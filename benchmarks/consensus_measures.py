"""Measures of the replicas: rate and latency of commits, and recovery.

Run with ``python -m benchmarks.consensus_measures``.
"""

import asyncio
import pathlib
import tempfile
import time

from hdrh import histogram

from wagtailspread.consensus import files, logs, messages
from wagtailspread.core import identifiers
from wagtailspread.replica import clients, machines
from wagtailspread.testing import machines as fake_machines
from wagtailspread.testing import replica_processes, replicas
from wagtailspread.wire import messages as wire_messages

#: Duration of each measured load.
LOAD_SECONDS = 2.0
#: Duration of one round of the load that fills the log.
FILL_SECONDS = 0.5
#: Numbers of clients; each submits its changes one after the other.
FEW_CLIENTS = 1
MANY_CLIENTS = 64
#: Number of replayed changes, and minimum number before the restart.
CHANGES = 10_000
_MICROSECONDS = 1_000_000
_MAX_LATENCY_MICROSECONDS = 60 * _MICROSECONDS


def measure_consensus() -> list[str]:
    """Return one line for each measure."""
    with tempfile.TemporaryDirectory() as folder:
        lines = asyncio.run(_measure_processes(pathlib.Path(folder)))
    with tempfile.TemporaryDirectory() as folder:
        lines.extend(_measure_replay(pathlib.Path(folder)))
    return lines


async def _measure_processes(folder: pathlib.Path) -> list[str]:
    fleet = replica_processes.ProcessReplicas(folder)
    fleet.start_all()
    try:
        await fleet.wait_for_status(lambda status: status['is_current'])
        lines = await _measure_clients(fleet, FEW_CLIENTS)
        lines.extend(await _measure_clients(fleet, MANY_CLIENTS))
        lines.append(await _measure_restart(fleet))
    finally:
        await fleet.close()
    return lines


async def _measure_clients(
    fleet: replica_processes.ProcessReplicas,
    count: int,
) -> list[str]:
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 3)
    started = time.perf_counter()
    until = started + LOAD_SECONDS
    loads = [
        _claim_keys(fleet.client, f'{count}-{number}', until, latencies)
        for number in range(count)
    ]
    await asyncio.gather(*loads)
    seconds = time.perf_counter() - started
    scenario = f'{count}-clients-3-replicas'
    rate = latencies.get_total_count() / seconds
    return [
        f'committed-changes {scenario} ours={rate:.0f} unit=changes/s',
        _format_latency(latencies, scenario, 50),
        _format_latency(latencies, scenario, 99),
    ]


async def _measure_restart(fleet: replica_processes.ProcessReplicas) -> str:
    """Kill a follower, and time its recovery after the restart.

    It has recovered when it has applied as many changes as the first replica
    had before the kill.
    """
    unused = histogram.HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 3)
    applied = 0
    while applied < CHANGES:
        until = time.perf_counter() + FILL_SECONDS
        loads = [
            _claim_keys(fleet.client, f'fill-{applied}-{number}', until, unused)
            for number in range(MANY_CLIENTS)
        ]
        await asyncio.gather(*loads)
        status = await fleet.read_status(fleet.addresses[0])
        applied = status.get('applied', 0)
    address = await fleet.wait_for_status(
        lambda status: status['role'] == 'follower',
    )
    fleet.kill(address)
    started = time.perf_counter()
    fleet.start(address)
    await fleet.wait_for_status(
        lambda status: (
            status['address'] == address and status['applied'] >= applied
        ),
    )
    seconds = time.perf_counter() - started
    return f'restart-process {CHANGES}-changes ours={seconds:.2f} unit=s'


async def _claim_keys(
    client: clients.ReplicaClient,
    name: str,
    until: float,
    latencies: histogram.HdrHistogram,
) -> None:
    number = 0
    while time.perf_counter() < until:
        number += 1
        request = wire_messages.structs.ClaimKey(
            service_name='contratos',
            caller='diario',
            key=f'{name}-{number}',
            attempt='1',
            host='host',
            deadline_ms=1000,
            fingerprint=b'',
        )
        started = time.perf_counter()
        (await client.claim_key(request, 10.0)).unwrap()
        latencies.record_value(
            int((time.perf_counter() - started) * _MICROSECONDS)
        )


def _format_latency(
    latencies: histogram.HdrHistogram,
    scenario: str,
    percentile: int,
) -> str:
    milliseconds = latencies.get_value_at_percentile(percentile) / 1000
    return f'commit-p{percentile} {scenario} ours={milliseconds:.2f} unit=ms'


def _measure_replay(folder: pathlib.Path) -> list[str]:
    """Time the recovery from the log alone, without a snapshot."""
    _write_changes(folder)
    started = time.perf_counter()
    stored = files.create_storage(folder).load().unwrap()
    machine = fake_machines.create_fake_machine()
    for entry in stored.log.read(_FIRST_INDEX, stored.log.last_index):
        machine.apply(entry.index, entry.payload)
    seconds = time.perf_counter() - started
    return [f'replay {CHANGES}-changes ours={seconds:.3f} unit=s']


def _write_changes(folder: pathlib.Path) -> None:
    store = files.create_storage(folder)
    store.load().unwrap()
    changed = wire_messages.structs.SubmittedFile(name='base', text='x' * 200)
    for number in range(1, CHANGES + 1):
        submission = wire_messages.structs.Submission(
            id=f'change-{number}',
            based_on=number - 1,
            files=[changed],
            member=replicas.MEMBER,
            signature=b'',
        )
        command = machines.encode_command(
            machines.CommandKind.SUBMIT,
            submission,
            float(number),
        )
        entry = messages.LogEntry(
            identifiers.LogIndex(number),
            identifiers.Term(1),
            messages.EntryKind.COMMAND,
            command,
        )
        store.write(messages.Output(entries=(entry,)))
    store.sync()
    store.close()


_FIRST_INDEX = identifiers.LogIndex(logs.EMPTY_SNAPSHOT.index + 1)


if __name__ == '__main__':
    for line in measure_consensus():
        print(line)
