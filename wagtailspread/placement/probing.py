"""Decides how much of the requests of a service tries idle upstreams.

A request that may be sent again costs only a retry if it fails, so such
requests try each upstream that may have recovered. The others keep a share of
the upstreams in use, and only a few of them go to one that is probably gray.

>>> limit = TrialLimit()
>>> limit.may_try('columns')
False
>>> for _ in range(40):
...     limit.record_request('columns', is_trial=False)
>>> limit.may_try('columns')
True
"""

import typing

from wagtailspread.core import identifiers

#: Time for which the floor ignores an upstream after one, and after more
#: failures in a row, in seconds. The operators' platform counts an upstream as
#: sound 2 s after a failure of its own; isolated errors do not come in a row.
COOLDOWN_SECONDS = (2.0, 4.0)
#: The same for all upstreams while the service is strained.
STRAINED_COOLDOWN_SECONDS = (2.0, 6.0)
#: The same for requests that may be sent again.
REPEATABLE_COOLDOWN_SECONDS = (2.0,)
#: Probability of being sound from which an upstream counts in full. The share
#: in use must hold whichever of the suspect upstreams have recovered, not only
#: on average.
MIN_SOUND_PROBABILITY = 1 / 3
#: The same for requests that may be sent again.
MIN_REPEATABLE_PROBABILITY = 1 / 5
#: Probability of being sound below which a request to an idle upstream counts
#: as a trial.
MIN_LIKELY_PROBABILITY = 0.6
#: Maximum share of trials among the requests of a service. Those that may be
#: sent again are not limited.
MAX_TRIAL_SHARE = 0.03
#: Maximum number of trials in a row.
MAX_TRIAL_CREDIT = 4.0
#: Share of the upstreams that may be sound and stay in use. It exceeds the
#: floor, which holds for the sound ones among them, whichever these are.
USED_SHARE = 0.83
#: The same for requests that may be sent again.
REPEATABLE_USED_SHARE = 1.0
#: The same while the service is strained.
STRAINED_USED_SHARE = 1.0


class Policy(typing.NamedTuple):
    """How much a kind of requests is used to try upstreams.

    :param used_share: share in use of the upstreams that may be sound.
    :param min_sound_probability: from which an upstream may be sound.
    :param cooldowns: seconds by the number of failures in a row.
    """

    used_share: float
    min_sound_probability: float
    cooldowns: tuple[float, ...]

    def find_cooldown(self, failures: int) -> float:
        """Return the seconds after a failure in which nothing is tried.

        :param failures: number of failures in a row.
        """
        index = min(max(failures, 1), len(self.cooldowns)) - 1
        return self.cooldowns[index]


UNSAFE = Policy(USED_SHARE, MIN_SOUND_PROBABILITY, COOLDOWN_SECONDS)
STRAINED = Policy(STRAINED_USED_SHARE, MIN_SOUND_PROBABILITY, COOLDOWN_SECONDS)
REPEATABLE = Policy(
    REPEATABLE_USED_SHARE,
    MIN_REPEATABLE_PROBABILITY,
    REPEATABLE_COOLDOWN_SECONDS,
)


class TrialLimit:
    """Limits trials to a share of the requests of each service."""

    def __init__(self) -> None:
        """Allow no trials before the first requests."""
        self._credits: dict[identifiers.ServiceName, float] = {}

    def record_request(
        self, service: identifiers.ServiceName, *, is_trial: bool
    ) -> None:
        """Record a request, which allows a part of a trial or is one."""
        known = self._credits.get(service, 0.0)
        credit = known + MAX_TRIAL_SHARE - is_trial
        self._credits[service] = min(max(credit, 0.0), MAX_TRIAL_CREDIT)

    def may_try(self, service: identifiers.ServiceName) -> bool:
        """Tell whether the next request may be a trial."""
        return self._credits.get(service, 0.0) >= 1
