"""Tests of the target state that an agent keeps."""

import pytest
from trefoilhaven_agent.sidecar.targets import (
    REPLACEMENT_SILENCE_S,
    Location,
    TargetTracker,
)
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    ResetClient,
)
from trefoilhaven_core.connections.messages import SegmentFlag
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    accepting,
    key_of,
    make_forward,
    make_segment,
    only,
    opening,
    refused,
)
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement

BORN = 1_700_000_000_000
KEY = key_of(1)
REQUEST = make_segment(KEY, SegmentFlag.acknowledges, 8, 5001, 100)
LOCATION = Location('host-1', 'a', Address('127.0.0.1', 7000))


def heartbeat(
    target: str = 't1',
    sequence: int = 1,
    born: int = BORN,
    state: MemberState = MemberState.alive,
    service: str = 'certify',
) -> TargetAnnouncement:
    """Return a heartbeat; ``born`` is the incarnation."""
    return TargetAnnouncement(
        service, target, 'a', born, sequence, 2, state, 0.0
    )


def make_tracker() -> tuple[TargetTracker, ConnectionTracker]:
    """Return a tracker that has received no heartbeat, and its connections."""
    connections = ConnectionTracker('certify', 60.0)
    return TargetTracker('certify', LOCATION, connections), connections


class TestHeartbeats:
    """Changes by heartbeats."""

    def test_first(self) -> None:
        """Guards against a ready target that gets no connections."""
        tracker, connections = make_tracker()
        assert tracker.on_announcement(0, heartbeat()).is_changed
        assert connections.accepts
        assert tracker.member is not None
        assert tracker.member.incarnation == BORN

    def test_slots(self) -> None:
        """Guards against parallel work that is taken for a queue."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat())
        for port in (1, 2):
            key = key_of(port)
            request = make_segment(key, SegmentFlag.acknowledges, 8, 1, 100)
            connections.on_target_segment(0, accepting(key, 1))
            assert tracker.member is not None
            forward = make_forward(tracker.member, request)
            connections.on_forward(0, forward, request, BALANCER)
        for port in (1, 2):
            answer = make_segment(key_of(port), sequence=2, length=50)
            connections.on_target_segment(0.04 + port / 1e6, answer)
        learned_s = connections.load(1.0).service_time_s
        assert abs(learned_s - 0.04) < 1e-4

    def test_draining_is_in_force(self) -> None:
        """Guards against an acknowledged drain that is not in force."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat())
        leaving = heartbeat(sequence=2, state=MemberState.draining)
        assert tracker.on_announcement(1, leaving).is_changed
        assert not connections.accepts

    def test_stale_heartbeat(self) -> None:
        """Guards against a delayed heartbeat that cancels a drain."""
        tracker, connections = make_tracker()
        leaving = heartbeat(sequence=3, state=MemberState.draining)
        tracker.on_announcement(0, leaving)
        update = tracker.on_announcement(1, heartbeat(sequence=2))
        assert not update.is_current
        assert not connections.accepts

    def test_other_service(self) -> None:
        """Guards against connections to a target of another service."""
        tracker, connections = make_tracker()
        update = tracker.on_announcement(0, heartbeat(service='collect'))
        assert not update.is_current
        assert not connections.accepts

    def test_dead_predecessor(self) -> None:
        """Guards against a delayed heartbeat of a target that crashed."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat('t2', born=BORN + 5000))
        late = heartbeat('t1', sequence=9)
        assert not tracker.on_announcement(1, late).is_current
        assert tracker.on_announcement(
            2 + REPLACEMENT_SILENCE_S, late
        ).is_current

    def test_replaced(self) -> None:
        """Guards against balancers that keep a target that was replaced."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        update = tracker.on_announcement(9, heartbeat('t2', born=BORN + 9000))
        assert update.left_member is not None
        assert update.left_member.target == 't1'
        assert update.left_member.state is MemberState.left

    def test_same_name_again(self) -> None:
        """Guards against a lower incarnation after the clock is set back."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        tracker.on_announcement(9, heartbeat(born=BORN - 2000))
        assert tracker.member is not None
        assert tracker.member.incarnation > BORN


class TestKnowledge:
    """Whether the agent has seen the target since its start."""

    def test_started_later(self) -> None:
        """Guards against needless probes of a new target."""
        tracker, connections = make_tracker()
        connections.on_target_gone()
        tracker.on_announcement(0, heartbeat(sequence=2))
        assert connections.evidence.saw_start

    @pytest.mark.parametrize('sequence', [0, 1, 2, 40])
    def test_started_before(self, sequence: int) -> None:
        """Guards against resets of connections from before a restart.

        An agent that is killed a second after its target started has already
        delivered connections that the next agent does not know. Targets may
        number their heartbeats from any number.
        """
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=sequence))
        assert not connections.evidence.saw_start

    def test_next_target(self) -> None:
        """Guards against needless probes of a target that started later."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=40))
        tracker.on_gone()
        tracker.on_announcement(9, heartbeat('t2', 3, BORN + 90_000))
        assert connections.evidence.saw_start

    def test_late_heartbeat(self) -> None:
        """Guards against resets by a late heartbeat of a dead predecessor.

        The agent has started after both targets and hears the late heartbeat
        first. The living target may hold connections of an earlier agent.
        """
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat('t1'))
        living = heartbeat('t2', 7, BORN + 5000)
        tracker.on_announcement(REPLACEMENT_SILENCE_S, living)
        assert tracker.member is not None
        assert tracker.member.target == 't2'
        assert not connections.evidence.saw_start

    def test_confirmed(self) -> None:
        """Guards against denials under another name after a late heartbeat.

        A target counts as confirmed when it was heard for a time in which
        another one would have been heard, too.
        """
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat('t1', 1))
        tracker.on_announcement(0.1, heartbeat('t1', 2))
        assert not connections.evidence.is_confirmed
        tracker.on_announcement(0.5, heartbeat('t2', 7, BORN + 5000))
        confirmed_at = 0.5 + REPLACEMENT_SILENCE_S
        tracker.on_announcement(confirmed_at - 0.1, heartbeat('t1', 3))
        assert not connections.evidence.is_confirmed
        tracker.on_announcement(confirmed_at, heartbeat('t1', 4))
        assert connections.evidence.is_confirmed
        now = confirmed_at + 0.1
        tracker.on_announcement(now, heartbeat('t2', 8, BORN + 5000))
        assert not connections.evidence.is_confirmed


