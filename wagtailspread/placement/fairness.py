"""Start-time fair queueing among the workspaces of one service.

Each request has a start tag in a virtual time, which is the larger of the
virtual time and the end of the last request of its workspace. The virtual time
is the largest tag that was served. So a workspace that sends much has later
tags than one that sends little, and one that was idle gets no credit. With one
workspace the order does not change.

>>> clock = create_clock()
>>> clock.start('large', 4.0), clock.start('large', 4.0)
(0.0, 4.0)
>>> clock.start('small', 1.0)
0.0

Reference: P. Goyal, H. Vin, H. Cheng, Start-time Fair Queueing, 1996.
"""

from wagtailspread.core import identifiers


class FairClock:
    """Virtual time and tags of one service. Use :func:`create_clock`."""

    def __init__(self) -> None:
        """Start at the virtual time 0."""
        self.now = 0.0
        self._ends: dict[identifiers.WorkspaceName, float] = {}
        self._waiting: dict[identifiers.WorkspaceName, int] = {}

    @property
    def active(self) -> int:
        """Number of workspaces with queued requests."""
        return len(self._waiting)

    def peek(self, workspace: identifiers.WorkspaceName) -> float:
        """Return the start tag that the next request would have."""
        return max(self.now, self._ends.get(workspace, 0.0))

    def start(self, workspace: identifiers.WorkspaceName, work: float) -> float:
        """Return the start tag of a request that is queued."""
        tag = self.peek(workspace)
        self._ends[workspace] = tag + work
        return tag

    def serve(self, tag: float) -> None:
        """Record that a request with this tag is served."""
        self.now = max(self.now, tag)

    def withdraw(
        self, workspace: identifiers.WorkspaceName, work: float
    ) -> None:
        """Record that a queued request was refused after all."""
        if workspace in self._ends:
            self._ends[workspace] -= work

    def add_waiting(self, workspace: identifiers.WorkspaceName) -> None:
        """Count a queued request."""
        self._waiting[workspace] = self._waiting.get(workspace, 0) + 1

    def remove_waiting(self, workspace: identifiers.WorkspaceName) -> None:
        """Count a request that left the queue."""
        left = self._waiting.get(workspace, 0) - 1
        if left > 0:
            self._waiting[workspace] = left
        else:
            self._waiting.pop(workspace, None)

    def reset(self) -> None:
        """Treat all workspaces alike, since nothing is queued any more."""
        self.now = 0.0
        self._ends.clear()
        self._waiting.clear()


def create_clock() -> FairClock:
    """Return a clock without workspaces."""
    return FairClock()
