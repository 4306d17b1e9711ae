"""Expected wait at each target, from load reports and answers."""

import math
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Load

# Time constant in seconds by which the weight of a report decays: after this
# time, 1/e of it is left.
REPORT_DECAY_S: Final = 1.0

# A report relayed by a witness replaces one received with an answer only if
# it is newer by this time in seconds, since its age is known less exactly.
INDIRECT_LAG_S: Final = 0.5

# An answer that takes this many times longer than expected from the report
# is unexpectedly slow.
SLOW_ANSWER_FACTOR: Final = 4.0

# Answers within this time in seconds are never unexpectedly slow, since
# network delay explains the difference.
SLOW_ANSWER_FLOOR_S: Final = 0.1

# Service time in seconds assumed for a target that has not reported one.
DEFAULT_SERVICE_TIME_S: Final = 0.05


class Candidate(NamedTuple):
    """A target that may receive work.

    ``alive_since`` is the monotonic time in seconds at which the process
    first saw it alive, -inf for one that is already warmed up.
    """

    target: str
    failure_domain: str
    slots: int
    alive_since: float = -math.inf


class TargetWait:
    """Load report and open requests of one target; times in seconds."""

    __slots__ = (
        '_answered',
        '_busy_slots',
        '_open',
        '_reported_at',
        '_sent',
        '_service_time_s',
        '_slots',
        '_wait_s',
    )

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._wait_s = 0.0
        self._busy_slots = 0
        self._reported_at = -math.inf
        self._answered = False
        self._open = 0
        self._sent = 0
        self._service_time_s = DEFAULT_SERVICE_TIME_S

    @property
    def reported_s(self) -> float:
        """Wait according to the last report."""
        return self._wait_s

    @property
    def free_slots(self) -> int:
        """Free slots, by the last report or the own open requests.

        The higher of busy slots and open requests counts.
        """
        return max(0, self._slots - max(self._busy_slots, self._open))

    def on_sent(self) -> None:
        """Count a request that was sent to the target."""
        self._open += 1
        self._sent += 1

    def on_ended(self) -> None:
        """Remove a request that was answered, refused or lost."""
        self._open = max(0, self._open - 1)

    def on_report(self, reported_at: float, load: Load) -> None:
        """Apply a report that was relayed by a witness.

        It also limits the number of own open requests, so that requests
        whose end was never recorded do not count forever.
        """
        present = load.busy_slots + load.queued
        self._open = min(self._open, present + self._sent)
        self._sent = 0
        lag_s = INDIRECT_LAG_S if self._answered else 0
        if reported_at > self._reported_at + lag_s:
            self._answered = False
            self._note(reported_at, load)

    def on_answer_load(self, now: float, load: Load) -> None:
        """Apply a report that was received with an answer."""
        self._answered = True
        self._note(now, load)

    def is_unexpectedly_slow(self, expected_s: float, elapsed_s: float) -> bool:
        """Return whether an answer took far longer than expected.

        ``expected_s`` is the wait that was expected when the request was
        sent.
        """
        limit_s = SLOW_ANSWER_FACTOR * (expected_s + self._service_time_s)
        return elapsed_s > max(limit_s, SLOW_ANSWER_FLOOR_S)

    def expect(self, now: float, average_s: float) -> float:
        """Return the expected wait, with old reports pulled to the average.

        ``average_s`` is the mean reported wait of all targets. The own open
        requests are counted in full, regardless of the age of the report.
        """
        age_s = max(0, now - self._reported_at)
        weight = math.exp(-age_s / REPORT_DECAY_S)
        reported_s = weight * self._wait_s + (1 - weight) * average_s
        return reported_s + self._open * self._service_time_s / self._slots

    def _note(self, reported_at: float, load: Load) -> None:
        self._reported_at = reported_at
        self._wait_s = load.wait_s
        self._busy_slots = load.busy_slots
        if load.service_time_s:
            self._service_time_s = load.service_time_s
