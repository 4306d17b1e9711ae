"""Decisions of an agent about segments."""

import pytest
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropSegment,
    ResetClient,
    SendMessage,
    SendToClient,
)
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    HolderQuery,
    HolderReply,
    Question,
    ReturnReason,
    Segment,
    SegmentFlag,
    SegmentReturn,
    TargetIdentity,
    Verdict,
)
from trefoilhaven_core.connections.probes import REFUSAL_TIMEOUT_S
from trefoilhaven_core.connections.responsiveness import (
    OPENING_TIMEOUT_S,
    TRIAL_INTERVAL_S,
)
from trefoilhaven_core.connections.tables import CLOSED_RETENTION_S
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    accepting,
    bounced,
    key_of,
    make_forward,
    make_member,
    make_segment,
    only,
    opening,
)

MEMBER = make_member('t1')
KEY = key_of(1)
FIRST = 5000
CHOSEN = FIRST + 1


def make_table(*, saw_start: bool = True) -> ConnectionTracker:
    """Return the table of an agent whose target is ready."""
    table = ConnectionTracker('certify', 60.0)
    table.set_target(TargetIdentity('certify', 't1', 1), saw_start)
    table.accepts = True
    return table


def open_connection(table: ConnectionTracker) -> None:
    """Let the target accept a connection."""
    table.on_forward(
        0, make_forward(MEMBER, opening(KEY)), opening(KEY), BALANCER
    )
    table.on_target_segment(0, accepting(KEY, FIRST))


def forward(
    table: ConnectionTracker,
    segment: Segment,
    *,
    now: float = 1.0,
    is_probe: bool = False,
) -> list[object]:
    """Return what the agent does with a client's segment."""
    message = make_forward(MEMBER, segment, is_probe=is_probe)
    return list(table.on_forward(now, message, segment, BALANCER))


def data(acknowledged: int = CHOSEN, sequence: int = 8) -> Segment:
    """Return a client's segment with data."""
    return make_segment(
        KEY, SegmentFlag.acknowledges, sequence, acknowledged, 100
    )


def ask(
    table: ConnectionTracker, acknowledged: int, now: float = 1.0
) -> Verdict:
    """Return the agent's verdict about the connection."""
    query = HolderQuery('certify', 't1', (Question(KEY, acknowledged),))
    effect = only(table.on_query(now, query, BALANCER))
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, HolderReply)
    return effect.message.answers[0].verdict


def returned(effects: list[object]) -> SegmentReturn:
    """Return the only message, a segment that comes back."""
    effect = only(effects)
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, SegmentReturn)
    return effect.message


class TestGate:
    """What may reach the target."""

    def test_draining(self) -> None:
        """Guards against new work after a departure was acknowledged."""
        table = make_table()
        table.accepts = False
        back = returned(forward(table, opening(KEY)))
        assert back.reason is ReturnReason.not_accepted

    def test_no_target(self) -> None:
        """Guards against work before the target announced itself."""
        table = ConnectionTracker('certify', 60.0)
        back = returned(forward(table, opening(KEY)))
        assert back.reason is ReturnReason.not_accepted
        assert back.target == 't1'

    def test_other_service(self) -> None:
        """Guards against a segment for the host's earlier service."""
        table = ConnectionTracker('collect', 60.0)
        effect = only(forward(table, opening(KEY)))
        assert isinstance(effect, DropSegment)

    def test_other_incarnation(self) -> None:
        """Guards against connections meant for an earlier target."""
        table = make_table()
        later = MEMBER._replace(incarnation=2)
        message = make_forward(later, opening(KEY))
        effects = table.on_forward(0, message, opening(KEY), BALANCER)
        assert returned(list(effects)).reason is ReturnReason.other_target

    def test_unknown_connection(self) -> None:
        """Guards against segments of other targets' connections."""
        back = returned(forward(make_table(), data()))
        assert back.reason is ReturnReason.not_held

    def test_raw_is_unchanged(self) -> None:
        """Guards against a target that gets other bytes than were sent."""
        table = make_table()
        open_connection(table)
        segment = data()
        assert forward(table, segment) == [DeliverToTarget(segment.raw)]


