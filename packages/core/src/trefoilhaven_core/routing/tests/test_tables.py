"""Tests of the bucket tables."""

from collections import Counter

import pytest

from trefoilhaven_core.routing.tables import BUCKET_COUNT, build_table

_NAMES = [f'classroom-desk-{number}' for number in range(1, 8)]


class TestBuildTable:
    """Balance, determinism and minimal disruption of a table."""

    def test_order_does_not_matter(self) -> None:
        """Guards against tables that differ between equal views."""
        forward = build_table('classroom-desk', _NAMES)
        assert forward == build_table('classroom-desk', _NAMES[::-1])

    @pytest.mark.parametrize('count', [1, 3, 7, 16])
    def test_even_shares(self, count: int) -> None:
        """Guards against a target with more than its share of buckets."""
        names = [f't{number}' for number in range(count)]
        table = build_table('certify', names)
        shares = Counter(table.first_choices)
        assert max(shares.values()) <= -(-BUCKET_COUNT // count)

    def test_few_buckets_move(self) -> None:
        """Guards against a join that moves buckets of existing targets."""
        old = build_table('classroom-desk', _NAMES[:-1])
        new = build_table('classroom-desk', _NAMES)
        moved = sum(
            1
            for bucket in range(BUCKET_COUNT)
            if old.first(bucket) != new.first(bucket)
        )
        assert moved <= BUCKET_COUNT * 2 / len(_NAMES)

    def test_second_differs(self) -> None:
        """Guards against a second choice that equals the first."""
        table = build_table('collect', _NAMES)
        assert all(
            table.first(bucket) != table.second(bucket)
            for bucket in range(BUCKET_COUNT)
        )

    def test_no_targets(self) -> None:
        """Guards against an exception for a service without targets."""
        assert build_table('collect', []).first(0) is None
