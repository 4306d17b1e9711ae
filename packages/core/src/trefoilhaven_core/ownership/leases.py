"""An agent's knowledge of its own lease when it takes decisions."""

from typing import Final

# A longer time in seconds between two ticks means that the process was
# paused.
MAX_TICK_GAP_S: Final = 0.5

# Time in seconds within which the refusal of a heartbeat arrives after a
# pause, a start or a new term: four heartbeats, since some may be lost.
REFUSAL_WAIT_S: Final = 2.0


class LeaseState:
    """Lease and process pauses of one agent.

    An agent without a valid lease still admits flows while a majority of
    the witnesses is unavailable. After a pause it must wait first, because
    it may have been fenced and another agent may own its buckets.
    """

    def __init__(self) -> None:
        self._until = float('-inf')
        self._ticked_at: float | None = None
        self._resumed_at = float('-inf')

    def extend(self, until: float) -> None:
        """Set the end of the lease, in seconds of the monotonic clock."""
        self._until = until

    def revoke(self) -> None:
        """End the lease because the agent was fenced.

        The wait for refusals starts again, since the agent may be fenced
        under its new term before it has a lease.
        """
        self._until = float('-inf')
        self._ticked_at = None

    def tick(self, now: float) -> None:
        """Record that the process is running, and detect pauses."""
        if self._ticked_at is None or self._was_paused(now):
            self._resumed_at = now
        self._ticked_at = now

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self._until

    def may_decide(self, now: float) -> bool:
        """Return whether the agent may decide about unknown flows."""
        if self.is_valid(now):
            return True
        if self._ticked_at is None or self._was_paused(now):
            return False
        return now - self._resumed_at >= REFUSAL_WAIT_S

    def _was_paused(self, now: float) -> bool:
        ticked_at = self._ticked_at
        return ticked_at is not None and now - ticked_at > MAX_TICK_GAP_S
