"""The cap on the requests of a workspace over all hosts.

>>> NO_CAP.is_limited, Cap(2.0, 5.0).is_limited
(False, True)
"""

import dataclasses


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
