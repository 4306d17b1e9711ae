"""Tests of domain shares against the fixed penalty in the same run."""

from functools import lru_cache

import pytest

from trefoilhaven_bench.models.domain_rows import SCENARIOS, Row, compare

# Scenarios in which each failure domain's own targets are enough.
_ENOUGH = ['load 0.5', 'speeds, load 0.5', 'wave of 11 s']

# Scenarios in which the callers of a domain need the targets of others.
_SHORT = [
    'callers moved',
    'two to one, full',
    'cut',
    'uneven wave of 15 s',
    '5 gateways, old reports',
]

# A shorter run shows the same with many gateways, whose reports take most of
# the time of the model.
_DURATIONS_S = {'59 gateways, old reports': 8.0}


@lru_cache
def rows(name: str) -> tuple[Row, Row]:
    """Return the figures of the penalty and of the shares."""
    scenario = SCENARIOS[name]
    duration_s = _DURATIONS_S.get(name, scenario.duration_s)
    return compare(scenario._replace(duration_s=duration_s))


class TestEnough:
    """Loads for which no connection has to leave its failure domain."""

    @pytest.mark.parametrize('name', _ENOUGH)
    def test_bytes(self, name: str) -> None:
        """Guards against bytes between domains that nobody needs."""
        penalty, shares = rows(name)
        assert shares.away_bytes <= penalty.away_bytes / 20

    @pytest.mark.parametrize('name', _ENOUGH)
    def test_goodput(self, name: str) -> None:
        """Guards against callers who wait since nothing crosses."""
        penalty, shares = rows(name)
        assert shares.mean_goodput >= penalty.mean_goodput - 0.01
        assert shares.worst_goodput >= shares.mean_goodput - 0.01

    def test_unequal_speeds(self) -> None:
        """Guards against slow targets that get as many as fast ones."""
        penalty, shares = rows('speeds, load 0.5')
        penalty_s = max(penalty.wait_p99_s.values())
        assert max(shares.wait_p99_s.values()) <= penalty_s


class TestShort:
    """Loads for which connections have to leave a failure domain."""

    @pytest.mark.parametrize('name', _SHORT)
    def test_goodput(self, name: str) -> None:
        """Guards against callers of a full domain who are not helped."""
        penalty, shares = rows(name)
        assert shares.mean_goodput >= penalty.mean_goodput - 0.015
        assert shares.worst_goodput >= penalty.worst_goodput - 0.025

    @pytest.mark.parametrize('name', _SHORT)
    def test_bytes(self, name: str) -> None:
        """Guards against a domain that sends more than it has to."""
        penalty, shares = rows(name)
        assert shares.away_bytes <= penalty.away_bytes * 0.7

    @pytest.mark.parametrize('name', _SHORT)
    def test_own_callers(self, name: str) -> None:
        """Guards against a domain that is overloaded by others' callers."""
        _, shares = rows(name)
        assert shares.goodput['c'] >= shares.worst_goodput
        assert shares.away['c'] <= 0.05

    @pytest.mark.parametrize('name', _SHORT)
    def test_flapping(self, name: str) -> None:
        """Guards against shares that go up and down."""
        _, shares = rows(name)
        assert shares.reversals <= 8

    def test_third_away(self) -> None:
        """Guards against a domain that loses three of four targets."""
        penalty, shares = rows('third away')
        assert shares.worst_goodput >= penalty.worst_goodput - 0.1
        assert shares.away_bytes <= penalty.away_bytes * 0.7


class TestFull:
    """Loads for which no failure domain has room."""

    @pytest.mark.parametrize('name', ['load 1.3', 'load 2.5'])
    def test_bytes(self, name: str) -> None:
        """Guards against bytes that serve nobody when all are full."""
        penalty, shares = rows(name)
        assert shares.away_bytes <= penalty.away_bytes / 3
        assert shares.mean_goodput >= penalty.mean_goodput - 0.01


class TestManyGateways:
    """Many gateways with old reports."""

    def test_herd(self) -> None:
        """Guards against gateways that all send to one domain at once."""
        penalty, shares = rows('59 gateways, old reports')
        assert shares.mean_goodput >= penalty.mean_goodput
        assert shares.goodput['c'] >= penalty.goodput['c']
        assert shares.away_bytes <= penalty.away_bytes * 0.7
