"""Errors, messages, state and time of the caps of workspaces.

Run with ``python -m benchmarks.cap_measures``.
"""

import random
import time
import tracemalloc

from wagtailspread.core import identifiers
from wagtailspread.wire import messages
from wagtailspread.workspaces import caps, loans, presences, quotas
from wagtailspread.workspaces import scenarios, shares, simulations

RATES = (1, 10, 100, 1000)
SEEDS = (1, 2, 3)
#: Workspaces and hosts at the design size.
WORKSPACES = 77_000
HOSTS = 2400
TIMED_CALLS = 100_000
_MICROSECONDS = 1e6
_PERCENT = 100
_RATE = 100.0

Lines = list[str]


def measure_caps() -> Lines:
    """Return the lines of all measurements."""
    listed = scenarios.list_scenarios() + scenarios.list_alternatives()
    lines = [measure_errors(one, rate) for one in listed for rate in RATES]
    return [*lines, *measure_messages(), *measure_state()]


def measure_errors(scenario: simulations.Scenario, rate: int) -> str:
    """Return the line with the errors of a scenario.

    ``highest`` is the most requests in a window, ``above`` how many of them
    are beyond the bound, and ``missed`` the part refused below the cap. Each
    is the worst of several seeds.
    """
    cap = caps.Cap(float(rate), max(2.0, rate / 2), 1)
    limits = caps.Limits()
    bound = cap.rate * limits.window + cap.burst
    bound += limits.compute_allowance(cap)
    found = [simulations.simulate(scenario, cap, seed=one) for one in SEEDS]
    highest = max(one.find_highest(limits.window) for one in found)
    missed = max(one.missed / max(one.ideal, 1) for one in found)
    rows = max(one.rows / max(one.arrivals, 1) for one in found)
    return (
        f'cap-error {scenario.name}-{rate} highest={highest}'
        f' bound={bound:.0f} above={max(0, highest - int(bound))}'
        f' missed={missed * _PERCENT:.1f}% rows-per-request={rows:.3f}'
    )


def measure_messages() -> Lines:
    """Return the lines with the bytes that caps add to messages."""
    plain = messages.structs.PlaceRequest(request='1a2b3c4d5e.1f')
    limited = messages.structs.PlaceRequest(
        request='1a2b3c4d5e.1f',
        workspace='friolink',
        cap_rate=_RATE,
        cap_burst=_RATE,
        cap_version=1,
        fleet_hosts=HOSTS,
        interval_ms=200,
        elsewhere_ms=200,
    )
    ask = messages.structs.CapAsk(workspace=1, stamp_ms=1, millionths=1)
    loan = messages.structs.CapLoan(
        workspace=1, borrower='10.0.0.1:7000', stamp_ms=1, millionths=1
    )
    added = _count_bytes(limited) - _count_bytes(plain)
    return [
        f'cap-bytes place ours={added} unit=B',
        f'cap-bytes ask ours={_count_bytes(ask)} unit=B',
        f'cap-bytes loan ours={_count_bytes(loan)} unit=B',
    ]


def measure_state() -> Lines:
    """Return the lines with the state of active workspaces and the times."""
    contacts = {
        identifiers.HostId(f'host-{number}'): 0.0 for number in range(HOSTS)
    }
    host_shares = shares.create_shares(contacts, lambda: HOSTS)
    presence = presences.Presence(1.0, 0.2)
    for host in contacts:
        host_shares.record(host, presence, 0.0)
    rng = random.Random(1)
    table = quotas.create_quotas(
        caps.Limits(), caps.AllowancePart.REPLICA, host_shares, rng.random
    )
    tracemalloc.start()
    names = []
    for number in range(WORKSPACES):
        name = identifiers.WorkspaceName(f'workspace-{number}')
        names.append(name)
        table.admit(name, caps.Cap(_RATE + number, _RATE, 1), 0.0)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    lines = [
        f'cap-state workspace ours={used_bytes / WORKSPACES:.0f} unit=B',
        f'cap-time admit ours={_time_admissions(table, names):.2f} unit=us',
        f'cap-time refresh-{HOSTS}-hosts'
        f' ours={_time_refreshes(host_shares):.0f} unit=us',
        f'cap-time asks ours={_time_asks(table):.0f} unit=us',
    ]
    contacts.update(dict.fromkeys(contacts, 100.0))
    table.prune(100.0)
    lines.append(f'cap-state idle ours={len(table)} unit=workspaces')
    return lines


def _time_admissions(
    table: quotas.Quotas,
    names: list[identifiers.WorkspaceName],
) -> float:
    cap = caps.Cap(_RATE, _RATE, 1)
    started = time.process_time()
    for number in range(TIMED_CALLS):
        table.admit(names[number % 100], cap, 0.05)
    return (time.process_time() - started) / TIMED_CALLS * _MICROSECONDS


def _time_refreshes(host_shares: shares.HostShares) -> float:
    count = 100
    started = time.process_time()
    for number in range(count):
        host_shares.compute(1.0, 1.0 + number * shares.REFRESH_SECONDS * 1.5)
    return (time.process_time() - started) / count * _MICROSECONDS


def _time_asks(table: quotas.Quotas) -> float:
    started = time.process_time()
    asks = table.list_asks(0.1)
    if len(asks) > loans.MAX_ROWS:
        raise ValueError('more asks than a message may have')
    return (time.process_time() - started) * _MICROSECONDS


def _count_bytes(struct: messages.Struct) -> int:
    return len(messages.encode(struct))


if __name__ == '__main__':
    print('\n'.join(measure_caps()))  # noqa: WPS421
