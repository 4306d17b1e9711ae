"""Randomized schedules of leases and fencing.

Repeat one schedule with TREFOILHAVEN_FIRST_SEED and TREFOILHAVEN_SCHEDULES=1.
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

# Schedules within which each broken rule has to be noticed.
_BROKEN_RULE_SEEDS = range(1_000)


class _HastyWitness(LeaseWitness):
    """Acknowledges and votes at once after a restart."""

    def __init__(self, name: str, started_at: float) -> None:
        super().__init__(name, started_at - leases.FENCE_AFTER_S)


class _ArrivalCountingHolder(LeaseHolder):
    """Counts the lease from the arrival of the acknowledgement."""

    def on_ack(self, now: float, ack: HeartbeatAck) -> bool:
        """Replace the send time of the heartbeat."""
        return super().on_ack(now, ack._replace(sent_at=now))


class _ResumingHolder(LeaseHolder):
    """Takes the lease again on the old term after it lapsed."""

    def on_ack(self, now: float, ack: HeartbeatAck) -> bool:
        """Hide the gap."""
        self._renewable_until = now + 1
        return super().on_ack(now, ack)


def _is_noticed(run_class: type[LeaseRun]) -> bool:
    for seed in _BROKEN_RULE_SEEDS:
        run = run_class(seed)
        run.run()
        if run.violations:
            return True
    return False


class TestLeaseSchedules:
    """No valid lease of a term that a majority has voted to fence."""

    @pytest.mark.parametrize('seed', schedule_seeds(400))
    def test_no_lease_of_fenced_term(self, seed: int) -> None:
        """Guards against two owners of a bucket."""
        run = LeaseRun(seed)
        run.run()
        assert not run.violations, f'seed {seed}'

    def test_schedules_fence_and_lease(self) -> None:
        """Guards against schedules in which nothing happens."""
        runs = [LeaseRun(seed) for seed in range(10)]
        for run in runs:
            run.run()
        assert sum(run.fence_count for run in runs) > 10
        assert sum(run.valid_count for run in runs) > 1_000


class TestBrokenRules:
    """Each rule, broken once, must be noticed."""

    def test_restarted_witness_votes_at_once(self) -> None:
        """Guards against schedules that miss a forgotten lease."""

        class Run(LeaseRun):
            witness_class = _HastyWitness

        assert _is_noticed(Run)

    def test_lease_from_arrival(self) -> None:
        """Guards against schedules that miss late acknowledgements."""

        class Run(LeaseRun):
            holder_class = _ArrivalCountingHolder

        assert _is_noticed(Run)

    def test_resumed_term(self) -> None:
        """Guards against schedules that miss a forgotten vote."""

        class Run(LeaseRun):
            holder_class = _ResumingHolder

        assert _is_noticed(Run)

    def test_no_margin(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss a fast witness clock."""
        monkeypatch.setattr(leases, 'FENCE_AFTER_S', leases.LEASE_S)
        assert _is_noticed(LeaseRun)

    def test_forgotten_process(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss the lease of an old process."""
        advance = Grant.advance

        def advance_and_forget(grant: Grant, *pair: int) -> None:
            advance(grant, *pair)
            grant.older_acked_at = NEVER

        monkeypatch.setattr(Grant, 'advance', advance_and_forget)
        assert _is_noticed(LeaseRun)


class TestRollingOutage:
    """One witness after the other loses the holder; one restarts.

    The lease holds throughout by the other two witnesses.
    """

    def test_votes_far_apart(self) -> None:
        """Guards against a fence by a vote that was forgotten."""
        assert _fenced_and_leased() == (False, True)

    def test_without_vote_life(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a schedule that does not show the fault."""
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
        request = tally.requests(now)
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
