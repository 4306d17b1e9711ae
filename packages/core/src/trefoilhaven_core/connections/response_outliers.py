"""Detection of responses that look like failures.

An agent does not interpret the payload of a connection. It sees only how
soon a response began and how large its first segment was. A target that
fails requests answers them much faster and with fewer bytes than before. It
then has few pending requests, so that load-based selection would prefer it.
Such responses are called odd.
"""

import math
from typing import Final

# Responses after which the usual time and size are considered learned.
MIN_RESPONSES: Final = 12

# A response is odd if it took less than this share of the usual time and its
# first segment has less than this share of the usual bytes.
ODD_TIME_SHARE: Final = 0.15
ODD_BYTES_SHARE: Final = 0.5

# Weight of one response in the moving average of the share of odd ones.
ODD_SHARE_WEIGHT: Final = 0.2

# The learned time is raised by the usual weight, as a relative step, after a
# slower response, and lowered by the faster or the odd weight after a faster
# or an odd one. The learned size is a moving average in which a response has
# the usual or the odd weight. If the responses of a service change
# permanently, the new values are learned after some hundred responses.
FASTER_WEIGHT: Final = 0.15
USUAL_WEIGHT: Final = 0.05
ODD_WEIGHT: Final = 0.005

# A smaller difference between shares of odd responses is random variation.
ODD_MARGIN: Final = 0.35

# Without responses, the share halves in this time, in seconds: a target that
# gets no requests can't show that it has recovered.
ODD_SHARE_HALF_LIFE_S: Final = 2.0


class ResponseOutlierDetector:
    """Learns the usual time and size of responses and finds odd ones.

    Times are in seconds, sizes in bytes.
    """

    def __init__(self) -> None:
        self._responses = 0
        self._usual_s = 0.0
        self._mean_bytes = 0.0
        self._odd_share = 0.0
        self._recorded_at = -math.inf

    def odd_share(self, now: float) -> float:
        """Return the share of odd responses among the latest, 0 to 1."""
        return self._odd_share * 0.5 ** (
            (now - self._recorded_at) / ODD_SHARE_HALF_LIFE_S
        )

    def on_response(self, now: float, taken_s: float, first_bytes: int) -> bool:
        """Record a response: its time and the bytes of its first segment.

        Returns whether it is odd.
        """
        self._responses += 1
        is_odd = (
            self._responses > MIN_RESPONSES
            and taken_s < ODD_TIME_SHARE * self._usual_s
            and first_bytes < ODD_BYTES_SHARE * self._mean_bytes
        )
        self._learn_time(taken_s, is_odd=is_odd)
        weight = ODD_WEIGHT if is_odd else USUAL_WEIGHT
        weight = max(weight, 1 / self._responses)
        self._mean_bytes += weight * (first_bytes - self._mean_bytes)
        self._record(now, is_odd=is_odd)
        return is_odd

    def on_request_aborted(self, now: float) -> None:
        """Record a request whose connection the target reset unanswered."""
        self._record(now, is_odd=True)

    def _learn_time(self, taken_s: float, *, is_odd: bool) -> None:
        """Track the lower quartile of the response times.

        A backlog after a restart of the whole system makes the first
        responses a hundred times slower, which must be unlearned soon.
        """
        if self._responses == 1:
            self._usual_s = taken_s
        elif taken_s > self._usual_s:
            self._usual_s *= 1 + USUAL_WEIGHT
        else:
            self._usual_s *= 1 - (ODD_WEIGHT if is_odd else FASTER_WEIGHT)

    def _record(self, now: float, *, is_odd: bool) -> None:
        share = self.odd_share(now)
        self._odd_share = share + ODD_SHARE_WEIGHT * (float(is_odd) - share)
        self._recorded_at = now
