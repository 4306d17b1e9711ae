"""Tests of failure detection."""

from trefoilhaven_core.membership.detectors import (
    DEAD_AFTER_S,
    DOMAIN_DEAD_AFTER_S,
    SUSPECT_AFTER_S,
    TICK_INTERVAL_S,
    UNHEARD_DEAD_AFTER_S,
    Detections,
    FailureDetector,
    refute,
)
from trefoilhaven_core.membership.messages import Member, MemberState
from trefoilhaven_core.membership.tests.support import (
    make_balancer,
    make_member,
)
from trefoilhaven_core.membership.views import ViewStore


class _DetectorHarness:
    """A failure detector with its store and all of its reports."""

    def __init__(self, *members: Member) -> None:
        self.store = ViewStore()
        self.store.merge(members)
        self.detector = FailureDetector(make_balancer(), self.store, 0)
        self.found: list[Detections] = []

    def run(self, start: float, end: float, *heard: Member) -> None:
        """Run the ticks, with heartbeats of ``heard`` every 0.5 s."""
        for tick in range(round(start * 4) + 1, round(end * 4) + 1):
            now = tick * TICK_INTERVAL_S
            for number, member in enumerate(heard):
                if tick % 2 == number % 2:
                    self.detector.on_heartbeat(now, member)
            found = self.detector.tick(now)
            self.store.merge(found.members, found.balancers)
            for report in found.silent_domains:
                self.store.suspect_domain(report)
            self.found.append(found)

    @property
    def reports(self) -> list[tuple[str, MemberState]]:
        """Members that were reported individually, with their state."""
        return [
            (member.target, member.state)
            for found in self.found
            for member in found.members
        ]

    @property
    def domains(self) -> list[str]:
        """Failure domains that were reported."""
        return [
            report.failure_domain
            for found in self.found
            for report in found.silent_domains
        ]


_DESKS = tuple(make_member(f'desk-{number}') for number in range(4))
_REMOTE = make_member('desk-9', failure_domain='kaohsiung-b')


class TestAgents:
    """Missing heartbeats of agents."""

    def test_suspect_then_dead(self) -> None:
        """Guards against late or repeated reports of one silent agent."""
        harness = _DetectorHarness(*_DESKS)
        harness.run(0, 5, *_DESKS)
        harness.run(5, 9, *_DESKS[1:])
        assert harness.reports == [
            ('desk-0', MemberState.suspect),
            ('desk-0', MemberState.dead),
        ]
        assert not harness.domains

    def test_death_time(self) -> None:
        """Guards against a death reported early or a second late."""
        harness = _DetectorHarness(*_DESKS)
        harness.run(0, 5, *_DESKS)
        harness.run(5, 5 + DEAD_AFTER_S - 0.75, *_DESKS[1:])
        assert MemberState.dead not in dict(harness.reports).values()
        harness.run(5 + DEAD_AFTER_S - 0.75, 8, *_DESKS[1:])
        assert ('desk-0', MemberState.dead) in harness.reports

    def test_draining_is_not_suspected(self) -> None:
        """Guards against a draining member that is eligible again."""
        draining = _DESKS[0]._replace(state=MemberState.draining)
        harness = _DetectorHarness(draining, *_DESKS[1:])
        harness.run(0, 5, draining, *_DESKS[1:])
        harness.run(5, 9, *_DESKS[1:])
        assert harness.reports == [('desk-0', MemberState.dead)]

    def test_unheard_member_dies_late(self) -> None:
        """Guards against a stopped member that stays alive for ever.

        This balancer never received a heartbeat from it.
        """
        harness = _DetectorHarness(_REMOTE)
        harness.detector.watch(0, [_REMOTE])
        harness.run(0, UNHEARD_DEAD_AFTER_S - 0.5)
        assert (_REMOTE.target, MemberState.dead) not in harness.reports
        harness.run(UNHEARD_DEAD_AFTER_S - 0.5, UNHEARD_DEAD_AFTER_S)
        assert (_REMOTE.target, MemberState.dead) in harness.reports

    def test_released_service(self) -> None:
        """Guards against reports by a balancer that is no witness any more."""
        harness = _DetectorHarness(*_DESKS)
        harness.run(0, 5, *_DESKS)
        harness.detector.release([_REMOTE.service])
        harness.run(5, 12)
        assert not harness.reports
        assert not harness.domains

    def test_own_pause(self) -> None:
        """Guards against a paused balancer that reports all members dead."""
        harness = _DetectorHarness(*_DESKS, _REMOTE)
        harness.run(0, 5, *_DESKS, _REMOTE)
        harness.run(15, 16)
        assert not harness.reports
        assert not harness.domains

    def test_contradiction_and_refutation(self) -> None:
        """Guards against a running agent that stays dead in the views."""
        dead = _REMOTE._replace(state=MemberState.dead)
        harness = _DetectorHarness(_REMOTE, dead)
        contradicting = harness.detector.on_heartbeat(1, _REMOTE)
        assert contradicting == dead
        raised = refute(_REMOTE, dead)
        assert raised == _REMOTE._replace(sequence=_REMOTE.sequence + 1)
        assert raised is not None
        assert harness.store.merge([raised])
        assert harness.detector.on_heartbeat(2, raised) is None

    def test_heartbeat_of_replaced_process_is_ignored(self) -> None:
        """Guards against an old process that hides its successor's failure."""
        newer = _REMOTE._replace(incarnation=2)
        harness = _DetectorHarness(newer)
        harness.run(0, 2, newer)
        harness.run(2, 6, _REMOTE)
        assert ('desk-9', MemberState.dead) in harness.reports

    def test_no_refutation_of_other_incarnation(self) -> None:
        """Guards against a replaced process that refutes a report."""
        newer = _REMOTE._replace(incarnation=2, state=MemberState.dead)
        assert refute(_REMOTE, newer) is None
        assert refute(newer, _REMOTE) is None


