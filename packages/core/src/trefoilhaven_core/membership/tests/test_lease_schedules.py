"""Randomized schedules of leases and fencing.

TREFOILHAVEN_FIRST_SEED with TREFOILHAVEN_SCHEDULES=1 repeats one schedule.
"""

import pytest

from trefoilhaven_core.membership import fencing, leases
from trefoilhaven_core.membership.fencing import FenceTally
from trefoilhaven_core.membership.grants import NEVER, Grant
from trefoilhaven_core.membership.leases import (
    HEARTBEAT_INTERVAL_S,
    LeaseHolder,
    LeaseWitness,
)
from trefoilhaven_core.membership.messages import FenceRequest, HeartbeatAck
from trefoilhaven_core.membership.tests.lease_runs import RUN_S, LeaseRun
from trefoilhaven_core.membership.tests.support import (
    NO_LOAD,
    SERVICE,
    WITNESSES,
    make_member,
    schedule_seeds,
)

# A violation of each broken rule has to be detected within these seeds.
_BROKEN_RULE_SEEDS = range(1_000)


class _WitnessWithoutQuietPeriod(LeaseWitness):
    """Acknowledges and votes right after a restart, without quiet period."""

    def __init__(self, name: str, started_at: float) -> None:
        super().__init__(name, started_at - leases.FENCE_AFTER_S)


class _ArrivalCountingHolder(LeaseHolder):
    """Counts the lease from the arrival of the acknowledgement."""

    def on_ack(self, now: float, ack: HeartbeatAck) -> bool:
        """Replace the send time of the heartbeat by the arrival time."""
        return super().on_ack(now, ack._replace(sent_at=now))


class _ResumingHolder(LeaseHolder):
    """Resumes the old term after the lease expired."""

    def on_ack(self, now: float, ack: HeartbeatAck) -> bool:
        """Make the lease look renewable."""
        self._renewable_until = now + 1
        return super().on_ack(now, ack)


def _is_detected(run_class: type[LeaseRun]) -> bool:
    for seed in _BROKEN_RULE_SEEDS:
        run = run_class(seed)
        run.run()
        if run.violations:
            return True
    return False


class TestLeaseSchedules:
    """No lease is valid for a term that a majority voted to fence."""

    @pytest.mark.parametrize('seed', schedule_seeds(400))
    def test_no_lease_of_fenced_term(self, seed: int) -> None:
        """Guards against two owners of a bucket."""
        run = LeaseRun(seed)
        run.run()
        assert not run.violations, f'seed {seed}'

    def test_schedules_fence_and_lease(self) -> None:
        """Guards against schedules without any fence or valid lease."""
        runs = [LeaseRun(seed) for seed in range(10)]
        for run in runs:
            run.run()
        assert sum(run.fence_count for run in runs) > 10
        assert sum(run.valid_count for run in runs) > 1_000


class TestBrokenRules:
    """The schedules detect each rule of the protocol when it is broken."""

    def test_restarted_witness_votes_at_once(self) -> None:
        """Guards against schedules that miss a lease lost in a restart."""

        class Run(LeaseRun):
            witness_class = _WitnessWithoutQuietPeriod

        assert _is_detected(Run)

    def test_lease_from_arrival(self) -> None:
        """Guards against schedules that miss late acknowledgements."""

        class Run(LeaseRun):
            holder_class = _ArrivalCountingHolder

        assert _is_detected(Run)

    def test_resumed_term(self) -> None:
        """Guards against schedules that miss a vote lost in a restart."""

        class Run(LeaseRun):
            holder_class = _ResumingHolder

        assert _is_detected(Run)

    def test_no_margin(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss a fast witness clock."""
        monkeypatch.setattr(leases, 'FENCE_AFTER_S', leases.LEASE_S)
        assert _is_detected(LeaseRun)

    def test_forgotten_process(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss the lease of an old process."""
        advance = Grant.advance

        def advance_and_forget(grant: Grant, *pair: int) -> None:
            advance(grant, *pair)
            grant.older_acked_at = NEVER

        monkeypatch.setattr(Grant, 'advance', advance_and_forget)
        assert _is_detected(LeaseRun)


class TestRollingOutage:
    """Two witnesses lose the holder one after the other; one restarts.

    The other two witnesses keep the lease valid throughout.
    """

    def test_votes_far_apart(self) -> None:
        """Guards against fencing with a vote that was lost in a restart."""
        assert _fenced_and_leased() == (False, True)

    def test_without_vote_life(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a schedule that does not trigger the fault."""
        monkeypatch.setattr(fencing, 'VOTE_LIFE_S', RUN_S)
        assert _fenced_and_leased() == (True, True)


def _fenced_and_leased() -> tuple[bool, bool]:
    witnesses = {name: LeaseWitness(name, -10) for name in WITNESSES}
    holder = LeaseHolder(SERVICE, 'desk-1', 1, WITNESSES)
    fence = FenceRequest(SERVICE, 'desk-1', 1, 1, 'desk-2')
    tally = FenceTally(fence, WITNESSES)
    for step in range(19):
        now = step * HEARTBEAT_INTERVAL_S
        unreachable = 'entry-1' if now <= 3 else 'entry-2'
        request = tally.due_request(now)
        if request and not 3 < now <= 6:
            vote = witnesses[unreachable].on_fence(now, request)
            tally.on_vote(now, vote)
        if now == 3:
            witnesses['entry-1'] = LeaseWitness('entry-1', now)
        for name, heartbeat in holder.heartbeats(
            now, make_member(), NO_LOAD, 0
        ):
            if name == unreachable and not 3 < now <= 6:
                continue
            answer = witnesses[name].on_heartbeat(now, heartbeat)
            if isinstance(answer, HeartbeatAck):
                holder.on_ack(now, answer)
    return tally.fenced, holder.lease_valid(now)
