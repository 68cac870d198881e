"""What callers and upstreams saw, and the promises checked against it."""

import bisect
import collections
import dataclasses
import enum

#: Time after SIGTERM up to which a request may be cut near the end, in seconds.
EXCUSED_SECONDS = 3.0
#: Part of the stop in which such a request may be cut.
EXCUSED_SHARE = 5 / 6
#: Time after its last byte up to which an unread request may end without an
#: answer, in seconds.
LOSS_SLACK_SECONDS = 0.2
#: Time after its limit up to which a request must have ended, in seconds.
LATE_SECONDS = 0.5
#: Time after the confirmation of a departure from which the upstream gets no
#: request, in seconds.
DRAIN_SECONDS = 2.0
#: Length and distance of the windows in which upstreams must be used, in
#: seconds, the least share of the sound ones that must be, and the requests for
#: each of them from which that holds.
WINDOW_SECONDS = 2.0
WINDOW_STEP_SECONDS = 0.5
MIN_USED_SHARE = 0.7
MIN_REQUESTS_EACH = 3
#: Number of cases of a kind that the platform tolerates in a run.
TOLERATED_REPEATS = 3
_NO_ROUTE = 404
NOT_RUN = frozenset((408, 421, 429, 503))


class Ending(enum.Enum):
    """How the work of an upstream on a request ended."""

    OPEN = 'open'
    ANSWERED = 'answered'
    DROPPED = 'dropped'
    REFUSED = 'refused'


class Fault(enum.Enum):
    """A promise that was broken."""

    CUT = 'a planned stop cut a request at work'
    CLOSED = 'a connection ended without an answer'
    FALSE_REFUSAL = 'a refused request ran'
    REPEATED = 'an order ran twice'
    MIXED = 'an answer of another request'
    LATE = 'no answer in time'
    TOO_MANY = 'more upstreams than attempts'
    DRAINED = 'a request reached an upstream that leaves'
    STALE = 'a host does not know a confirmed route'
    LOST_CHANGE = 'a confirmed configuration is gone'
    IDLE = 'too many sound upstreams got no request'


@dataclasses.dataclass(slots=True)
class Arrival:
    """One request at an upstream; times in seconds since the start."""

    upstream: str
    at: float
    ending: Ending = Ending.OPEN
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller; times in seconds since the start.

    :param limit: time that the caller and the route allow, in seconds.
    :param status: 0 until an answer came, and if none came.
    """

    name: str
    host: int
    is_order: bool
    sent_at: float
    limit: float
    status: int = 0
    ended_at: float | None = None
    is_own: bool = True


@dataclasses.dataclass(slots=True)
class Disruption:
    """A signal to a process; times in seconds since the start."""

    is_planned: bool
    started_at: float
    ended_at: float


class Ledger:
    """Attempts, arrivals and disruptions of one run."""

    def __init__(self, grace, contact, max_attempts):
        """Start empty.

        :param grace: maximum duration of a stop, in seconds.
        :param contact: time after an unplanned disruption in which promises
            with a time bound do not hold, in seconds.
        """
        self.attempts = {}
        self.arrivals = collections.defaultdict(list)
        self.disruptions = collections.defaultdict(list)
        self.failed_changes = 0
        #: Times at which departures were confirmed, by upstream.
        self.departures = {}
        #: Times from and up to which an upstream is in order, by upstream.
        self.presences = {}
        self._grace = grace
        self._contact = contact
        self._max_attempts = max_attempts

    def find_faults(self):
        """Return the attempts that broke a promise, by fault."""
        faults = collections.defaultdict(list)
        for attempt in self.attempts.values():
            for fault in self._check(attempt):
                faults[fault].append(attempt)
        return dict(faults)

    def find_idle(self, until):
        """Return the windows in which too few sound upstreams were used.

        An upstream is sound if it has been in order for twice the contact time.
        Windows within the contact time after an unplanned disruption are left
        out.

        :returns: for each window its start, and the upstreams without requests.
        """
        arrivals = sorted(
            (one.at, one.upstream)
            for listed in self.arrivals.values()
            for one in listed
        )
        windows = []
        at = 0.0
        while at + WINDOW_SECONDS <= until:
            idle = self._find_idle(arrivals, at, at + WINDOW_SECONDS)
            if idle:
                windows.append((at, sorted(idle)))
            at += WINDOW_STEP_SECONDS
        return windows

    def _find_idle(self, arrivals, start, end):
        """Return the idle sound upstreams of a window, if too many."""
        if self._has_disruption(start - self._contact, end):
            return set()
        sound = {
            name
            for name, (since, until) in self.presences.items()
            if since <= start - 2 * self._contact and until >= end
        }
        first = bisect.bisect_left(arrivals, (start, ''))
        last = bisect.bisect_left(arrivals, (end, ''))
        if last - first < MIN_REQUESTS_EACH * len(sound):
            return set()
        idle = sound - {upstream for _, upstream in arrivals[first:last]}
        is_met = len(sound) - len(idle) >= MIN_USED_SHARE * len(sound)
        return set() if is_met else idle

    def _check(self, attempt):
        arrivals = self.arrivals[attempt.name]
        runs = [one for one in arrivals if one.ending is not Ending.REFUSED]
        yield from self._check_runs(attempt, arrivals, runs)
        if attempt.ended_at is not None and not self._is_disturbed(attempt):
            yield from self._check_end(attempt, runs)
            if attempt.status == _NO_ROUTE:
                yield Fault.STALE
            if any(map(self._is_late_for_departure, runs)):
                yield Fault.DRAINED

    def _check_runs(self, attempt, arrivals, runs):
        if not attempt.is_own:
            yield Fault.MIXED
        if attempt.is_order and attempt.status in NOT_RUN and runs:
            yield Fault.FALSE_REFUSAL
        if attempt.is_order and len(runs) > 1:
            yield Fault.REPEATED
        if len({one.upstream for one in arrivals}) > self._max_attempts:
            yield Fault.TOO_MANY

    def _check_end(self, attempt, runs):
        taken = attempt.ended_at - attempt.sent_at
        if taken > attempt.limit + LATE_SECONDS:
            yield Fault.LATE
        if taken >= attempt.limit:
            return
        if not attempt.status and (runs or taken > LOSS_SLACK_SECONDS):
            yield Fault.CLOSED
        dropped = [one for one in runs if one.ending is Ending.DROPPED]
        if attempt.status >= 500 and dropped and not self._is_excused(attempt):
            yield Fault.CUT

    def _is_late_for_departure(self, arrival):
        """Tell whether an upstream that left got a request too late."""
        confirmed_at = self.departures.get(arrival.upstream, float('inf'))
        return arrival.at > confirmed_at + DRAIN_SECONDS

    def _is_disturbed(self, attempt):
        """Tell whether an unplanned disruption was near, at any process."""
        since = attempt.sent_at - self._contact
        return self._has_disruption(since, attempt.ended_at)

    def _has_disruption(self, since, until):
        """Tell whether an unplanned disruption was in a span of time."""
        return any(
            not one.is_planned
            and one.started_at <= until
            and one.ended_at >= since
            for listed in self.disruptions.values()
            for one in listed
        )

    def _is_excused(self, attempt):
        """Tell whether a stop may have cut a request that came early."""
        for one in self.disruptions[attempt.host]:
            came = attempt.sent_at - one.started_at
            cut = attempt.ended_at - one.started_at
            is_early = came <= EXCUSED_SECONDS
            if is_early and self._grace * EXCUSED_SHARE <= cut <= self._grace:
                return True
        return False
