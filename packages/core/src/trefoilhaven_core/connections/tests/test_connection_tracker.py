"""Tests of an agent's decisions about segments."""

import pytest
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropSegment,
    OpeningRefused,
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
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.probes import REFUSAL_TIMEOUT_S
from trefoilhaven_core.connections.responsiveness import (
    OPENING_TIMEOUT_S,
    TRIAL_INTERVAL_S,
)
from trefoilhaven_core.connections.tables import CLOSED_RETENTION_S
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    accepting,
    key_of,
    make_forward,
    make_member,
    make_segment,
    only,
    opening,
    refused,
)
from trefoilhaven_core.connections.warm_up import RefusalCause, WarmUp
from trefoilhaven_core.settings.types import WarmUpLimits

MEMBER = make_member('t1')
KEY = key_of(1)
FIRST = 5000
CHOSEN = FIRST + 1
EVACUATED = TargetPolicy('certify', 'a', 1, 0.0, 0.0, 1, is_evacuated=True)


def make_tracker(*, saw_start: bool = True) -> ConnectionTracker:
    """Return the tracker of an agent whose target is ready."""
    tracker = ConnectionTracker('certify', 60.0)
    if saw_start:
        tracker.on_target_gone()
    tracker.set_target(TargetIdentity('certify', 't1', 1))
    tracker.accepts = True
    return tracker


def open_connection(tracker: ConnectionTracker) -> None:
    """Deliver an opening segment and let the target accept it."""
    tracker.on_forward(
        0, make_forward(MEMBER, opening(KEY)), opening(KEY), BALANCER
    )
    tracker.on_target_segment(0, accepting(KEY, FIRST))


def forward(
    tracker: ConnectionTracker,
    segment: Segment,
    *,
    now: float = 1.0,
    is_probe: bool = False,
) -> list[object]:
    """Return the effects of a client's segment."""
    message = make_forward(MEMBER, segment, is_probe=is_probe)
    return list(tracker.on_forward(now, message, segment, BALANCER))


def data(acknowledged: int = CHOSEN, sequence: int = 8) -> Segment:
    """Return a client's segment with data."""
    return make_segment(
        KEY, SegmentFlag.acknowledges, sequence, acknowledged, 100
    )


def query_verdict(
    tracker: ConnectionTracker, acknowledged: int, now: float = 1.0
) -> Verdict:
    """Return the agent's verdict about the connection."""
    query = HolderQuery('certify', 't1', (Question(KEY, acknowledged),))
    effect = only(tracker.on_query(now, query, BALANCER))
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, HolderReply)
    return effect.message.answers[0].verdict


def returned(effects: list[object]) -> SegmentReturn:
    """Return the only message, a returned segment."""
    effect = only(effects)
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, SegmentReturn)
    return effect.message


