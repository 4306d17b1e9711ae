"""Signs that the target beside an agent does not answer."""

import math
from typing import Final

from trefoilhaven_core.connections.messages import Segment

# A target answers an opening segment within milliseconds. One that has not
# answered for this time, in seconds, gets no further ones but for trials.
OPENING_TIMEOUT_S: Final = 0.12
TRIAL_INTERVAL_S: Final = 0.4


class TargetResponsiveness:
    """What the target was handed since it last sent anything."""

    def __init__(self) -> None:
        """Start before the first segment."""
        self._opening_at: float | None = None
        self._unanswered_at: float | None = None
        self._tried_at = -math.inf

    def on_delivered(self, now: float, segment: Segment) -> None:
        """Note a segment that the target was handed."""
        if segment.is_opening:
            self._tried_at = now
            if self._opening_at is None:
                self._opening_at = now
        calls_for_answer = segment.is_opening or segment.length > 0
        if calls_for_answer and self._unanswered_at is None:
            self._unanswered_at = now

    def on_heard(self) -> None:
        """Note that the target has sent something, or has ended."""
        self._opening_at = None
        self._unanswered_at = None

    def may_open(self, now: float) -> bool:
        """Tell whether the target may get an opening segment."""
        return (
            not self.is_silent(now) or now - self._tried_at >= TRIAL_INTERVAL_S
        )

    def is_silent(self, now: float) -> bool:
        """Tell whether the target has left an opening unanswered."""
        asked_at = self._opening_at
        return asked_at is not None and now - asked_at >= OPENING_TIMEOUT_S

    def mute_s(self, now: float) -> float:
        """Return how long the target has sent nothing, in seconds.

        The time counts from the first segment that it was handed and that
        calls for an answer; without one it is 0.
        """
        started_at = self._unanswered_at
        return 0.0 if started_at is None else now - started_at
