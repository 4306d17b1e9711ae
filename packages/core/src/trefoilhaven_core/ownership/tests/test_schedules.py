"""Random schedules of claims, fences, pauses and restarts."""

import pytest

from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.ownership.buckets import BucketTransfer
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.fences import FenceTracker
from trefoilhaven_core.ownership.grants import ClaimResponder, Verdict
from trefoilhaven_core.ownership.messages import ClaimBuckets, DirectoryEntry
from trefoilhaven_core.ownership.siblings import Siblings
from trefoilhaven_core.ownership.tests.keys import KeyPool
from trefoilhaven_core.ownership.tests.pool import Pool, Violation
from trefoilhaven_core.ownership.tests.schedules import schedule_seeds
from trefoilhaven_core.ownership.tests.support import BUCKETS, WALL

_RealJudge = ClaimResponder.evaluate
_RealGrant = ClaimResponder.grant


def _run(seed: int) -> Pool:
    pool = Pool(seed)
    pool.run()
    return pool


def _grant_in_contest(
    granter: ClaimResponder, claim: ClaimBuckets, bucket: int
) -> Verdict:
    verdict = _RealJudge(granter, claim, bucket)
    return Verdict.granted if verdict is Verdict.contested else verdict


def _grant_and_claim(
    granter: ClaimResponder,
    now: float,
    claim: ClaimBuckets,
    bucket: int,
    leased: bool,
) -> BucketTransfer | None:
    if granter._states[bucket].claiming:
        return None
    return _RealGrant(granter, now, claim, bucket, leased)


def _ignore(
    directory: Directory,
    entry: DirectoryEntry,
    source: str,
    keep_known: bool = False,
) -> None:
    """Take the place of the merge of a reported entry."""


def _seed_that_fails(seeds: range) -> int | None:
    for seed in seeds:
        try:
            _run(seed)
        except Violation:
            return seed
    return None


class TestSchedules:
    """Ownership under faults, and after they stopped."""

    @pytest.mark.parametrize('seed', schedule_seeds())
    def test_exclusive_and_live(self, seed: int) -> None:
        """Guards against two leased owners, or none after the faults."""
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
    """Request keys across changes of the owner."""

    @pytest.mark.parametrize('seed', schedule_seeds())
    def test_runs_at_most_once(self, seed: int) -> None:
        """Guards against an owner that forgot a key and runs it again."""
        pool = KeyPool(seed)
        pool.run()
        assert pool.run_items, f'seed {seed}'

    def test_directory_not_handed_over(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules without a hand-over of records."""
        monkeypatch.setattr(Directory, 'merge', _ignore)
        with pytest.raises(Violation):
            for seed in range(20):
                KeyPool(seed).run()

    def test_horizon_not_raised(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules in which no record is ever lost."""
        monkeypatch.setattr(BucketOwnership, 'horizon', lambda *_: WALL)
        with pytest.raises(Violation):
            for seed in range(20):
                KeyPool(seed).run()


class TestBrokenRules:
    """Each rule is broken once, to show that the schedules notice."""

    def test_grant_keeps_own_claim(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules that miss two complete claims."""
        monkeypatch.setattr(ClaimResponder, 'evaluate', _grant_in_contest)
        monkeypatch.setattr(ClaimResponder, 'grant', _grant_and_claim)
        assert _seed_that_fails(range(20)) is not None

    def test_contest_is_granted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against blaming the grant for what the cancel prevents."""
        monkeypatch.setattr(ClaimResponder, 'evaluate', _grant_in_contest)
        assert _seed_that_fails(range(5)) is None

    def test_fenced_without_votes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against schedules that miss a fence without a proof."""
        monkeypatch.setattr(
            FenceTracker, 'is_fenced', lambda book, target: True
        )
        assert _seed_that_fails(range(20)) is not None

    def test_unknown_claimant(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against claims that skip a sibling granted before.

        Seed 8 was the first in which an agent with an older registry
        granted a newer member's claim and then didn't ask that member.
        """
        monkeypatch.setattr(Siblings, 'knows_claimants', lambda siblings: True)
        assert _seed_that_fails(range(40)) is not None
