"""Changes of health that the judge reports, with their typed reasons.

The status page and the logs show them; :meth:`HealthChange.describe` gives
one line for each.
"""

import dataclasses
import enum

from wagtailspread.core import identifiers


class HealthState(enum.Enum):
    """What an upstream, or a path to it, may be given."""

    #: The upstream gets work.
    HEALTHY = 'healthy'
    #: The upstream gets nothing but trial requests.
    EJECTED = 'ejected'
    #: One failure domain sends nothing to the upstream.
    PATH_BLOCKED = 'path-blocked'
    #: A blocked path gets work again.
    PATH_OPEN = 'path-open'


class Cause(enum.Enum):
    """Why a state changed."""

    #: More failures than the peers in the same window.
    FAILURES = 'failures'
    #: Successful answers take far longer than at the peers.
    SLOWNESS = 'slowness'
    #: Open requests outlast any that the peers answer.
    HANGING = 'hanging'
    #: Enough trial requests succeeded.
    TRIALS = 'trials'
    #: The capacity is below the floor without this upstream.
    FLOOR = 'floor'
    #: The allocator lost the votes of the region's hosts.
    VOTES_LOST = 'votes-lost'
    #: An earlier owner of the pair had ejected it.
    ADOPTED = 'adopted'
    #: The time of a path block is over.
    BLOCK_OVER = 'block-over'
    #: The upstream is no longer announced.
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """The evidence behind a change.

    :param samples: results in the window, weighted by age.
    :param failures: failed results among them.
    :param ratio: failures by samples, or the slow-down as a factor.
    :param peers_ratio: the same figure of the other upstreams.
    :param domains: failure domains that saw the fault.
    """

    cause: Cause
    samples: float = 0.0
    failures: float = 0.0
    ratio: float = 0.0
    peers_ratio: float = 0.0
    domains: tuple[identifiers.FailureDomain, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChange:
    """A new state of an upstream or of one path to it.

    :param domain: the failure domain of a path; ``None`` for the upstream.
    """

    upstream: identifiers.UpstreamId
    state: HealthState
    reason: Reason
    domain: identifiers.FailureDomain | None = None

    def describe(self) -> str:
        """Return one line for logs.

        >>> reason = Reason(Cause.FAILURES, 10.0, 9.0, 0.9, 0.01)
        >>> change = HealthChange('v1', HealthState.EJECTED, reason)
        >>> change.describe()
        'v1 ejected: failures, 9 of 10 (0.90, peers 0.01)'
        """
        reason = self.reason
        path = f' from {self.domain}' if self.domain else ''
        line = f'{self.upstream} {self.state.value}{path}: {reason.cause.value}'
        if not reason.samples:
            return line
        counts = f'{reason.failures:.0f} of {reason.samples:.0f}'
        ratios = f'{reason.ratio:.2f}, peers {reason.peers_ratio:.2f}'
        seen = f' seen by {" ".join(reason.domains)}' if reason.domains else ''
        return f'{line}, {counts} ({ratios}){seen}'
