"""Traffic and detection time of the membership at several fleet sizes.

Run with ``python -m benchmarks.membership_measures``. Agents are in memory
and time is simulated, so that the figures repeat exactly; bytes are those of
the frames that the driver would send, calls and empty answers.
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

#: Sizes of the fleets.
FLEETS = (10, 44, 200, 1000)
#: Time that is measured without changes, in seconds.
QUIET_SECONDS = 6.0
#: Time before that, until the starting hosts' own rows are spread, seconds.
WARM_UP_SECONDS = 6.0
#: Longest wait for a crash to be known to all, in seconds.
CRASH_SECONDS = 10.0
SEED = 1


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and bytes that were sent."""

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
    """Return the lines for one size of the fleet."""
    network = simulations.create_converged_network(hosts, SEED)
    network.run(WARM_UP_SECONDS)
    traffic = Traffic()
    network.observer = traffic.record
    network.run(QUIET_SECONDS)
    network.observer = None
    share = hosts * QUIET_SECONDS
    known = measure_crash(network, hosts)
    return [
        f'measure membership-{hosts}-messages'
        f' ours={traffic.messages / share:.2f} unit=1/s',
        f'measure membership-{hosts}-traffic'
        f' ours={traffic.bytes / share:.0f} unit=B/s',
        f'measure membership-{hosts}-crash-median'
        f' ours={statistics.median(known):.2f} unit=s',
        f'measure membership-{hosts}-crash-last ours={max(known):.2f} unit=s',
    ]


def measure_crash(
    network: simulations.Network,
    hosts: int,
) -> list[float]:
    """Return when each other host knew of a crash, in seconds after it."""
    victim = network.stop(hosts - 1).identity.host
    start = network.now
    known: dict[identifiers.Address, float] = {}

    def note() -> bool:
        for address, agent in network.agents.items():
            row = agent.find(victim)
            if row and row.state is tables.HostState.DEAD:
                known.setdefault(address, network.now - start)
        return len(known) == len(network.agents)

    network.run(CRASH_SECONDS, note)
    missing = len(network.agents) - len(known)
    return list(known.values()) + missing * [CRASH_SECONDS]


def measure_membership() -> list[str]:
    """Return the lines for all sizes."""
    lines: list[str] = []
    for hosts in FLEETS:
        lines.extend(measure_fleet(hosts))
    return lines


if __name__ == '__main__':
    for line in measure_membership():
        print(line)
