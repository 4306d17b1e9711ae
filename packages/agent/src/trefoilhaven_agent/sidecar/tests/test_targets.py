"""What an agent believes about its target."""

from trefoilhaven_agent.sidecar.targets import (
    MAX_FIRST_HEARD_AGE_S,
    STALE_HEARTBEAT_S,
    Location,
    TargetTracker,
)
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement

BORN = 1_700_000_000_000
LOCATION = Location('host-1', 'a', Address('127.0.0.1', 7000))


def heartbeat(
    target: str = 't1',
    sequence: int = 1,
    born: int = BORN,
    state: MemberState = MemberState.alive,
    service: str = 'certify',
) -> TargetAnnouncement:
    """Return a heartbeat."""
    return TargetAnnouncement(
        service, target, 'a', born, sequence, 2, state, 0.0
    )


def make_tracker() -> tuple[TargetTracker, ConnectionTracker]:
    """Return the tracker of an agent that has heard nothing yet."""
    connections = ConnectionTracker('certify', 60.0)
    return TargetTracker('certify', LOCATION, connections), connections


class TestHeartbeats:
    """What a heartbeat changes."""

    def test_first(self) -> None:
        """Guards against a ready target that gets no connections."""
        tracker, connections = make_tracker()
        assert tracker.on_announcement(0, heartbeat()).is_changed
        assert connections.accepts
        assert tracker.member is not None
        assert tracker.member.incarnation == BORN

    def test_draining_is_in_force(self) -> None:
        """Guards against an acknowledged departure that is not true."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat())
        leaving = heartbeat(sequence=2, state=MemberState.draining)
        assert tracker.on_announcement(1, leaving).is_changed
        assert not connections.accepts

    def test_late_copy(self) -> None:
        """Guards against an old heartbeat that takes a departure back."""
        tracker, connections = make_tracker()
        leaving = heartbeat(sequence=3, state=MemberState.draining)
        tracker.on_announcement(0, leaving)
        update = tracker.on_announcement(1, heartbeat(sequence=2))
        assert not update.is_current
        assert not connections.accepts

    def test_other_service(self) -> None:
        """Guards against a target of another service."""
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
        assert tracker.on_announcement(2 + STALE_HEARTBEAT_S, late).is_current

    def test_replaced(self) -> None:
        """Guards against balancers that keep a target that was replaced."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        update = tracker.on_announcement(9, heartbeat('t2', born=BORN + 9000))
        assert update.departed is not None
        assert update.departed.target == 't1'
        assert update.departed.state is MemberState.left

    def test_same_name_again(self) -> None:
        """Guards against a record that goes back with the host's clock."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        tracker.on_announcement(9, heartbeat(born=BORN - 2000))
        assert tracker.member is not None
        assert tracker.member.incarnation > BORN


class TestKnowledge:
    """Whether the agent has seen the target from its start."""

    def test_first_heartbeat(self) -> None:
        """Guards against needless offers to a new target."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=1))
        assert connections.saw_start

    def test_restarted_agent(self) -> None:
        """Guards against resets of connections that the agent forgot."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=40))
        assert not connections.saw_start

    def test_killed_early(self) -> None:
        """Guards against an agent that takes its start for the target's.

        An agent that is killed a second after its target started has
        brought the target connections that its successor does not know.
        """
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=2))
        assert not connections.saw_start

    def test_next_target(self) -> None:
        """Guards against doubt about a target that started later."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=40))
        tracker.on_announcement(9, heartbeat('t2', 3, BORN + 90_000))
        assert connections.saw_start


class TestEnd:
    """Targets that end."""

    def test_departure(self) -> None:
        """Guards against new connections to a target that has said farewell."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat())
        assert tracker.on_departure('t1')
        assert not connections.accepts
        assert not tracker.on_departure('t2')

    def test_gone(self) -> None:
        """Guards against a record of a target that has ended."""
        tracker, _ = make_tracker()
        tracker.on_announcement(0, heartbeat())
        update = tracker.on_gone()
        assert update.departed is not None
        assert tracker.member is None
        assert tracker.silent_s(100) == 0


class TestRegistered:
    """What the object of an earlier agent tells."""

    def make_heard(self) -> tuple[TargetTracker, ConnectionTracker]:
        """Return an agent that has missed the first heartbeats."""
        tracker, connections = make_tracker()
        tracker.on_announcement(0, heartbeat(sequence=5))
        assert not connections.saw_start
        return tracker, connections

    def test_nobody_before(self) -> None:
        """Guards against offers of lost connections after a power loss."""
        tracker, connections = self.make_heard()
        assert tracker.on_registered(None, 0.5)
        assert connections.saw_start

    def test_earlier_start(self) -> None:
        """Guards against doubt about a target that has restarted."""
        tracker, connections = self.make_heard()
        assert tracker.member is not None
        earlier = tracker.member._replace(incarnation=BORN - 1)
        assert tracker.on_registered(earlier, 0.5)
        assert connections.saw_start

    def test_same_start(self) -> None:
        """Guards against resets of what the killed agent had delivered."""
        tracker, connections = self.make_heard()
        assert not tracker.on_registered(tracker.member, 0.5)
        assert not connections.saw_start

    def test_clock_set_back(self) -> None:
        """Guards against a start that only seems to be a later one."""
        tracker, connections = self.make_heard()
        assert tracker.member is not None
        adjusted = tracker.member._replace(incarnation=BORN + 1)
        assert not tracker.on_registered(adjusted, 0.5)
        assert not connections.saw_start

    def test_old_target(self) -> None:
        """Guards against an earlier agent that could not register."""
        tracker, connections = self.make_heard()
        assert not tracker.on_registered(None, MAX_FIRST_HEARD_AGE_S + 0.1)
        assert not tracker.on_registered(None, -1.0)
        assert not connections.saw_start
