"""Which targets a balancer may take as gone for good.

A host that fails for good takes its agent with it, and nobody announces
the end of its target. A balancer may conclude it from silence only while
it hears the others: after a pause or a cut of its own, all are silent.
"""

from collections.abc import Sequence
from typing import Final

# An agent that is silent for this time, in seconds, is gone. The planned
# restart of an agent takes less than 3 s.
FAILURE_TIMEOUT_S: Final = 4.0

# A balancer is in touch while it has heard this share of the agents lately.
MIN_HEARD_SHARE: Final = 0.5
RECENTLY_HEARD_S: Final = 2.0

# Time between two looks, and the gap that shows a pause of the process.
CHECK_INTERVAL_S: Final = 0.25
MAX_CHECK_GAP_S: Final = 1.0


class AgentFailureDetector:
    """Tells whether silence means that an agent is gone.

    ``report_s`` is the time between two reports of an agent in another
    failure domain, which grows with the fleet; times are in seconds.
    """

    def __init__(self) -> None:
        """Start without having heard anybody."""
        self.report_s = 0.0
        self._looked_at: float | None = None
        self._in_touch_since: float | None = None

    def is_due(self, now: float) -> bool:
        """Tell whether it is time to look."""
        return (
            self._looked_at is None or now - self._looked_at >= CHECK_INTERVAL_S
        )

    def observe(self, now: float, silences: Sequence[float]) -> None:
        """Note for how long each agent has been silent."""
        looked_at = self._looked_at
        self._looked_at = now
        if looked_at is not None and now - looked_at > MAX_CHECK_GAP_S:
            self._in_touch_since = None
        lately_s = max(RECENTLY_HEARD_S, 2 * self.report_s)
        heard = sum(silent_s < lately_s for silent_s in silences)
        if not silences or heard < MIN_HEARD_SHARE * len(silences):
            self._in_touch_since = None
        elif self._in_touch_since is None:
            self._in_touch_since = now

    def has_failed(self, now: float, silent_s: float) -> bool:
        """Tell whether an agent that is silent for so long is gone."""
        since = self._in_touch_since
        if since is None or self._looked_at is None:
            return False
        limit_s = max(FAILURE_TIMEOUT_S, 3 * self.report_s)
        is_awake = now - self._looked_at <= MAX_CHECK_GAP_S
        return is_awake and silent_s >= limit_s and now - since >= limit_s
