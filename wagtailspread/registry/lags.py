"""Lag of a host behind the newest configuration that replicas reported.

>>> lag = create_lag()
>>> lag.record_answer(version=5, now=1.0), lag.record_answer(version=5, now=2.0)
(True, False)
>>> lag.describe(3.0)['behind_seconds']
2.0
>>> lag.record_active_version(5)
>>> lag.is_behind
False
"""

import typing

from wagtailspread.configuration import documents

#: The active version counts as the newest while the last answer of an
#: up-to-date replica is at most this old, in seconds. An answer arrives every
#: 0.7 s at the latest, and its call times out after 1.1 s. With 0.4 s of
#: transmission and 0.5 s at the replica, the total is 2 s, the maximum that
#: the platform allows.
MAX_CONFIRMATION_AGE_SECONDS = 1.1
#: Time after which a version that is known to be replaced must not be applied
#: any more, in seconds: the maximum that the platform allows.
MAX_OBSOLETE_SECONDS = 2.0


class VersionLag:
    """Compares the versions reported by replicas with that active on a host.

    Use :func:`create_lag`.

    :param newest_version: highest version that a replica reported.
    :param active_version: version that this host applies to requests.
    """

    def __init__(self) -> None:
        """Start without a version and without an answer."""
        self.newest_version = documents.NO_VERSION
        self.active_version = documents.NO_VERSION
        self._behind_since: float | None = None
        self._answered_at: float | None = None
        self._confirmed_at: float | None = None
        self._current_at: float | None = None

    @property
    def is_behind(self) -> bool:
        """Whether a replica reported a newer version than the active one."""
        return self.newest_version > self.active_version

    def is_current(self, now: float) -> bool:
        """Tell whether the active version was confirmed recently.

        No newer version can then have been in force in the fleet for longer
        than the 2 s that the platform allows.
        """
        if self.is_behind or self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= MAX_CONFIRMATION_AGE_SECONDS

    def is_obsolete(self, now: float) -> bool:
        """Tell whether the active version must not be applied any more.

        A host that has lost all replicas applies its version, since it may be
        the newest. Once it hears of a newer one, that may have been in force
        since the last answer that confirmed the active version.
        """
        if not self.is_behind:
            return False
        if self._current_at is None:
            return True
        return now - self._current_at > MAX_OBSOLETE_SECONDS

    def was_confirmed_since(self, start: float) -> bool:
        """Tell whether the active version was the newest one after ``start``.

        :param start: time of the host's clock, in seconds.
        """
        return self._current_at is not None and self._current_at >= start

    def record_answer(
        self, version: int, now: float, *, is_up_to_date: bool = True
    ) -> bool:
        """Record the version in an answer of a replica.

        :param version: version that the replica reported.
        :param now: time of the host's clock, in seconds.
        :param is_up_to_date: whether the replica has applied all entries that
            were committed recently.
        :returns: whether ``version`` is higher than all versions reported
            before and than the active one.
        """
        is_new = version > self.newest_version
        self.newest_version = max(version, self.newest_version)
        self._answered_at = now
        if is_up_to_date:
            self._confirmed_at = now
            if not self.is_behind:
                self._current_at = now
        if self.is_behind and self._behind_since is None:
            self._behind_since = now
        return is_new and self.is_behind

    def record_active_version(self, version: int) -> None:
        """Record the version that is active from now on."""
        self.active_version = version
        if not self.is_behind and self._answered_at is not None:
            self._current_at = self._answered_at
        if not self.is_behind:
            self._behind_since = None

    def describe(self, now: float) -> dict[str, typing.Any]:
        """Return the fields of a log line.

        ``unanswered_seconds`` is the time since the last answer of a replica.
        Versions that were committed since then are not known here.
        """
        return {
            'configuration_version': self.active_version,
            'heard_version': self.newest_version,
            'behind_seconds': _measure(self._behind_since, now) or 0.0,
            'unanswered_seconds': _measure(self._answered_at, now),
        }


def create_lag() -> VersionLag:
    """Return a lag without a version or an answer."""
    return VersionLag()


def _measure(since: float | None, now: float) -> float | None:
    return None if since is None else round(now - since, 3)