class TestOtherTarget:
    """Heartbeats under another name while the target runs."""

    def make_tracker(self) -> tuple[TargetTracker, ConnectionTracker]:
        """Return a tracker whose target has a request in progress."""
        tracker, connections = make_tracker()
        connections.on_target_gone()
        tracker.on_announcement(0, heartbeat())
        member = tracker.member
        assert member is not None
        for segment in (opening(KEY), REQUEST):
            forward = make_forward(member, segment)
            connections.on_forward(0, forward, segment, BALANCER)
            connections.on_target_segment(0, accepting(KEY, 5000))
        return tracker, connections

    @pytest.mark.parametrize('born', [BORN - 1, BORN, BORN + 1000])
    def test_ignored(self, born: int) -> None:
        """Guards against resets by one heartbeat of another writer."""
        tracker, connections = self.make_tracker()
        update = tracker.on_announcement(1, heartbeat('t2', born=born))
        assert not update.is_current
        assert not any(isinstance(each, ResetClient) for each in update.effects)
        assert tracker.member is not None
        assert tracker.member.target == 't1'
        assert connections.get(KEY) is not None
        assert tracker.on_announcement(2, heartbeat(sequence=2)).is_current

    def test_drain(self) -> None:
        """Guards against an acknowledged drain that is not in force."""
        tracker, connections = self.make_tracker()
        leaving = heartbeat('t2', born=BORN + 1, state=MemberState.draining)
        assert not tracker.on_announcement(1, leaving).is_acknowledged
        assert connections.accepts
        now = 1 + REPLACEMENT_SILENCE_S
        assert tracker.on_announcement(now, leaving).is_acknowledged
        assert not connections.accepts

    def test_restarted(self) -> None:
        """Guards against callers that wait for a target that has restarted.

        It has restarted so quickly that no check met a closed port. The
        agent repeats the request, which the new target refuses.
        """
        tracker, connections = self.make_tracker()
        restarted = heartbeat(born=BORN + 500)
        update = tracker.on_announcement(1, restarted)
        assert update.effects == (DeliverToTarget(REQUEST.raw),)
        effect = only(connections.on_target_segment(1, refused(REQUEST)))
        assert isinstance(effect, ResetClient)

    def test_silent(self) -> None:
        """Guards against resets of connections that the target may hold.

        That another target is heard in place of a silent one does not show
        which of them has opened a connection.
        """
        tracker, connections = self.make_tracker()
        other = heartbeat('t2', born=BORN + 1000)
        update = tracker.on_announcement(REPLACEMENT_SILENCE_S, other)
        assert update.is_current
        assert update.left_member is not None
        assert not any(isinstance(each, ResetClient) for each in update.effects)
        assert connections.get(KEY) is not None


class TestEnd:
    """Targets that end."""

    def test_departure(self) -> None:
        """Guards against new connections to a target that departs."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat())
        assert tracker.on_departure('t1')
        assert not connections.accepts
        assert not tracker.on_departure('t2')

    def test_gone(self) -> None:
        """Guards against a record that outlives its target."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        update = tracker.on_gone()
        assert update.left_member is not None
        assert tracker.member is None
        assert tracker.silent_s(100) == 0
