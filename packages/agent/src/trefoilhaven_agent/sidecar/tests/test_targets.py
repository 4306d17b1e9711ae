"""What an agent believes about its target."""

from trefoilhaven_agent.sidecar.targets import (
    LATE_COPY_S,
    YOUNG_TARGET_S,
    Place,
    TargetBelief,
)
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement

BORN = 1_700_000_000_000
PLACE = Place('host-1', 'a', Address('127.0.0.1', 7000))


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


def make_belief() -> tuple[TargetBelief, ConnectionTracker]:
    """Return the belief of an agent that has heard nothing yet."""
    connections = ConnectionTracker('certify', 60.0)
    return TargetBelief('certify', PLACE, connections), connections


class TestHeartbeats:
    """What a heartbeat changes."""

    def test_first(self) -> None:
        """Guards against a ready target that gets no connections."""
        belief, connections = make_belief()
        assert belief.on_announcement(0, heartbeat()).is_changed
        assert connections.accepts
        assert belief.member is not None
        assert belief.member.incarnation == BORN

    def test_draining_is_in_force(self) -> None:
        """Guards against an acknowledged departure that is not true."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat())
        leaving = heartbeat(sequence=2, state=MemberState.draining)
        assert belief.on_announcement(1, leaving).is_changed
        assert not connections.accepts

    def test_late_copy(self) -> None:
        """Guards against an old heartbeat that takes a departure back."""
        belief, connections = make_belief()
        leaving = heartbeat(sequence=3, state=MemberState.draining)
        belief.on_announcement(0, leaving)
        noted = belief.on_announcement(1, heartbeat(sequence=2))
        assert not noted.is_current
        assert not connections.accepts

    def test_other_service(self) -> None:
        """Guards against a target of another service."""
        belief, connections = make_belief()
        noted = belief.on_announcement(0, heartbeat(service='collect'))
        assert not noted.is_current
        assert not connections.accepts

    def test_dead_predecessor(self) -> None:
        """Guards against a delayed heartbeat of a target that crashed."""
        belief, _ = make_belief()
        belief.on_announcement(0, heartbeat('t2', born=BORN + 5000))
        late = heartbeat('t1', sequence=9)
        assert not belief.on_announcement(1, late).is_current
        assert belief.on_announcement(2 + LATE_COPY_S, late).is_current

    def test_replaced(self) -> None:
        """Guards against balancers that keep a target that was replaced."""
        belief, _ = make_belief()
        belief.on_announcement(0, heartbeat())
        noted = belief.on_announcement(9, heartbeat('t2', born=BORN + 9000))
        assert noted.departed is not None
        assert noted.departed.target == 't1'
        assert noted.departed.state is MemberState.left

    def test_same_name_again(self) -> None:
        """Guards against a record that goes back with the host's clock."""
        belief, _ = make_belief()
        belief.on_announcement(0, heartbeat())
        belief.on_announcement(9, heartbeat(born=BORN - 2000))
        assert belief.member is not None
        assert belief.member.incarnation > BORN


class TestKnowledge:
    """Whether the agent has seen the target from its start."""

    def test_first_heartbeat(self) -> None:
        """Guards against needless offers to a new target."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat(sequence=1))
        assert connections.saw_start

    def test_restarted_agent(self) -> None:
        """Guards against resets of connections that the agent forgot."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat(sequence=40))
        assert not connections.saw_start

    def test_killed_early(self) -> None:
        """Guards against an agent that takes its start for the target's.

        An agent that is killed a second after its target started has
        brought the target connections that its successor does not know.
        """
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat(sequence=2))
        assert not connections.saw_start

    def test_next_target(self) -> None:
        """Guards against doubt about a target that started later."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat(sequence=40))
        belief.on_announcement(9, heartbeat('t2', 3, BORN + 90_000))
        assert connections.saw_start


class TestEnd:
    """Targets that end."""

    def test_departure(self) -> None:
        """Guards against new connections to a target that has said farewell."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat())
        assert belief.on_departure('t1')
        assert not connections.accepts
        assert not belief.on_departure('t2')

    def test_gone(self) -> None:
        """Guards against a record of a target that has ended."""
        belief, _ = make_belief()
        belief.on_announcement(0, heartbeat())
        noted = belief.on_gone()
        assert noted.departed is not None
        assert belief.member is None
        assert belief.silent_s(100) == 0


class TestRegistered:
    """What the object of an earlier agent tells."""

    def make_heard(self) -> tuple[TargetBelief, ConnectionTracker]:
        """Return an agent that has missed the first heartbeats."""
        belief, connections = make_belief()
        belief.on_announcement(0, heartbeat(sequence=5))
        assert not connections.saw_start
        return belief, connections

    def test_nobody_before(self) -> None:
        """Guards against offers of lost connections after a power loss."""
        belief, connections = self.make_heard()
        assert belief.on_registered(None, 0.5)
        assert connections.saw_start

    def test_earlier_start(self) -> None:
        """Guards against doubt about a target that has restarted."""
        belief, connections = self.make_heard()
        assert belief.member is not None
        earlier = belief.member._replace(incarnation=BORN - 1)
        assert belief.on_registered(earlier, 0.5)
        assert connections.saw_start

    def test_same_start(self) -> None:
        """Guards against resets of what the killed agent had delivered."""
        belief, connections = self.make_heard()
        assert not belief.on_registered(belief.member, 0.5)
        assert not connections.saw_start

    def test_clock_set_back(self) -> None:
        """Guards against a start that only seems to be a later one."""
        belief, connections = self.make_heard()
        assert belief.member is not None
        adjusted = belief.member._replace(incarnation=BORN + 1)
        assert not belief.on_registered(adjusted, 0.5)
        assert not connections.saw_start

    def test_old_target(self) -> None:
        """Guards against an earlier agent that could not register."""
        belief, connections = self.make_heard()
        assert not belief.on_registered(None, YOUNG_TARGET_S + 0.1)
        assert not belief.on_registered(None, -1.0)
        assert not connections.saw_start