class TestDelivery:
    """Segments that may be delivered to the target."""

    def test_draining(self) -> None:
        """Guards against new connections after a departure is acknowledged."""
        tracker = make_tracker()
        tracker.accepts = False
        back = returned(forward(tracker, opening(KEY)))
        assert back.reason is ReturnReason.not_accepted

    def test_no_target(self) -> None:
        """Guards against connections before the target announced itself."""
        tracker = ConnectionTracker('certify', 60.0)
        back = returned(forward(tracker, opening(KEY)))
        assert back.reason is ReturnReason.not_accepted
        assert back.target == 't1'

    def test_evacuated(self) -> None:
        """Guards against new connections in an evacuated failure domain.

        A copy of a delivered opening segment, and the segments of an open
        connection, are delivered as before.
        """
        tracker = make_tracker()
        open_connection(tracker)
        pending = opening(key_of(2))
        forward(tracker, pending)
        tracker.warm_up.on_policy(1, EVACUATED)
        effects = forward(tracker, opening(key_of(3)))
        assert effects[0] == OpeningRefused(key_of(3), RefusalCause.evacuated)
        back = returned(effects[1:])
        assert back.reason is ReturnReason.not_accepted
        for segment in (pending, data()):
            effect = only(forward(tracker, segment, now=3))
            assert effect == DeliverToTarget(segment.raw)

    def test_cold(self) -> None:
        """Guards against a cold target that gets all openings."""
        warm_up = WarmUp(WarmUpLimits(1, 2))
        tracker = ConnectionTracker('certify', 60.0, warm_up)
        tracker.set_target(TargetIdentity('certify', 't1', 1))
        tracker.accepts = True
        warm_up.on_heartbeat(0, 9)
        effects = [
            forward(tracker, opening(key_of(number)))[0] for number in range(3)
        ]
        assert effects[1] == DeliverToTarget(opening(key_of(1)).raw)
        assert effects[2] == OpeningRefused(key_of(2), RefusalCause.cold)

    def test_other_service(self) -> None:
        """Guards against segments for an earlier service of the host."""
        tracker = ConnectionTracker('collect', 60.0)
        effect = only(forward(tracker, opening(KEY)))
        assert isinstance(effect, DropSegment)

    def test_other_incarnation(self) -> None:
        """Guards against connections meant for another incarnation."""
        tracker = make_tracker()
        later = MEMBER._replace(incarnation=2)
        message = make_forward(later, opening(KEY))
        effects = tracker.on_forward(0, message, opening(KEY), BALANCER)
        assert returned(list(effects)).reason is ReturnReason.other_target

    def test_unknown_connection(self) -> None:
        """Guards against segments of connections of other targets."""
        back = returned(forward(make_tracker(), data()))
        assert back.reason is ReturnReason.not_held

    def test_raw_is_unchanged(self) -> None:
        """Guards against changes to the bytes of a segment."""
        tracker = make_tracker()
        open_connection(tracker)
        segment = data()
        assert forward(tracker, segment) == [DeliverToTarget(segment.raw)]


class TestRefusedOpenings:
    """Openings that the target refuses after it has accepted them."""

    def test_copy(self) -> None:
        """Guards against an open connection that is forgotten.

        A delayed copy of its opening segment reaches the target when that
        is full, and is refused.
        """
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, opening(KEY, 1))
        tracker.on_target_segment(1, refused(opening(KEY, 1)))
        assert query_verdict(tracker, CHOSEN) is Verdict.held

    def test_not_accepted(self) -> None:
        """Guards against a record of a connection that was never opened."""
        tracker = make_tracker()
        forward(tracker, opening(KEY))
        effects = tracker.on_target_segment(1, refused(opening(KEY)))
        back = returned(list(effects))
        assert back.reason is ReturnReason.not_accepted
        assert query_verdict(tracker, CHOSEN) is Verdict.absent


class TestChoice:
    """Several targets that accepted the same connection."""

    def test_chosen(self) -> None:
        """Guards against denial of a connection that the client chose."""
        tracker = make_tracker()
        open_connection(tracker)
        assert query_verdict(tracker, FIRST + 1) is Verdict.held

    def test_not_chosen(self) -> None:
        """Guards against two targets that both claim one connection."""
        tracker = make_tracker()
        open_connection(tracker)
        assert query_verdict(tracker, FIRST + (1 << 30)) is Verdict.absent
        back = returned(forward(tracker, data(FIRST + (1 << 30))))
        assert back.reason is ReturnReason.not_held

    def test_acceptance_is_announced(self) -> None:
        """Guards against retransmitted openings sent to another target."""
        tracker = make_tracker()
        forward(tracker, opening(KEY))
        effects = tracker.on_target_segment(0, accepting(KEY, FIRST))
        messages = [
            each.message for each in effects if isinstance(each, SendMessage)
        ]
        assert isinstance(messages[0], ConnectionAccepted)

    def test_port_used_again(self) -> None:
        """Guards against state of an earlier connection on a reused port."""
        tracker = make_tracker()
        open_connection(tracker)
        reset = make_segment(KEY, SegmentFlag.reset, 9, FIRST + 1)
        forward(tracker, reset)
        forward(tracker, opening(KEY))
        tracker.on_target_segment(2, accepting(KEY, 1 << 31))
        assert query_verdict(tracker, (1 << 31) + 1) is Verdict.held


