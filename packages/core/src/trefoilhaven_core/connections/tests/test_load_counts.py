"""Tests of connections that clients gave up, in the load of a target."""

import pytest
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.messages import Segment, SegmentFlag
from trefoilhaven_core.connections.probes import REFUSAL_TIMEOUT_S
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    key_of,
    make_forward,
    make_member,
    make_segment,
)
from trefoilhaven_core.connections.tests.test_connection_tracker import (
    CHOSEN,
    FIRST,
    KEY,
    make_tracker,
    open_connection,
)

MEMBER = make_member('t1')
ABANDONED_S = 5.0
IDLE_S = 15.0


def data(sequence: int) -> Segment:
    """Return a client's segment with data."""
    return make_segment(KEY, SegmentFlag.acknowledges, sequence, CHOSEN, 100)


def answer() -> Segment:
    """Return a segment of the target with data."""
    return make_segment(KEY, SegmentFlag.acknowledges, FIRST + 1, 9, 50)


def send(tracker: ConnectionTracker, now: float, segment: Segment) -> None:
    """Let a client's segment arrive."""
    tracker.on_forward(now, make_forward(MEMBER, segment), segment, BALANCER)


@pytest.fixture(name='tracker')
def tracker_fixture() -> ConnectionTracker:
    """Return the tracker of an agent with one open connection."""
    tracker = make_tracker()
    open_connection(tracker)
    return tracker


@pytest.fixture(name='restarted')
def restarted_fixture() -> ConnectionTracker:
    """Return a tracker that has learned a connection by a probe."""
    tracker = make_tracker(saw_start=False)
    send(tracker, 1.0, data(8))
    tracker.tick(1.0 + REFUSAL_TIMEOUT_S)
    assert tracker.get(KEY) is not None
    return tracker


class TestAbandoned:
    """Requests whose clients have given up without a further segment."""

    def test_waiting(self, tracker: ConnectionTracker) -> None:
        """Guards against a target that seems busy with abandoned requests.

        The clients were cut off when all processes were killed.
        """
        send(tracker, 1.0, data(8))
        assert tracker.load(0.9 + ABANDONED_S).waiting == 1
        load = tracker.load(1.1 + ABANDONED_S)
        assert load.waiting == 0
        assert load.connections == 0

    def test_retransmissions(self, tracker: ConnectionTracker) -> None:
        """Guards against a request that counts for as long as it is repeated.

        The target has lost it, or its client asks again in vain.
        """
        for number in range(20):
            send(tracker, 1.0 + number / 2, data(8))
        load = tracker.load(11.0)
        assert load.waiting == 0
        assert load.connections == 0

    def test_late_response(self, tracker: ConnectionTracker) -> None:
        """Guards against counts below zero after a late response."""
        send(tracker, 1.0, data(8))
        assert tracker.load(10.0).waiting == 0
        tracker.on_target_segment(10.0, answer())
        load = tracker.load(10.0)
        assert load.waiting == 0
        assert load.connections == 1
        send(tracker, 11.0, data(200))
        assert tracker.load(11.0).waiting == 1

    def test_next_request(self, tracker: ConnectionTracker) -> None:
        """Guards against a busy connection that does not count any more."""
        send(tracker, 1.0, data(8))
        assert tracker.load(10.0).waiting == 0
        send(tracker, 10.0, data(200))
        assert tracker.load(10.0).waiting == 1

    def test_other_request(self, tracker: ConnectionTracker) -> None:
        """Guards against a recent request that is taken for an old one."""
        send(tracker, 1.0, data(8))
        other = make_segment(
            key_of(2), SegmentFlag.opening, sequence=7, acknowledged=0
        )
        send(tracker, 5.0, other)
        request = make_segment(
            key_of(2), SegmentFlag.acknowledges, 8, CHOSEN, 100
        )
        accepting = make_segment(
            key_of(2),
            SegmentFlag.opening | SegmentFlag.acknowledges,
            FIRST,
            8,
        )
        tracker.on_target_segment(5.0, accepting)
        send(tracker, 5.0, request)
        assert tracker.load(7.0).waiting == 1


class TestIdle:
    """Connections without segments."""

    def test_idle(self, tracker: ConnectionTracker) -> None:
        """Guards against load of connections whose clients are gone."""
        assert tracker.load(IDLE_S - 0.1).connections == 1
        assert tracker.load(IDLE_S + 0.1).connections == 0
        send(tracker, IDLE_S + 1, data(8))
        load = tracker.load(IDLE_S + 1)
        assert load.connections == 1
        assert load.waiting == 1

    def test_still_held(self, tracker: ConnectionTracker) -> None:
        """Guards against an idle connection that is denied or forgotten."""
        tracker.load(IDLE_S + 0.1)
        tracker.forget(IDLE_S + 0.1)
        assert tracker.get(KEY) is not None
        assert len(tracker) == 1


class TestClosed:
    """Segments that arrive after the end of their connection."""

    def test_late_segments(self, tracker: ConnectionTracker) -> None:
        """Guards against a closed connection that counts again."""
        closing = SegmentFlag.acknowledges | SegmentFlag.reset
        send(tracker, 1.0, make_segment(KEY, closing, 8, CHOSEN))
        assert tracker.load(1.0).connections == 0
        send(tracker, 1.1, data(8))
        tracker.on_target_segment(1.2, answer())
        send(tracker, 1.3, data(200))
        load = tracker.load(1.3)
        assert (load.connections, load.waiting) == (0, 0)


class TestProbed:
    """Connections that an agent knows only by a probe."""

    def test_probed(self, restarted: ConnectionTracker) -> None:
        """Guards against load of connections that the target may not hold.

        An overloaded target refuses a probe after the agent has stopped to
        wait for that.
        """
        assert restarted.load(1.1).connections == 0
        send(restarted, 1.1, data(8))
        load = restarted.load(1.1)
        assert load.connections == 0
        assert load.waiting == 0

    def test_target_answers(self, restarted: ConnectionTracker) -> None:
        """Guards against a connection that never counts."""
        send(restarted, 1.1, data(8))
        restarted.on_target_segment(1.2, answer())
        assert restarted.load(1.2).connections == 1
        send(restarted, 1.3, data(200))
        assert restarted.load(1.3).waiting == 1

    def test_ended(self, restarted: ConnectionTracker) -> None:
        """Guards against counts below zero after a late refusal."""
        refusal = make_segment(
            KEY, SegmentFlag.refused | SegmentFlag.acknowledges, 8, CHOSEN
        )
        restarted.on_target_segment(1.2, refusal)
        load = restarted.load(1.2)
        assert (load.connections, load.waiting) == (0, 0)
