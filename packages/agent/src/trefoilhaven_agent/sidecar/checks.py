"""Schedule of the liveness checks of a target.

Pure decision code. A check is one TCP connection, which the target has to
accept, so checks are made only when there are signs of a failure.
"""

import math
from typing import Final

# A target without a heartbeat for this time, in seconds, has missed two of them
# and is checked.
HEARTBEAT_TIMEOUT_S: Final = 2.6

# A target that leaves segments unanswered and sends nothing for this time, in
# seconds, may have crashed. Long work can have the same effect, so that the
# next check follows only after twice the time.
RESPONSE_TIMEOUT_S: Final = 0.15

# Seconds between two checks of a target that departs or sends no heartbeats.
DEPARTING_CHECK_INTERVAL_S: Final = 0.2
SILENT_CHECK_INTERVAL_S: Final = 1.0

# A running target repeats an unacknowledged heartbeat many times within this
# time, in seconds. An agent that has heard none since its start checks at this
# interval whether there is a target.
FIRST_HEARTBEAT_TIMEOUT_S: Final = 0.3


class CheckSchedule:
    """Decides when to check; times are monotonic, in seconds."""

    def __init__(self) -> None:
        """Start before the first check."""
        self._checked_at = -math.inf
        self._started_at: float | None = None
        self._response_timeout_s = RESPONSE_TIMEOUT_S

    def is_initial_check_due(self, now: float) -> bool:
        """Tell whether to check for a target that has sent no heartbeat."""
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
        """Tell whether to check the target now.

        ``silent_s`` is the time since the last heartbeat, and ``mute_s``
        that since the first segment that the target has left unanswered.
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
    """Return the interval between checks, None if none is needed."""
    if departing:
        return DEPARTING_CHECK_INTERVAL_S
    return SILENT_CHECK_INTERVAL_S if silent_s > HEARTBEAT_TIMEOUT_S else None