class TestRestart:
    """An agent that started after its target."""

    def test_unsure(self) -> None:
        """Guards against a verdict that the agent can't know."""
        assert (
            query_verdict(make_tracker(saw_start=False), FIRST)
            is Verdict.unsure
        )

    def test_probe_is_refused(self) -> None:
        """Guards against repeated probes of a target that refused one."""
        tracker = make_tracker(saw_start=False)
        segment = data()
        assert forward(tracker, segment, is_probe=True) == [
            DeliverToTarget(segment.raw)
        ]
        back = returned(list(tracker.on_target_segment(1, refused(segment))))
        assert back.reason is ReturnReason.not_held
        assert back.raw == segment.raw
        assert query_verdict(tracker, FIRST, now=1.1) is Verdict.absent

    def test_probe_is_accepted(self) -> None:
        """Guards against a probed holder that is not reported."""
        tracker = make_tracker(saw_start=False)
        forward(tracker, data(), is_probe=True)
        assert not tracker.tick(1.0)
        effect = only(tracker.tick(1.0 + REFUSAL_TIMEOUT_S))
        assert isinstance(effect, SendMessage)
        assert query_verdict(tracker, FIRST, now=1.1) is Verdict.held

    def test_target_speaks_first(self) -> None:
        """Guards against dropped segments after a restart of the agent."""
        tracker = make_tracker(saw_start=False)
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST, 9, 10)
        assert tracker.on_target_segment(1, answer) == [
            SendToClient(KEY, answer.raw)
        ]
        assert query_verdict(tracker, FIRST) is Verdict.held


class TestResponsiveness:
    """An unresponsive target on a running host."""

    def test_further_openings(self) -> None:
        """Guards against new connections to an unresponsive target."""
        tracker = make_tracker()
        forward(tracker, opening(KEY), now=1.0)
        assert not tracker.responsiveness.is_unresponsive(
            1.0 + OPENING_TIMEOUT_S / 2
        )
        later = 1.0 + OPENING_TIMEOUT_S
        assert tracker.responsiveness.is_unresponsive(later)
        back = returned(forward(tracker, opening(key_of(2)), now=later))
        assert back.reason is ReturnReason.not_accepted

    def test_trial(self) -> None:
        """Guards against a target that is avoided permanently."""
        tracker = make_tracker()
        forward(tracker, opening(KEY), now=1.0)
        trial = opening(key_of(2))
        assert forward(tracker, trial, now=1.01 + TRIAL_INTERVAL_S) == [
            DeliverToTarget(trial.raw)
        ]

    def test_back(self) -> None:
        """Guards against a target that stays unresponsive after an answer."""
        tracker = make_tracker()
        forward(tracker, opening(KEY), now=1.0)
        tracker.on_target_segment(2, accepting(KEY, FIRST))
        assert not tracker.responsiveness.is_unresponsive(2)

    def test_mute(self) -> None:
        """Guards against a crash that only missing heartbeats reveal.

        The target may still accept openings of its own, so that data alone
        must start the time without an answer.
        """
        tracker = make_tracker()
        open_connection(tracker)
        assert not tracker.responsiveness.mute_s(1.0)
        forward(tracker, data(), now=1.0)
        forward(tracker, data(sequence=200), now=1.2)
        assert tracker.responsiveness.mute_s(1.3) == pytest.approx(0.3)
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST + 1, 9, 50)
        tracker.on_target_segment(1.4, answer)
        assert not tracker.responsiveness.mute_s(2.0)


class TestOthers:
    """Queries about targets that are no longer on the host."""

    def test_successor(self) -> None:
        """Guards against probes of the next target on a host.

        After a power loss, the objects of targets that had left named hosts
        whose agents were unsure. Each lost connection was then probed at
        dozens of targets that never held it.
        """
        tracker = make_tracker(saw_start=False)
        tracker.evidence.is_confirmed = True
        query = HolderQuery('certify', 't0', (Question(KEY, 9),))
        effect = only(tracker.on_query(1, query, BALANCER))
        assert isinstance(effect, SendMessage)
        assert isinstance(effect.message, HolderReply)
        assert effect.message.answers[0].verdict is Verdict.absent
        probe = make_forward(make_member('t0'), data(), is_probe=True)
        back = only(tracker.on_forward(1, probe, data(), BALANCER))
        assert isinstance(back, SendMessage)
        assert isinstance(back.message, SegmentReturn)
        assert back.message.reason is ReturnReason.not_held

    def test_no_listener(self) -> None:
        """Guards against an agent that takes silence for acceptance.

        Without a listening target, no probe is ever refused.
        """
        tracker = ConnectionTracker('certify', 60.0)
        assert query_verdict(tracker, 9) is Verdict.unsure
        tracker.on_target_gone()
        assert query_verdict(tracker, 9) is Verdict.absent

    def test_started_later(self) -> None:
        """Guards against needless probes of a target that started later.

        The agent found that nothing listened on the host, so that the target
        holds only connections that this agent has delivered.
        """
        tracker = ConnectionTracker('certify', 60.0)
        tracker.on_target_gone()
        tracker.set_target(TargetIdentity('certify', 't1', 1))
        assert query_verdict(tracker, 9) is Verdict.absent

    def test_started_before(self) -> None:
        """Guards against resets by an agent that started after its target."""
        tracker = ConnectionTracker('certify', 60.0)
        tracker.set_target(TargetIdentity('certify', 't1', 1))
        assert query_verdict(tracker, 9) is Verdict.unsure


