"""Learning of the time that a target works on one request.

An agent sees when a request and its response pass, but not when the target
begins to work on the request. The target is modelled as a queue: as many
requests as it has slots are worked on at a time, and the oldest of the others
follows when a slot becomes free. The time in that queue does not count.

The estimate is the mean of the times between the two quartiles of the latest
ones. A few requests that take many times longer do not change it, and a
service with short and long requests has an estimate between the two.
"""

from collections import deque
from collections.abc import Hashable
from typing import Final, NamedTuple

# The estimate is learned from this number of latest responses. With 3% of
# long ones, more than a quarter of them is long in one of 3 million cases.
WINDOW_RESPONSES: Final = 32

# Responses that are older, in seconds, are not used if enough later ones are
# there, so that a rarely used target also follows a change of its speed.
WINDOW_S: Final = 4.0
MIN_RESPONSES: Final = 8

# The mean is taken without this share of the times at either end.
_TRIMMED_SHARE: Final = 0.25


class _Sample(NamedTuple):
    """Time of one response, and the work on it, in seconds."""

    at: float
    work_s: float


class ServiceTimeEstimator:
    """Learns the service time of one target; times are in seconds.

    A request is named by any hashable value that is unique while the request
    has no response. ``slots`` is the number of requests that the target works
    on at a time; 1 until the target has announced it.
    """

    def __init__(self) -> None:
        """Start without responses and without pending requests."""
        self.slots = 1
        self._estimate_s: float | None = 0.0
        self._queue: dict[Hashable, float] = {}
        self._samples: deque[_Sample] = deque(maxlen=WINDOW_RESPONSES)
        self._started: dict[Hashable, float] = {}

    def estimate_s(self) -> float:
        """Return the expected service time, 0 before the first response."""
        if self._estimate_s is None:
            works_s = sorted(sample.work_s for sample in self._samples)
            trimmed = int(len(works_s) * _TRIMMED_SHARE)
            kept = works_s[trimmed : len(works_s) - trimmed]
            self._estimate_s = sum(kept) / len(kept)
        return self._estimate_s

    def on_request(self, now: float, request: Hashable) -> None:
        """Record a request that is delivered to the target."""
        if len(self._started) < self.slots:
            self._started[request] = now
        else:
            self._queue[request] = now

    def on_response(
        self, now: float, request: Hashable, *, is_odd: bool = False
    ) -> None:
        """Record the beginning of a response, and learn from it.

        An odd one looks like a failure. It ends the request, but its time
        does not show the speed of the target.
        """
        started_at = self._end(now, request)
        if started_at is None or is_odd:
            return
        samples = self._samples
        samples.append(_Sample(now, max(0.0, now - started_at)))
        while len(samples) > MIN_RESPONSES and now - samples[0].at > WINDOW_S:
            samples.popleft()
        self._estimate_s = None

    def on_aborted(self, now: float, request: Hashable) -> None:
        """Record that a request ended without a response."""
        self._end(now, request)

    def clear(self) -> None:
        """Forget all pending requests of a target that has ended."""
        self._queue.clear()
        self._started.clear()

    def _end(self, now: float, request: Hashable) -> float | None:
        """Remove a request; return when the work on it has begun."""
        started_at = self._started.pop(request, None)
        if started_at is None:
            requested_at = self._queue.pop(request, None)
            if requested_at is None:
                return None
            if len(self._started) < self.slots:
                return requested_at
            started_at = max(requested_at, self._reassign_slot(now))
        elif self._queue:
            following = next(iter(self._queue))
            del self._queue[following]
            self._started[following] = now
        return started_at

    def _reassign_slot(self, now: float) -> float:
        """Return the start of the request that has most likely not started.

        The target does not work in the order of the requests. The slot of
        that request was used for the one that has ended, and is taken to be
        used for that request from now on.
        """
        latest = next(reversed(self._started))
        started_at = self._started.pop(latest)
        self._started[latest] = now
        return started_at
