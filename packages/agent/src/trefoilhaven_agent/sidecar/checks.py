"""When an agent asks whether its target still lives.

Pure decision code. A question is one TCP connection, which the target has
to accept, so that it is not asked more often than the signs call for.
"""

import math
from typing import Final

# A target that misses two heartbeats is asked whether it lives.
HEARTBEAT_TIMEOUT_S: Final = 2.6

# A target with segments to answer that has sent nothing for this time may
# have crashed. Work of its own can keep it mute as long, so that it is
# asked again only after twice the time.
RESPONSE_TIMEOUT_S: Final = 0.15

# Pauses between two questions about a target that departs or is silent.
DEPARTING_CHECK_INTERVAL_S: Final = 0.2
SILENT_CHECK_INTERVAL_S: Final = 1.0


# A target that lives repeats a heartbeat without an answer many times in this
# time. An agent that has started and heard none asks for it, again and again.
FIRST_HEARTBEAT_TIMEOUT_S: Final = 0.3


class CheckSchedule:
    """Decides when to ask; times are monotonic, in seconds."""

    def __init__(self) -> None:
        """Start before the first question."""
        self._checked_at = -math.inf
        self._started_at: float | None = None
        self._response_timeout_s = RESPONSE_TIMEOUT_S

    def is_initial_check_due(self, now: float) -> bool:
        """Tell whether to ask for a target that no heartbeat has named."""
        if self._started_at is None:
            self._started_at = now
        since = max(self._started_at, self._checked_at)
        if now - since < FIRST_HEARTBEAT_TIMEOUT_S:
            return False
        self._checked_at = now
        return True

    def is_due(
        self, now: float, silent_s: float, mute_s: float, *, departing: bool
    ) -> bool:
        """Tell whether to ask now.

        ``silent_s`` is the time since the last heartbeat, and ``mute_s``
        that since the first segment which the target has left unanswered.
        """
        if mute_s < RESPONSE_TIMEOUT_S:
            self._response_timeout_s = RESPONSE_TIMEOUT_S
        is_overdue = mute_s >= self._response_timeout_s
        if is_overdue:
            self._response_timeout_s = 2 * mute_s
        interval_s = _check_interval_s(silent_s, departing=departing)
        if not is_overdue and (
            interval_s is None or now - self._checked_at < interval_s
        ):
            return False
        self._checked_at = now
        return True


def _check_interval_s(silent_s: float, *, departing: bool) -> float | None:
    """Return the pause between two questions, None without a sign."""
    if departing:
        return DEPARTING_CHECK_INTERVAL_S
    return SILENT_CHECK_INTERVAL_S if silent_s > HEARTBEAT_TIMEOUT_S else None