class TestFormerName:
    """Queries under the name of an earlier target of the host."""

    def test_held(self) -> None:
        """Guards against the denial of a connection that the target holds.

        A balancer that does not know the target yet asks for the earlier one.
        """
        tracker = make_tracker()
        open_connection(tracker)
        query = HolderQuery('certify', 't0', (Question(KEY, CHOSEN),))
        effect = only(tracker.on_query(1, query, BALANCER))
        assert isinstance(effect, SendMessage)
        assert isinstance(effect.message, HolderReply)
        assert effect.message.answers[0].verdict is Verdict.held

    def test_not_probed(self) -> None:
        """Guards against probes with segments for an earlier target."""
        tracker = make_tracker(saw_start=False)
        tracker.evidence.is_confirmed = True
        query = HolderQuery('certify', 't0', (Question(KEY, CHOSEN),))
        effect = only(tracker.on_query(1, query, BALANCER))
        assert isinstance(effect, SendMessage)
        assert isinstance(effect.message, HolderReply)
        assert effect.message.answers[0].verdict is Verdict.absent

    def test_unconfirmed(self) -> None:
        """Guards against a denial because of a late heartbeat.

        The target of the agent may be one that a late heartbeat has named,
        so that the other name in a query may be that of the living target.
        """
        tracker = make_tracker(saw_start=False)
        query = HolderQuery('certify', 't0', (Question(KEY, CHOSEN),))
        effect = only(tracker.on_query(1, query, BALANCER))
        assert isinstance(effect, SendMessage)
        assert isinstance(effect.message, HolderReply)
        assert effect.message.answers[0].verdict is Verdict.unsure
        other = make_forward(make_member('t0'), data(), is_probe=True)
        effects = tracker.on_forward(1, other, data(), BALANCER)
        assert effects == [DeliverToTarget(data().raw)]


class TestReusedPort:
    """Openings from the port of a connection that the agent knows.

    The client and the target may both have discarded it.
    """

    NEXT = 900

    def test_draining(self) -> None:
        """Guards against new connections at a target that is leaving."""
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, data())
        tracker.accepts = False
        again = opening(KEY, sequence=self.NEXT)
        back = returned(forward(tracker, again))
        assert back.reason is ReturnReason.not_accepted

    def test_copy(self) -> None:
        """Guards against a late copy that goes to another target."""
        tracker = make_tracker()
        open_connection(tracker)
        tracker.accepts = False
        effects = forward(tracker, opening(KEY, 1))
        assert effects == [DeliverToTarget(opening(KEY, 1).raw)]

    def test_accepted(self) -> None:
        """Guards against the denial of the later connection."""
        tracker = make_tracker()
        open_connection(tracker)
        last = SegmentFlag.last | SegmentFlag.acknowledges
        tracker.on_target_segment(1, make_segment(KEY, last, CHOSEN, 8))
        again = opening(KEY, sequence=self.NEXT)
        assert forward(tracker, again) == [DeliverToTarget(again.raw)]
        first = FIRST + (1 << 30)
        effects = tracker.on_target_segment(2, accepting(KEY, first, self.NEXT))
        assert any(
            isinstance(effect, SendMessage)
            and isinstance(effect.message, ConnectionAccepted)
            for effect in effects
        )
        assert query_verdict(tracker, first + 1) is Verdict.held
        assert query_verdict(tracker, CHOSEN) is Verdict.absent
        # The end of the earlier connection does not count for this one.
        forward(tracker, make_segment(KEY, last, self.NEXT + 1, first + 1))
        assert tracker.load(2).connections == 1
        tracker.accepts = False
        copy = opening(KEY, 1, self.NEXT)
        assert forward(tracker, copy) == [DeliverToTarget(copy.raw)]

    def test_late_opening(self) -> None:
        """Guards against a late opening that ends an open connection."""
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, data())
        forward(tracker, opening(KEY, sequence=self.NEXT))
        assert query_verdict(tracker, CHOSEN) is Verdict.held


