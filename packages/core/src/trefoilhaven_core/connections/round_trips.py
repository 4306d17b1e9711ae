"""Round-trip times to other failure domains, from accepted connections.

A balancer places connections anyway, and the agent answers as soon as its
target has accepted one. One placement per failure domain is timed at a time.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections.messages import ConnectionKey

# Round-trip time in seconds that is expected of another failure domain
# without a measurement: a few times the usual one in a region.
DEFAULT_ROUND_TRIP_S: Final = 0.01

# A placement that was not accepted for this time, in seconds, is no longer
# timed: its segment or the answer may have been lost.
SAMPLE_TIMEOUT_S: Final = 2.0

# Weights of a shorter and of a longer time in the moving average. Longer ones
# may come from a retransmitted segment or a paused process.
SHORTER_WEIGHT: Final = 0.5
LONGER_WEIGHT: Final = 0.1

# An average approaches the default by half in this time without a
# measurement, in seconds. A domain to which nothing is sent because it seemed
# far away is tried again.
HALF_LIFE_S: Final = 5.0


class _Sample(NamedTuple):
    """A placement that is timed."""

    key: ConnectionKey
    placed_at: float


class _Average(NamedTuple):
    """Moving average of round-trip times, in seconds."""

    measured_at: float
    time_s: float


class RoundTrips:
    """Measured round-trip times by failure domain; times in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._averages: dict[str, _Average] = {}
        self._samples: dict[str, _Sample] = {}

    def on_placed(
        self, now: float, key: ConnectionKey, failure_domain: str
    ) -> None:
        """Time a placement, unless another one is being timed."""
        sample = self._samples.get(failure_domain)
        if sample is None or now - sample.placed_at >= SAMPLE_TIMEOUT_S:
            self._samples[failure_domain] = _Sample(key, now)

    def on_accepted(
        self, now: float, key: ConnectionKey, failure_domain: str
    ) -> None:
        """Record that a target has accepted a connection."""
        sample = self._samples.get(failure_domain)
        if sample is None or sample.key != key:
            return
        del self._samples[failure_domain]
        taken_s = now - sample.placed_at
        if taken_s >= SAMPLE_TIMEOUT_S:
            return
        known_s = self.time_s(now, failure_domain)
        if failure_domain not in self._averages:
            known_s = taken_s
        weight = SHORTER_WEIGHT if taken_s < known_s else LONGER_WEIGHT
        time_s = known_s + weight * (taken_s - known_s)
        self._averages[failure_domain] = _Average(now, time_s)

    def time_s(self, now: float, failure_domain: str) -> float:
        """Return the expected round-trip time to a failure domain."""
        average = self._averages.get(failure_domain)
        if average is None:
            return DEFAULT_ROUND_TRIP_S
        age_s = now - average.measured_at
        known = 0.5 ** (age_s / HALF_LIFE_S)
        difference_s = average.time_s - DEFAULT_ROUND_TRIP_S
        return DEFAULT_ROUND_TRIP_S + known * difference_s

    def measured_s(self) -> dict[str, float]:
        """Return the last averages in seconds of the measured domains."""
        return {key: each.time_s for key, each in self._averages.items()}
