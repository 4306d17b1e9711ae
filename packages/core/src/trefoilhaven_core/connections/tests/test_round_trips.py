"""Tests of the measured round-trip times."""

from trefoilhaven_core.connections.round_trips import (
    DEFAULT_ROUND_TRIP_S,
    HALF_LIFE_S,
    SAMPLE_TIMEOUT_S,
    RoundTrips,
)
from trefoilhaven_core.connections.tests.support import key_of


class TestRoundTrips:
    """Round-trip times from accepted connections."""

    def test_unknown(self) -> None:
        """Guards against a domain that seems near before a measurement."""
        assert RoundTrips().time_s(0.0, 'b') == DEFAULT_ROUND_TRIP_S

    def test_measured(self) -> None:
        """Guards against the time of another connection or domain."""
        trips = RoundTrips()
        trips.on_placed(1.0, key_of(1), 'b')
        trips.on_placed(1.01, key_of(2), 'b')
        trips.on_accepted(1.02, key_of(2), 'b')
        trips.on_accepted(1.02, key_of(1), 'c')
        assert trips.time_s(1.02, 'b') == DEFAULT_ROUND_TRIP_S
        trips.on_accepted(1.03, key_of(1), 'b')
        assert abs(trips.time_s(1.03, 'b') - 0.03) < 1e-9

    def test_lost(self) -> None:
        """Guards against a lost segment that ends all measurements."""
        trips = RoundTrips()
        trips.on_placed(1.0, key_of(1), 'b')
        later = 1.0 + SAMPLE_TIMEOUT_S
        trips.on_placed(later, key_of(2), 'b')
        trips.on_accepted(later + 0.02, key_of(2), 'b')
        assert abs(trips.time_s(later + 0.02, 'b') - 0.02) < 1e-9

    def test_slow_link(self) -> None:
        """Guards against a domain that is avoided for ever after a delay."""
        trips = RoundTrips()
        trips.on_placed(1.0, key_of(1), 'b')
        trips.on_accepted(1.4, key_of(1), 'b')
        assert trips.time_s(1.4, 'b') > 0.3
        assert trips.time_s(1.4 + 6 * HALF_LIFE_S, 'b') < 0.02