class TestEnd:
    """The end of targets and connections."""

    def test_target_gone(self) -> None:
        """Guards against clients that wait for a target after its end."""
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, data())
        effect = only(tracker.on_target_gone())
        assert isinstance(effect, ResetClient)
        assert effect.sequence == FIRST + 1

    def test_not_completed(self) -> None:
        """Guards against resets of connections that are open elsewhere.

        An opening may have been placed at two targets. The client has chosen
        the other one, and never completed this one.
        """
        tracker = make_tracker()
        open_connection(tracker)
        assert not tracker.on_target_gone()

    def test_next_incarnation(self) -> None:
        """Guards against resets without an answer of the target.

        A heartbeat that names another target may be another writer's. If the
        target has really been replaced, it refuses the next segment.
        """
        tracker = make_tracker()
        open_connection(tracker)
        tracker.set_target(TargetIdentity('certify', 't2', 2))
        assert query_verdict(tracker, CHOSEN) is Verdict.held
        effect = only(tracker.on_target_segment(2, refused(data())))
        assert isinstance(effect, ResetClient)

    def test_requests_repeated(self) -> None:
        """Guards against repetitions of requests that were answered."""
        tracker = make_tracker()
        open_connection(tracker)
        assert not tracker.repeat_requests()
        forward(tracker, data())
        assert tracker.repeat_requests() == [DeliverToTarget(data().raw)]
        response = make_segment(KEY, SegmentFlag.acknowledges, CHOSEN, 108, 9)
        tracker.on_target_segment(1, response)
        assert not tracker.repeat_requests()

    def test_dropped_by_target(self) -> None:
        """Guards against searches for a connection the target has dropped."""
        tracker = make_tracker()
        open_connection(tracker)
        effect = only(tracker.on_target_segment(2, refused(data())))
        assert isinstance(effect, ResetClient)

    def test_delayed_duplicates(self) -> None:
        """Guards against a closed connection that is removed immediately."""
        tracker = make_tracker()
        open_connection(tracker)
        last = SegmentFlag.last | SegmentFlag.acknowledges
        forward(tracker, make_segment(KEY, last, 9, FIRST + 1))
        tracker.on_target_segment(1, make_segment(KEY, last, FIRST + 1, 10))
        assert tracker.load(1.0).connections == 0
        tracker.forget(1 + CLOSED_RETENTION_S / 2)
        assert len(tracker) == 1
        tracker.forget(1 + CLOSED_RETENTION_S)
        assert not len(tracker)


class TestLoad:
    """Load counted by the agent."""

    def test_waiting(self) -> None:
        """Guards against a busy target that seems idle, and vice versa."""
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, data())
        forward(tracker, data())
        assert tracker.load(1.0).waiting == 1
        answer = make_segment(KEY, SegmentFlag.acknowledges, FIRST + 1, 9, 50)
        tracker.on_target_segment(1.04, answer)
        assert tracker.load(1.0).waiting == 0
        assert abs(tracker.load(1.0).service_time_s - 0.04) < 1e-9
        # A retransmission of answered data is not another request.
        forward(tracker, data(), now=1.2)
        assert tracker.load(1.0).waiting == 0
        forward(tracker, data(sequence=200), now=1.3)
        assert tracker.load(1.0).waiting == 1

    def test_expired(self) -> None:
        """Guards against counting requests of expired connections."""
        tracker = make_tracker()
        open_connection(tracker)
        forward(tracker, data())
        tracker.forget(100)
        assert tracker.load(1.0).waiting == 0