class TestFailureDomains:
    """Missing heartbeats of all members of a failure domain."""

    def test_one_report_and_late_death(self) -> None:
        """Guards against a report per member, and early reports of death."""
        harness = _DetectorHarness(*_DESKS, _REMOTE)
        harness.run(0, 5, *_DESKS, _REMOTE)
        harness.run(5, 5 + DOMAIN_DEAD_AFTER_S - 0.75, _REMOTE)
        assert harness.domains == ['tainan-a']
        assert not harness.reports
        suspects = harness.store.eligible(_REMOTE.service)
        assert {member.state for member in suspects[:4]} == {
            MemberState.suspect
        }
        harness.run(5 + DOMAIN_DEAD_AFTER_S - 0.75, 11, _REMOTE)
        assert len(harness.reports) == len(_DESKS)

    def test_short_partition(self) -> None:
        """Guards against reports of death after a partition that ended."""
        harness = _DetectorHarness(*_DESKS, _REMOTE)
        harness.run(0, 5, *_DESKS, _REMOTE)
        harness.run(5, 9, _REMOTE)
        harness.run(9, 15, *_DESKS, _REMOTE)
        assert harness.domains == ['tainan-a']
        assert not harness.reports

    def test_member_missing_after_partition(self) -> None:
        """Guards against a failed member that is missed after a partition.

        It does not recover with the other members of its failure domain.
        """
        harness = _DetectorHarness(*_DESKS, _REMOTE)
        harness.run(0, 5, *_DESKS, _REMOTE)
        harness.run(5, 9, _REMOTE)
        harness.run(9, 15, *_DESKS[1:], _REMOTE)
        assert harness.reports == [('desk-0', MemberState.dead)]

    def test_single_member_is_no_domain(self) -> None:
        """Guards against a longer wait for the only agent of a domain."""
        harness = _DetectorHarness(*_DESKS, _REMOTE)
        harness.run(0, 5, *_DESKS, _REMOTE)
        harness.run(5, 9, *_DESKS)
        assert not harness.domains
        assert harness.reports[-1] == ('desk-9', MemberState.dead)


class TestPeers:
    """Digests that peer balancers do not answer."""

    def test_unanswered_digest(self) -> None:
        """Guards against a dead balancer that stays in the views."""
        harness = _DetectorHarness()
        harness.store.merge(balancers=[make_balancer('entry-2')])
        harness.detector.on_probe_sent(0, 'entry-2')
        harness.run(0, SUSPECT_AFTER_S - 0.25)
        assert any(found.probes for found in harness.found)
        harness.run(SUSPECT_AFTER_S - 0.25, DEAD_AFTER_S)
        states = [
            record.state
            for found in harness.found
            for record in found.balancers
        ]
        assert states == [MemberState.suspect, MemberState.dead]

    def test_answer_ends_silence(self) -> None:
        """Guards against a report of death due to one lost datagram."""
        harness = _DetectorHarness()
        harness.store.merge(balancers=[make_balancer('entry-2')])
        harness.detector.on_probe_sent(0, 'entry-2')
        harness.run(0, 1)
        harness.detector.on_peer_message(1, 'entry-2')
        harness.run(1, 5)
        assert not any(found.balancers for found in harness.found)
