"""Expected wait at each target, from reports and the balancer's answers."""

import math
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Load

# A report loses influence with its age; after this time 1/e is left.
REPORT_LIFETIME_S: Final = 1.0

# A report through a witness replaces one from an answer only if it is this
# much newer, since its age is known less exactly.
INDIRECT_LAG_S: Final = 0.5

# An answer that takes this many times longer than reported misleads.
MISLEADING_FACTOR: Final = 4.0

# Differences below this are delay of the network, not misleading reports.
MISLEADING_FLOOR_S: Final = 0.1

# Weight of a new sample in the learned service time and correction.
_SAMPLE_WEIGHT: Final = 0.2


class Candidate(NamedTuple):
    """A target that may receive work.

    ``alive_since`` is the monotonic time in seconds at which the process
    first saw it alive, -inf for one that is warm already.
    """

    target: str
    failure_domain: str
    slots: int
    alive_since: float = -math.inf


class TargetWait:
    """What is known about the wait at one target; times in seconds."""

    __slots__ = (
        '_answered',
        '_correction_s',
        '_free_slots',
        '_reported_at',
        '_sent_since',
        '_service_time_s',
        '_wait_s',
        'slots',
    )

    def __init__(self, slots: int) -> None:
        """Start without a report."""
        self.slots = max(1, slots)
        self._wait_s = 0.0
        self._free_slots = self.slots
        self._reported_at = -math.inf
        self._answered = False
        self._sent_since = 0
        self._service_time_s = 0.0
        self._correction_s = 0.0

    def on_sent(self) -> None:
        """Count a request that the last report does not contain."""
        self._sent_since += 1

    def on_report(self, reported_at: float, load: Load) -> None:
        """Note a report that came through a witness."""
        lag_s = INDIRECT_LAG_S if self._answered else 0
        if reported_at <= self._reported_at + lag_s:
            return
        self._answered = False
        self._note(reported_at, load)

    def on_answer_load(self, now: float, load: Load) -> None:
        """Note the report that came with an answer."""
        self._answered = True
        self._note(now, load)

    def on_elapsed(self, expected_s: float, elapsed_s: float) -> bool:
        """Learn from the time of an answer; False when it was misleading.

        ``expected_s`` is the wait that was expected when it was sent.
        """
        known_s = self._service_time_s or elapsed_s
        excess_s = elapsed_s - expected_s - known_s
        self._correction_s += _SAMPLE_WEIGHT * (excess_s - self._correction_s)
        limit_s = MISLEADING_FACTOR * (expected_s + known_s)
        return elapsed_s <= max(limit_s, MISLEADING_FLOOR_S)

    def expect(self, now: float, average_s: float) -> float:
        """Return the expected wait; stale reports tend to the average."""
        weight = math.exp(
            -max(0, now - self._reported_at) / REPORT_LIFETIME_S,
        )
        waiting = max(0, self._sent_since - self._free_slots)
        own_s = waiting * self._service_time_s / self.slots
        reported_s = weight * self._wait_s + (1 - weight) * average_s
        return max(0, reported_s + own_s + max(0, self._correction_s))

    @property
    def free_slots(self) -> int:
        """Free slots of the last report less what was sent since."""
        return max(0, self._free_slots - self._sent_since)

    @property
    def reported_s(self) -> float:
        """Wait of the last report."""
        return self._wait_s

    def _note(self, reported_at: float, load: Load) -> None:
        self._reported_at = reported_at
        self._wait_s = load.wait_s
        self._free_slots = max(0, self.slots - load.busy_slots)
        self._sent_since = 0
        if load.service_time_s:
            self._service_time_s = load.service_time_s