class TestChoice:
    """Several targets that accepted one opening segment."""

    def test_chosen(self) -> None:
        """Guards against a lost connection."""
        table = make_table()
        open_connection(table)
        assert ask(table, FIRST + 1) is Verdict.held

    def test_not_chosen(self) -> None:
        """Guards against two targets that both claim a connection."""
        table = make_table()
        open_connection(table)
        assert ask(table, FIRST + (1 << 30)) is Verdict.absent
        back = returned(forward(table, data(FIRST + (1 << 30))))
        assert back.reason is ReturnReason.not_held

    def test_accepted_is_told(self) -> None:
        """Guards against repeats that go to another target."""
        table = make_table()
        forward(table, opening(KEY))
        effects = table.on_target_segment(0, accepting(KEY, FIRST))
        messages = [
            each.message for each in effects if isinstance(each, SendMessage)
        ]
        assert isinstance(messages[0], ConnectionAccepted)

    def test_port_used_again(self) -> None:
        """Guards against a new connection that is judged by the old one."""
        table = make_table()
        open_connection(table)
        reset = make_segment(KEY, SegmentFlag.reset, 9, FIRST + 1)
        forward(table, reset)
        forward(table, opening(KEY))
        table.on_target_segment(2, accepting(KEY, 1 << 31))
        assert ask(table, (1 << 31) + 1) is Verdict.held


class TestRestart:
    """An agent that started after its target."""

    def test_unsure(self) -> None:
        """Guards against a verdict that the agent can't know."""
        assert ask(make_table(saw_start=False), FIRST) is Verdict.unsure

    def test_offer_is_refused(self) -> None:
        """Guards against segments that go to the wrong target again."""
        table = make_table(saw_start=False)
        segment = data()
        assert forward(table, segment, is_probe=True) == [
            DeliverToTarget(segment.raw)
        ]
        back = returned(list(table.on_target_segment(1, bounced(segment))))
        assert back.reason is ReturnReason.not_held
        assert back.raw == segment.raw
        assert ask(table, FIRST, now=1.1) is Verdict.absent

    def test_offer_is_taken(self) -> None:
        """Guards against a holder that is not found."""
        table = make_table(saw_start=False)
        forward(table, data(), is_probe=True)
        assert not table.tick(1.0)
        effect = only(table.tick(1.0 + REFUSAL_TIMEOUT_S))
        assert isinstance(effect, SendMessage)
        assert ask(table, FIRST, now=1.1) is Verdict.held

    def test_target_speaks_first(self) -> None:
        """Guards against answers that an agent does not pass on."""
        table = make_table(saw_start=False)
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST, 9, 10)
        assert table.on_target_segment(1, answer) == [
            SendToClient(KEY, answer.raw)
        ]
        assert ask(table, FIRST) is Verdict.held


class TestSilence:
    """A target that hangs although its host is up."""

    def test_further_openings(self) -> None:
        """Guards against clients that wait for a target that hangs."""
        table = make_table()
        forward(table, opening(KEY), now=1.0)
        assert not table.is_silent(1.0 + OPENING_TIMEOUT_S / 2)
        later = 1.0 + OPENING_TIMEOUT_S
        assert table.is_silent(later)
        back = returned(forward(table, opening(key_of(2)), now=later))
        assert back.reason is ReturnReason.not_accepted

    def test_trial(self) -> None:
        """Guards against a target that is left out for ever."""
        table = make_table()
        forward(table, opening(KEY), now=1.0)
        trial = opening(key_of(2))
        assert forward(table, trial, now=1.01 + TRIAL_INTERVAL_S) == [
            DeliverToTarget(trial.raw)
        ]

    def test_back(self) -> None:
        """Guards against doubt about a target that answers again."""
        table = make_table()
        forward(table, opening(KEY), now=1.0)
        table.on_target_segment(2, accepting(KEY, FIRST))
        assert not table.is_silent(2)

    def test_mute(self) -> None:
        """Guards against a crash that shows only when heartbeats are missing.

        The target may still accept openings of its own, so that data alone
        must start the time.
        """
        table = make_table()
        open_connection(table)
        assert not table.mute_s(1.0)
        forward(table, data(), now=1.0)
        forward(table, data(sequence=200), now=1.2)
        assert table.mute_s(1.3) == pytest.approx(0.3)
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST + 1, 9, 50)
        table.on_target_segment(1.4, answer)
        assert not table.mute_s(2.0)


