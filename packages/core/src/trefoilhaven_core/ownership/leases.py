"""What an agent knows about its own lease when it decides."""

from typing import Final

# A longer time between two ticks means that the process was paused.
MAX_TICK_GAP_S: Final = 0.5

# Time in which a refused heartbeat arrives after a pause, a start or a
# raised term: four heartbeats, since some are lost.
REFUSAL_WAIT_S: Final = 2.0


class LeaseState:
    """Own lease and pauses of one agent.

    An agent without a valid lease still admits flows while a majority of
    the witnesses is gone. After a pause it must wait, because it may have
    been fenced and another agent may own its buckets.
    """

    def __init__(self) -> None:
        """Start without a lease."""
        self._until = float('-inf')
        self._ticked_at: float | None = None
        self._resumed_at = float('-inf')

    def extend(self, until: float) -> None:
        """Note the end of the lease, on the agent's monotonic clock."""
        self._until = until

    def revoke(self) -> None:
        """Note that the agent was fenced.

        It may be fenced again under its new term before it has a lease.
        """
        self._until = float('-inf')
        self._ticked_at = None

    def tick(self, now: float) -> None:
        """Note that the process is running."""
        if self._ticked_at is None or self._was_paused(now):
            self._resumed_at = now
        self._ticked_at = now

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self._until

    def may_decide(self, now: float) -> bool:
        """Return whether the agent may decide about unknown flows now."""
        if self.is_valid(now):
            return True
        if self._ticked_at is None or self._was_paused(now):
            return False
        return now - self._resumed_at >= REFUSAL_WAIT_S

    def _was_paused(self, now: float) -> bool:
        ticked_at = self._ticked_at
        return ticked_at is not None and now - ticked_at > MAX_TICK_GAP_S
