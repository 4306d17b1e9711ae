"""Tests of probes at targets that refuse late."""

import pytest
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import Effect, SendMessage
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    HolderReply,
    SegmentFlag,
    SegmentReturn,
)
from trefoilhaven_core.connections.probes import REFUSAL_TIMEOUT_S
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    key_of,
    make_forward,
    make_member,
    make_segment,
)
from trefoilhaven_core.connections.tests.test_connection_tracker import (
    make_tracker,
)

MEMBER = make_member('t1')
LATE_S = 2 * REFUSAL_TIMEOUT_S
TICK_S = 0.01


def probe(
    tracker: ConnectionTracker,
    start: float,
    key: ConnectionKey,
    refused_after_s: float,
) -> list[Effect]:
    """Probe a target that refuses after a time; return the effects."""
    segment = make_segment(key, SegmentFlag.acknowledges, 8, 9, 100)
    forward = make_forward(MEMBER, segment, is_probe=True)
    tracker.on_forward(start, forward, segment, BALANCER)
    effects: list[Effect] = []
    steps = round(refused_after_s / TICK_S)
    for step in range(steps):
        effects += tracker.tick(start + step * TICK_S)
    refusal = make_segment(
        key, SegmentFlag.refused | SegmentFlag.acknowledges, 8, 9, 100
    )
    effects += tracker.on_target_segment(start + refused_after_s, refusal)
    return effects


def has(effects: list[Effect], kind: type) -> bool:
    """Return whether a message of a type is sent."""
    return any(
        isinstance(effect, SendMessage) and isinstance(effect.message, kind)
        for effect in effects
    )


@pytest.fixture(name='tracker')
def tracker_fixture() -> ConnectionTracker:
    """Return the tracker of an agent that started after its target."""
    return make_tracker(saw_start=False)


class TestLateRefusals:
    """A target that is overloaded after a restart of all processes."""

    def test_second_probe(self, tracker: ConnectionTracker) -> None:
        """Guards against targets that seem to hold what they refuse late.

        The balancer sends the segments there, gets them back and searches
        again, which adds to the load that has made the refusals late.
        """
        first = probe(tracker, 1.0, key_of(1), LATE_S)
        assert has(first, HolderReply)
        second = probe(tracker, 1.5, key_of(2), LATE_S)
        assert not has(second, HolderReply)
        assert has(second, SegmentReturn)

    def test_still_refusing(self, tracker: ConnectionTracker) -> None:
        """Guards against waits that are shortened while refusals are late."""
        probe(tracker, 1.0, key_of(0), LATE_S)
        for number in range(1, 30):
            now = 1.0 + number
            tracker.forget(now)
            effects = probe(tracker, now, key_of(number), LATE_S)
            assert not has(effects, HolderReply)

    def test_recovered(self, tracker: ConnectionTracker) -> None:
        """Guards against searches that stay slow for ever."""
        probe(tracker, 1.0, key_of(1), LATE_S)
        for second in range(2, 30):
            tracker.forget(second)
        effects = probe(tracker, 30.0, key_of(2), LATE_S)
        assert has(effects, HolderReply)

    def test_limit(self, tracker: ConnectionTracker) -> None:
        """Guards against a target that holds connections and is not found.

        One refusal was very late, as its host was paused.
        """
        probe(tracker, 1.0, key_of(1), 1.0)
        effects = probe(tracker, 3.0, key_of(2), 0.2)
        assert has(effects, HolderReply)
