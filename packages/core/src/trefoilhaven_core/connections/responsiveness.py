"""Detection of a target that does not respond to its agent."""

import math
from typing import Final

from trefoilhaven_core.connections.messages import Segment

# A target answers an opening segment within milliseconds. If it has not
# answered for the timeout, in seconds, it gets further opening segments only
# as trials, one per trial interval, in seconds.
OPENING_TIMEOUT_S: Final = 0.12
TRIAL_INTERVAL_S: Final = 0.4


class TargetResponsiveness:
    """Tracks segments delivered to the target since it last sent anything.

    Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._opened_at: float | None = None
        self._unanswered_at: float | None = None
        self._opening_delivered_at = -math.inf

    def on_delivered(self, now: float, segment: Segment) -> None:
        """Record a segment that was delivered to the target."""
        if segment.is_opening:
            self._opening_delivered_at = now
            if self._opened_at is None:
                self._opened_at = now
        expects_answer = segment.is_opening or segment.length > 0
        if expects_answer and self._unanswered_at is None:
            self._unanswered_at = now

    def on_heard(self) -> None:
        """Record that the target has sent something, or has ended."""
        self._opened_at = None
        self._unanswered_at = None

    def may_open(self, now: float) -> bool:
        """Return whether an opening segment may be delivered to the target."""
        return (
            not self.is_unresponsive(now)
            or now - self._opening_delivered_at >= TRIAL_INTERVAL_S
        )

    def is_unresponsive(self, now: float) -> bool:
        """Return whether an opening segment was unanswered for the timeout."""
        opened_at = self._opened_at
        return opened_at is not None and now - opened_at >= OPENING_TIMEOUT_S

    def mute_s(self, now: float) -> float:
        """Return how long the target has sent nothing, in seconds.

        The time starts at the first unanswered segment that expects an
        answer (an opening or data); without one it is 0.
        """
        started_at = self._unanswered_at
        return 0.0 if started_at is None else now - started_at
