"""Random schedules of claims, fences, pauses and restarts."""

import pytest

from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.ownership.buckets import BucketTransfer
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.fences import FenceTracker
from trefoilhaven_core.ownership.grants import ClaimDecision, ClaimResponder
from trefoilhaven_core.ownership.messages import ClaimBuckets, DirectoryEntry
from trefoilhaven_core.ownership.siblings import Siblings
from trefoilhaven_core.ownership.tests.keys import KeyPool
from trefoilhaven_core.ownership.tests.pool import Pool, Violation
from trefoilhaven_core.ownership.tests.schedules import schedule_seeds
from trefoilhaven_core.ownership.tests.support import BUCKETS, WALL

_original_evaluate = ClaimResponder.evaluate
_original_grant = ClaimResponder.grant


def _run(seed: int) -> Pool:
    pool = Pool(seed)
    pool.run()
    return pool


def _grant_in_contest(
    responder: ClaimResponder, claim: ClaimBuckets, bucket: int
) -> ClaimDecision:
    decision = _original_evaluate(responder, claim, bucket)
    return (
        ClaimDecision.granted
        if decision is ClaimDecision.contested
        else decision
    )


def _grant_and_claim(
    responder: ClaimResponder,
    now: float,
    claim: ClaimBuckets,
    bucket: int,
    leased: bool,
) -> BucketTransfer | None:
    if responder._states[bucket].claiming:
        return None
    return _original_grant(responder, now, claim, bucket, leased)


def _ignore(
    directory: Directory,
    entry: DirectoryEntry,
    source: str,
    keep_known: bool = False,
) -> None:
    """Replace ``Directory.merge``, ignoring the entry."""


def _seed_that_fails(seeds: range) -> int | None:
    for seed in seeds:
        try:
            _run(seed)
        except Violation:
            return seed
    return None


class TestSchedules:
    """Ownership during faults, and after they have stopped."""

    @pytest.mark.parametrize('seed', schedule_seeds())
    def test_exclusive_and_live(self, seed: int) -> None:
        """Guards against two owners with leases, or none after the faults."""
        pool = _run(seed)
        living = [
            record.target
            for record in pool.view().members
            if record.state is MemberState.alive
        ]
        owned = [
            bucket for name in living for bucket in pool.agents[name].owned()
        ]
        assert sorted(owned) == list(range(BUCKETS)), f'seed {seed}'


class TestKeys:
    """Request keys across changes of bucket ownership."""

    @pytest.mark.parametrize('seed', schedule_seeds())
    def test_runs_at_most_once(self, seed: int) -> None:
        """Guards against an owner that lost a key and runs it again."""
        pool = KeyPool(seed)
        pool.run()
        assert pool.run_items, f'seed {seed}'

    def test_directory_not_transferred(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules that never transfer directory entries.

        Without the merge, a key must run twice in one of them.
        """
        monkeypatch.setattr(Directory, 'merge', _ignore)
        with pytest.raises(Violation):
            for seed in range(20):
                KeyPool(seed).run()

    def test_horizon_not_raised(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that never lose directory entries.

        Without the horizon, a key must run twice in one of them.
        """
        monkeypatch.setattr(BucketOwnership, 'horizon', lambda *_: WALL)
        with pytest.raises(Violation):
            for seed in range(20):
                KeyPool(seed).run()


class TestBrokenRules:
    """Breaks each rule once to show that the schedules detect it."""

    def test_grant_keeps_own_claim(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules that miss two complete claims.

        Granting agents keep their own claims of contested buckets.
        """
        monkeypatch.setattr(ClaimResponder, 'evaluate', _grant_in_contest)
        monkeypatch.setattr(ClaimResponder, 'grant', _grant_and_claim)
        assert _seed_that_fails(range(20)) is not None

    def test_contest_is_granted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a wrong cause in ``test_grant_keeps_own_claim``.

        Granting contested buckets is safe as long as the granting agent
        cancels its own claim.
        """
        monkeypatch.setattr(ClaimResponder, 'evaluate', _grant_in_contest)
        assert _seed_that_fails(range(5)) is None

    def test_fenced_without_votes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules that miss fencing without a majority."""
        monkeypatch.setattr(
            FenceTracker, 'is_fenced', lambda book, target: True
        )
        assert _seed_that_fails(range(20)) is not None

    def test_unknown_claimant(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against claims that skip a sibling granted earlier.

        An agent with an older registry grants a newer member's claim and
        then doesn't ask that member. First seen with seed 8.
        """
        monkeypatch.setattr(Siblings, 'knows_claimants', lambda siblings: True)
        assert _seed_that_fails(range(40)) is not None