class TestOthers:
    """Questions about targets that are not here any more."""

    def test_successor(self) -> None:
        """Guards against offers to the next target on a host.

        After a power loss the objects of targets that had left named hosts
        whose agents were unsure, and each lost connection was offered to
        dozens of strangers.
        """
        table = make_table(saw_start=False)
        query = HolderQuery('certify', 't0', (Question(KEY, 9),))
        effect = only(table.on_query(1, query, BALANCER))
        assert isinstance(effect, SendMessage)
        assert isinstance(effect.message, HolderReply)
        assert effect.message.answers[0].verdict is Verdict.absent
        probe = make_forward(make_member('t0'), data(), is_probe=True)
        back = only(table.on_forward(1, probe, data(), BALANCER))
        assert isinstance(back, SendMessage)
        assert isinstance(back.message, SegmentReturn)
        assert back.message.reason is ReturnReason.not_held

    def test_vacant(self) -> None:
        """Guards against an agent that takes silence for acceptance.

        Where no target listens, nobody refuses what is offered.
        """
        table = ConnectionTracker('certify', 60.0)
        assert ask(table, 9) is Verdict.unsure
        table.on_target_gone()
        assert ask(table, 9) is Verdict.absent

    def test_target_is_back(self) -> None:
        """Guards against resets by an agent that asked too early."""
        table = ConnectionTracker('certify', 60.0)
        table.on_target_gone()
        table.set_target(TargetIdentity('certify', 't1', 1), saw_start=False)
        assert ask(table, 9) is Verdict.unsure


class TestEnd:
    """Targets and connections that end."""

    def test_target_gone(self) -> None:
        """Guards against clients that wait for a target that has ended."""
        table = make_table()
        open_connection(table)
        forward(table, data())
        effect = only(table.on_target_gone())
        assert isinstance(effect, ResetClient)
        assert effect.sequence == FIRST + 1

    def test_next_incarnation(self) -> None:
        """Guards against connections of a target that was replaced."""
        table = make_table()
        open_connection(table)
        effects = table.set_target(TargetIdentity('certify', 't2', 2), True)
        assert [type(each) for each in effects] == [ResetClient]

    def test_dropped_by_target(self) -> None:
        """Guards against a search for what the target has dropped."""
        table = make_table()
        open_connection(table)
        effect = only(table.on_target_segment(2, bounced(data())))
        assert isinstance(effect, ResetClient)

    def test_late_copies(self) -> None:
        """Guards against a closed connection that is forgotten at once."""
        table = make_table()
        open_connection(table)
        last = SegmentFlag.last | SegmentFlag.acknowledges
        forward(table, make_segment(KEY, last, 9, FIRST + 1))
        table.on_target_segment(1, make_segment(KEY, last, FIRST + 1, 10))
        assert table.load(1.0).connections == 0
        table.forget(1 + CLOSED_RETENTION_S / 2)
        assert len(table) == 1
        table.forget(1 + CLOSED_RETENTION_S)
        assert not len(table)


class TestLoad:
    """What the agent counts."""

    def test_waiting(self) -> None:
        """Guards against a busy target that looks free, and the reverse."""
        table = make_table()
        open_connection(table)
        forward(table, data())
        forward(table, data())
        assert table.load(1.0).waiting == 1
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST + 1, 9, 50)
        table.on_target_segment(1.04, answer)
        assert table.load(1.0).waiting == 0
        assert abs(table.load(1.0).service_time_s - 0.04) < 1e-9
        # A repeat of data that was answered is not another request.
        forward(table, data(), now=1.2)
        assert table.load(1.0).waiting == 0
        forward(table, data(sequence=200), now=1.3)
        assert table.load(1.0).waiting == 1

    def test_forgotten(self) -> None:
        """Guards against a count that grows with lost connections."""
        table = make_table()
        open_connection(table)
        forward(table, data())
        table.forget(100)
        assert table.load(1.0).waiting == 0
