"""Tests of the refusals against today's behaviour in the same run."""

import functools

import pytest

from trefoilhaven_bench.models.overload_loads import RouteResult, Scenario
from trefoilhaven_bench.models.overload_models import OverloadSimulation

_Results = dict[str, RouteResult]

_SEEDS = [1, 2]

# A service whose usual load leaves some room, before a burst or a loss.
_USUAL_LOAD = 0.8


@functools.cache
def _play(scenario: Scenario) -> tuple[_Results, _Results]:
    """Return the results without and with policies."""
    return (
        OverloadSimulation(scenario, has_policies=False).run(),
        OverloadSimulation(scenario, has_policies=True).run(),
    )


def _in_time(results: _Results) -> float:
    """Return the share of all requests served within their objectives."""
    in_time = sum(each.in_time for each in results.values())
    return in_time / sum(each.offered for each in results.values())


def _burst(seed: int, factor: float) -> Scenario:
    return Scenario(
        _USUAL_LOAD, seed=seed, burst='queries', burst_factor=factor
    )


@pytest.mark.parametrize('seed', _SEEDS)
class TestOverload:
    """Loads from half to two and a half times the capacity."""

    def test_half(self, seed: int) -> None:
        """Guards against refusals while targets are free."""
        today, refusing = _play(Scenario(0.5, seed=seed))
        assert not any(each.refusals for each in refusing.values())
        assert _in_time(refusing) == _in_time(today)

    def test_nearly_full(self, seed: int) -> None:
        """Guards against refusals that cost more than they spare."""
        today, refusing = _play(Scenario(0.9, seed=seed))
        assert _in_time(refusing) >= _in_time(today) - 0.02
        for name, result in refusing.items():
            assert result.wait_p99_s <= 1.1 * today[name].wait_p99_s

    @pytest.mark.parametrize('load', [1.3, 2.5])
    def test_overload(self, seed: int, load: float) -> None:
        """Guards against work that is always too late."""
        today, refusing = _play(Scenario(load, seed=seed))
        assert _in_time(refusing) >= _in_time(today) + 0.5 / load
        for name, result in refusing.items():
            assert result.wait_p99_s <= today[name].wait_p99_s / 3

    @pytest.mark.parametrize('load', [1.3, 2.5])
    def test_floor(self, seed: int, load: float) -> None:
        """Guards against a route of which everything is refused."""
        _, refusing = _play(Scenario(load, seed=seed))
        assert all(
            each.served > 0.1 * each.offered for each in refusing.values()
        )

    def test_priorities(self, seed: int) -> None:
        """Guards against urgent requests that are refused with the others."""
        _, refusing = _play(Scenario(1.3, seed=seed))
        urgent = refusing['orders']
        usual = refusing['queries']
        assert urgent.goodput >= 0.85
        assert urgent.refused_share <= 0.1 * usual.refused_share
        assert usual.refused_share < refusing['downloads'].refused_share


@pytest.mark.parametrize('seed', _SEEDS)
class TestChanges:
    """Bursts of one route, and targets that are away."""

    def test_small_burst(self, seed: int) -> None:
        """Guards against refusals for a burst that the service can handle."""
        today, refusing = _play(_burst(seed, 1.6))
        assert _in_time(refusing) >= _in_time(today) - 0.03

    def test_large_burst(self, seed: int) -> None:
        """Guards against a burst of one route that others wait for."""
        today, refusing = _play(_burst(seed, 2.5))
        burst = refusing['queries']
        other = refusing['searches']
        assert other.refused_share < 0.75 * burst.refused_share
        assert other.goodput > burst.goodput
        for name in ('orders', 'searches'):
            result = refusing[name]
            assert result.goodput >= 0.8
            assert result.wait_p99_s <= today[name].wait_p99_s / 2

    def test_lost_targets(self, seed: int) -> None:
        """Guards against a collapse when a third of the targets is away."""
        scenario = Scenario(_USUAL_LOAD, seed=seed, lost_share=1 / 3)
        today, refusing = _play(scenario)
        assert _in_time(refusing) >= 2 * _in_time(today)
        assert refusing['orders'].goodput >= 0.9
