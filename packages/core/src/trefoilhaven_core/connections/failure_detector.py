"""Detection of agents that have failed permanently.

When a host fails permanently, its agent fails too and nobody announces the
end of the target. A balancer may infer the failure from missing reports
only while it receives reports from other agents: after a pause of its own
process or a network partition, all agents seem silent.
"""

from collections.abc import Sequence
from typing import Final

# An agent that sends nothing for this time, in seconds, has failed. A
# planned restart of an agent takes less than 3 s.
FAILURE_TIMEOUT_S: Final = 4.0

# A balancer counts as connected while it has heard at least this share of
# the agents within the recent period, in seconds.
MIN_HEARD_SHARE: Final = 0.5
RECENTLY_HEARD_S: Final = 2.0

# Time between two checks, and the gap between checks that indicates a pause
# of the process, in seconds.
CHECK_INTERVAL_S: Final = 0.25
MAX_CHECK_GAP_S: Final = 1.0


class AgentFailureDetector:
    """Decides whether a silent agent has failed.

    ``report_s`` is the interval between two reports of an agent in another
    failure domain; it grows with the fleet. Times are in seconds.
    """

    def __init__(self) -> None:
        self.report_s = 0.0
        self._checked_at: float | None = None
        self._connected_since: float | None = None

    def is_due(self, now: float) -> bool:
        """Return whether the next check is due."""
        return (
            self._checked_at is None
            or now - self._checked_at >= CHECK_INTERVAL_S
        )

    def observe(self, now: float, silences: Sequence[float]) -> None:
        """Check the time since the last report of each agent."""
        checked_at = self._checked_at
        self._checked_at = now
        if checked_at is not None and now - checked_at > MAX_CHECK_GAP_S:
            self._connected_since = None
        recent_s = max(RECENTLY_HEARD_S, 2 * self.report_s)
        heard = sum(silent_s < recent_s for silent_s in silences)
        if not silences or heard < MIN_HEARD_SHARE * len(silences):
            self._connected_since = None
        elif self._connected_since is None:
            self._connected_since = now

    def is_connected(self, now: float) -> bool:
        """Return whether agents have been heard for the whole timeout."""
        return self._connected_s(now) >= self._timeout_s

    def has_failed(
        self, now: float, silent_s: float, unanswered_s: float = 0
    ) -> bool:
        """Return whether an agent has failed.

        It has sent no report for ``silent_s``, or has left queries unanswered
        for ``unanswered_s``. A balancer that has queried an agent need not
        wait for several report intervals, which grow with the fleet.
        """
        if silent_s >= self._timeout_s:
            return self.is_connected(now)
        least_s = min(silent_s, unanswered_s, self._connected_s(now))
        return least_s >= FAILURE_TIMEOUT_S

    @property
    def _timeout_s(self) -> float:
        return max(FAILURE_TIMEOUT_S, 3 * self.report_s)

    def _connected_s(self, now: float) -> float:
        """Return for how long agents have been heard, 0 after a pause."""
        since = self._connected_since
        if since is None or self._checked_at is None:
            return 0.0
        is_awake = now - self._checked_at <= MAX_CHECK_GAP_S
        return now - since if is_awake else 0.0
