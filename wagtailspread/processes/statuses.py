"""Status of an entry host, as a dictionary that JSON can represent."""

import typing

from wagtailspread.configuration import schemas
from wagtailspread.core import identifiers, priorities
from wagtailspread.wire import frames

if typing.TYPE_CHECKING:
    from wagtailspread.processes import entries

#: Maximum number of workspaces whose names a status shows.
MAX_NAMES = 100

Report = dict[str, typing.Any]


def describe_host(host: 'entries.EntryProcess', now: float) -> Report:
    """Return the version, the hosts and the allocators that the host owns.

    :param now: monotonic time in seconds.
    """
    return {
        'is_current': host.is_current(),
        'configuration_version': host.copy.version,
        'workspaces': describe_workspaces(host.copy.settings),
        'control_bytes': {
            'sent': frames.TRAFFIC.sent,
            'received': frames.TRAFFIC.received,
        },
        'hosts': [
            {
                'host': row.host,
                'address': row.address,
                'region': row.region,
                'domain': row.domain,
                'state': row.state.value,
                'incarnation': row.incarnation,
            }
            for row in host.agent.list_members()
        ],
        'allocators': {
            service: _describe_allocator(host, service, now)
            for service in sorted(host.factory.owned)
        },
    }


def describe_workspaces(settings: schemas.Settings | None) -> Report:
    """Return the names of some workspaces, and numbers; no digests."""
    workspaces = settings.workspaces if settings else ()
    return {
        'count': len(workspaces),
        'keys': sum(len(one.digests) for one in workspaces),
        'names': [one.name for one in workspaces[:MAX_NAMES]],
    }


def _describe_allocator(
    host: 'entries.EntryProcess',
    service: identifiers.ServiceName,
    now: float,
) -> Report:
    owned = host.factory.owned[service]
    coordinator, judge = owned.coordinator, owned.judge
    ejected = set(judge.find_ejected())
    return {
        'upstreams': [
            {
                'upstream': row.upstream,
                'address': row.address,
                'domain': row.domain,
                'slots': row.slots,
                'usable': row.usable,
                'in_use': row.in_use,
                'is_active': row.check_active(now),
                'is_ejected': row.upstream in ejected,
            }
            for row in coordinator.list_rows(now)
        ],
        'votes': judge.authority.count_votes(now),
        'holds_votes': judge.authority.holds_votes(now),
        'queues': {
            priority.name.lower(): coordinator.queues.counts[priority]
            for priority in priorities.Priority
        },
        'changes': [change.describe() for change in judge.changes],
    }
