"""Effective settings of a site, as immutable data classes.

:mod:`wagtailspread.configuration.checks` creates new ones for each
version of the configuration.
"""

import dataclasses
import typing

from wagtailspread.core import identifiers, priorities
from wagtailspread.routing import terms

#: Name of the base file in submissions and deltas.
BASE_FILE = 'base.ini'
#: File of the members in force, which the replicas generate.
MEMBERS_FILE = 'members.ini'
OVERLAY_PREFIX = 'overlay-'
FILE_SUFFIX = '.ini'

ByPriorityShares = tuple[float, float, float]
ByPriorityCounts = tuple[int, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Limits of one service at one site.

    Tuples have one item per priority, most urgent first.

    :param floor: minimum share of the slots that ejections leave healthy, 0 to
        1.
    :param shares: shares of the slots; their sum is at most 1.
    :param queue_limits: maximum numbers of queued requests.
    :param deadline: seconds; used if the caller sends no deadline.
    :param max_body: maximum size of a request body in bytes.
    :param warm_up: seconds until a cold upstream has all its slots.
    :param retry_share: maximum ratio of retries to first attempts, 0 to 1.
    :param quarantine: seconds for which a poison request is refused.
    :param key_lifetime: seconds until an idempotency key expires.
    """

    name: identifiers.ServiceName
    floor: float
    shares: ByPriorityShares
    queue_limits: ByPriorityCounts
    deadline: float
    max_body: int
    warm_up: float
    retry_share: float
    quarantine: float
    key_lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSettings:
    """A mapping from a path prefix and methods to a service.

    :param path_prefix: prefix of whole path segments, such as ``/columns``.
    :param methods: HTTP methods in upper case.
    :param is_idempotent: whether a request may run more than once; if not,
        callers must send an idempotency key.
    """

    name: str
    service: identifiers.ServiceName
    path_prefix: str
    methods: tuple[str, ...]
    priority: priorities.Priority
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RegionSettings:
    """One region.

    :param hosts: number of configured hosts; a quorum is a majority of them.
    :param link_bytes: bandwidth to the other region in bytes per second.
    :param tie_breaker: host whose vote decides if exactly half of the hosts
        vote; empty for none.
    """

    name: identifiers.RegionName
    domains: tuple[identifiers.FailureDomain, ...]
    hosts: int
    link_bytes: float
    tie_breaker: identifiers.HostId = identifiers.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSettings:
    """One member: a site with a key.

    :param public_key: raw Ed25519 public key, 32 bytes.
    """

    name: identifiers.MemberId
    public_key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The effective settings of one site.

    The mappings are in the order of the base file and must not be changed.

    :param members: the members in force, without candidates.
    :param fleet: name of the fleet.
    :param workspaces: if there are any, requests need a key.
    """

    services: typing.Mapping[identifiers.ServiceName, ServiceSettings]
    routes: tuple[RouteSettings, ...]
    regions: typing.Mapping[identifiers.RegionName, RegionSettings]
    members: typing.Mapping[identifiers.MemberId, MemberSettings]
    fleet: str = ''
    workspaces: tuple[terms.Workspace, ...] = ()


def overlay_name(member: identifiers.MemberId) -> str:
    """Return the file name of a member's overlay.

    >>> overlay_name(identifiers.MemberId('andino'))
    'overlay-andino.ini'
    """
    return f'{OVERLAY_PREFIX}{member}{FILE_SUFFIX}'


def overlay_member(file_name: str) -> identifiers.MemberId | None:
    """Return the member whose overlay has this file name.

    :returns: the member, or ``None`` if this is no name of an overlay.

    >>> overlay_member('overlay-andino.ini')
    'andino'
    >>> overlay_member('base.ini') is None
    True
    """
    if not file_name.startswith(OVERLAY_PREFIX):
        return None
    if not file_name.endswith(FILE_SUFFIX):
        return None
    member = file_name[len(OVERLAY_PREFIX) : -len(FILE_SUFFIX)]
    return identifiers.MemberId(member)
