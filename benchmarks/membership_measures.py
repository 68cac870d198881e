"""Traffic and detection time of the membership at several fleet sizes.

Agents run in memory and time is simulated, so that the results are
reproducible. Bytes are those of the frames that the driver would send: calls
and empty answers.

Run with ``python -m benchmarks.membership_measures``.
"""

import dataclasses
import statistics

from wagtailspread.core import identifiers
from wagtailspread.membership import (
    dissemination,
    drivers,
    simulations,
    tables,
)
from wagtailspread.wire import frames, messages

#: Numbers of hosts.
FLEETS = (10, 44, 200, 1000)
#: Length of the interval without changes that is measured, in seconds.
QUIET_SECONDS = 6.0
#: Time before this interval, in seconds, in which the rows of the starting
#: hosts reach all others.
WARM_UP_SECONDS = 6.0
#: Maximum time until all hosts have detected a crash, in seconds.
MAX_DETECTION_SECONDS = 10.0
SEED = 1


@dataclasses.dataclass(slots=True)
class Traffic:
    """Numbers of messages and bytes that were sent."""

    messages: int = 0
    bytes: int = 0

    def record(
        self,
        _source: identifiers.Address,
        outgoing: dissemination.OutgoingMessage,
    ) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes += measure_bytes(outgoing.message)


def measure_bytes(message: dissemination.Message) -> int:
    """Return the bytes of a call that carries a message, and its answer."""
    payload = messages.encode(drivers.encode_message(message))
    return _measure_frame(payload) + _measure_frame(
        messages.encode(messages.structs.Empty()),
    )


def _measure_frame(payload: bytes) -> int:
    envelope = messages.structs.Envelope(
        id=1,
        method=messages.methods.GOSSIP,
        payload=payload,
        deadline_ms=1000,
        trace='',
        failure='',
    )
    return len(frames.pack_frame(messages.encode(envelope)))


def measure_fleet(hosts: int) -> list[str]:
    """Return the lines for one fleet size."""
    network = simulations.create_converged_network(hosts, SEED)
    network.run(WARM_UP_SECONDS)
    traffic = Traffic()
    network.observer = traffic.record
    network.run(QUIET_SECONDS)
    network.observer = None
    host_seconds = hosts * QUIET_SECONDS
    delays = measure_crash(network, hosts)
    return [
        f'measure membership-{hosts}-messages'
        f' ours={traffic.messages / host_seconds:.2f} unit=1/s',
        f'measure membership-{hosts}-traffic'
        f' ours={traffic.bytes / host_seconds:.0f} unit=B/s',
        f'measure membership-{hosts}-crash-median'
        f' ours={statistics.median(delays):.2f} unit=s',
        f'measure membership-{hosts}-crash-last ours={max(delays):.2f} unit=s',
    ]


def measure_crash(
    network: simulations.Network,
    hosts: int,
) -> list[float]:
    """Return the detection times of a crash by the other hosts in seconds.

    A host that does not detect it counts with the maximum.
    """
    crashed = network.stop(hosts - 1).identity.host
    crash_time = network.now
    delays: dict[identifiers.Address, float] = {}

    def record_detections() -> bool:
        for address, agent in network.agents.items():
            row = agent.find(crashed)
            if row and row.state is tables.HostState.DEAD:
                delays.setdefault(address, network.now - crash_time)
        return len(delays) == len(network.agents)

    network.run(MAX_DETECTION_SECONDS, record_detections)
    undetected = len(network.agents) - len(delays)
    return list(delays.values()) + undetected * [MAX_DETECTION_SECONDS]


def measure_membership() -> list[str]:
    """Return the lines for all fleet sizes."""
    lines: list[str] = []
    for hosts in FLEETS:
        lines.extend(measure_fleet(hosts))
    return lines


if __name__ == '__main__':
    for line in measure_membership():
        print(line)
