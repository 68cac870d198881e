"""The cap on the requests of a workspace over all hosts.

>>> NO_CAP.is_limited, Cap(2.0, 5.0).is_limited
(False, True)
>>> round(Limits().compute_part(Cap(10.0, 30.0), AllowancePart.REPLICA), 6)
8.8
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Cap:
    """Maximum rate and burst of a workspace; a rate of 0 is no limit.

    :param rate: requests per second.
    :param burst: requests beyond the rate that may come at once.
    :param version: of the configuration that the cap comes from.
    """

    rate: float = 0.0
    burst: float = 0.0
    version: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate > 0


#: The cap of a request without a limit.
NO_CAP = Cap()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How far the requests of a window may exceed a cap.

    :param window: length of the window in seconds.
    :param overage: part of the requests of the window.
    :param slack: fixed number of requests in addition.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def compute_allowance(self, cap: Cap) -> float:
        """Return the number of requests that a window may have beyond a cap."""
        return self.overage * (cap.rate * self.window + cap.burst) + self.slack

    def compute_part(self, cap: Cap, part: 'AllowancePart') -> float:
        """Return a part of what a window may have beyond a cap.

        Of the overage only a quarter of the part is used: it grows with the
        cap, and large caps were exceeded while hosts and allocators restarted.
        """
        overage = self.overage * (cap.rate * self.window + cap.burst)
        return part.value * (self.slack + USED_OVERAGE * overage)


#: Factor for the part of the overage that is used.
USED_OVERAGE = 0.25


class AllowancePart(enum.Enum):
    """Part of the allowance by kind of process that admits requests.

    All kinds may admit requests at the same time.
    """

    #: The allocators on replicas.
    REPLICA = 0.4
    #: The substitute allocators on hosts.
    SUBSTITUTE = 0.1
    #: Hosts that decide alone.
    HOST = 0.2
    #: Hosts that two allocators count for a short time, see
    #: :func:`wagtailspread.workspaces.shares.compute_silence`.
    OVERLAP = 0.3
