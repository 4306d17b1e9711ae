"""Answers of a target that look like failures.

The bytes of a connection belong to its ends. What passes an agent shows
only how soon an answer began and how large its first segment was. A target
that fails requests answers them much sooner and shorter than before; it
has few requests waiting, so that the choice by load would prefer it.
"""

import math
from typing import Final

# Answers after which the usual form is taken as known.
MIN_RESPONSES: Final = 12

# An answer is odd when it came within this share of the usual time and its
# first segment has less than this share of the usual bytes.
ODD_TIME_SHARE: Final = 0.15
ODD_BYTES_SHARE: Final = 0.5

# Weight of one answer in the share of odd ones, and of a usual and of an
# odd one in the means. A service whose answers have changed for good is
# learned anew after some hundred of them.
ODD_SHARE_WEIGHT: Final = 0.2
QUICKER_WEIGHT: Final = 0.15
USUAL_WEIGHT: Final = 0.05
ODD_WEIGHT: Final = 0.005

# Shares of odd answers that differ by less than this are chance.
ODD_MARGIN: Final = 0.35

# Without answers, the share halves in about this time, in seconds: a target
# that gets no requests can't show that it is well again.
ODD_SHARE_HALF_LIFE_S: Final = 2.0


class ResponseOutlierDetector:
    """Learns the usual form of a target's answers; times in seconds."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answers = 0
        self._usual_s = 0.0
        self._mean_bytes = 0.0
        self._odd_share = 0.0
        self._noted_at = -math.inf

    def odd_share(self, now: float) -> float:
        """Return the share of odd ones among the latest answers, 0 to 1."""
        return self._odd_share * 0.5 ** (
            (now - self._noted_at) / ODD_SHARE_HALF_LIFE_S
        )

    def on_response(self, now: float, taken_s: float, first_bytes: int) -> None:
        """Note an answer by its time and the bytes of its first segment."""
        self._answers += 1
        is_odd = (
            self._answers > MIN_RESPONSES
            and taken_s < ODD_TIME_SHARE * self._usual_s
            and first_bytes < ODD_BYTES_SHARE * self._mean_bytes
        )
        self._learn_time(taken_s, is_odd=is_odd)
        weight = ODD_WEIGHT if is_odd else USUAL_WEIGHT
        weight = max(weight, 1 / self._answers)
        self._mean_bytes += weight * (first_bytes - self._mean_bytes)
        self._note(now, is_odd=is_odd)

    def on_request_aborted(self, now: float) -> None:
        """Note a request that the target ended without an answer."""
        self._note(now, is_odd=True)

    def _learn_time(self, taken_s: float, *, is_odd: bool) -> None:
        """Follow the time of the quicker quarter of the answers.

        A backlog after a restart of everything makes the first answers a
        hundred times as slow, and must soon be forgotten.
        """
        if self._answers == 1:
            self._usual_s = taken_s
        elif taken_s > self._usual_s:
            self._usual_s *= 1 + USUAL_WEIGHT
        else:
            self._usual_s *= 1 - (ODD_WEIGHT if is_odd else QUICKER_WEIGHT)

    def _note(self, now: float, *, is_odd: bool) -> None:
        share = self.odd_share(now)
        self._odd_share = share + ODD_SHARE_WEIGHT * (float(is_odd) - share)
        self._noted_at = now
