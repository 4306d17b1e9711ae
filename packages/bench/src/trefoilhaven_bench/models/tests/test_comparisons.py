"""Tests of the comparison with common ways to route flows."""

from trefoilhaven_bench.models.comparisons import Scale, compare_routers

_SMALL = Scale(targets=7, flows=700, packet_s=2, duration_s=60)

# Documented limit of the largest over the mean number of open flows. It is
# stated for five times as many flows, where a single flow matters less.
_IMBALANCE = 1.10


class TestCompareRouters:
    """A run with joins, a drain, a death and a replaced balancer."""

    def test_ownership_breaks_none(self) -> None:
        """Guards against flows that membership changes break.

        The flows that the death ended and those that each baseline broke
        show that the changes took effect.
        """
        seed = 1
        owned, *baselines = compare_routers(seed, _SMALL)
        assert owned.broken == 0, f'seed {seed}'
        assert owned.ended_by_death, f'seed {seed}'
        assert owned.steady_imbalance <= _IMBALANCE, f'seed {seed}'
        assert all(row.broken for row in baselines), f'seed {seed}'

    def test_same_seed(self) -> None:
        """Guards against results that differ between runs of one seed."""
        size = Scale(targets=3, flows=50, duration_s=30)
        assert compare_routers(3, size) == compare_routers(3, size)
