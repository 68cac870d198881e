"""Changes of health that the judge reports, with their reasons.

They appear on the status page and in the logs, where each one has the line of
:meth:`HealthChange.describe`.
"""

import dataclasses
import enum

from wagtailspread.core import identifiers


class HealthState(enum.Enum):
    """State of an upstream or of a path to it."""

    #: The upstream gets ordinary requests.
    HEALTHY = 'healthy'
    #: The upstream gets only trial requests.
    EJECTED = 'ejected'
    #: One failure domain sends no requests to the upstream.
    PATH_BLOCKED = 'path-blocked'
    #: A path that was blocked is used again.
    PATH_OPEN = 'path-open'


class Cause(enum.Enum):
    """Cause of a change of state."""

    #: More failures than the peers in the same window.
    FAILURES = 'failures'
    #: Much slower successful answers than the peers.
    SLOWNESS = 'slowness'
    #: Open requests that are older than nearly any answered by the peers.
    HANGING = 'hanging'
    #: Enough trial requests succeeded.
    TRIALS = 'trials'
    #: The capacity is below the floor without this upstream.
    FLOOR = 'floor'
    #: The allocator lost the majority of the hosts' votes.
    VOTES_LOST = 'votes-lost'
    #: A previous owner had ejected the upstream.
    ADOPTED = 'adopted'
    #: The block of a path has expired.
    BLOCK_OVER = 'block-over'
    #: The upstream is no longer announced.
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """Cause of a change, with the evidence for it.

    :param samples: results in the window, weighted by age.
    :param failures: failures among them.
    :param ratio: ratio of failures to samples, or the factor of slowness.
    :param peers_ratio: the same value of the other upstreams.
    :param domains: failure domains in which the fault was seen.
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

    :param domain: failure domain of the path; ``None`` for the upstream.
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
