"""Tests of the cost of a new connection at each of several targets."""

import random
from collections import Counter

from trefoilhaven_core.connections.messages import ConnectionLoad
from trefoilhaven_core.connections.target_costs import (
    DEFAULT_SERVICE_TIME_S,
    MAX_SPEED_RATIO,
    bounded_service_time_s,
    expected_wait_s,
    select_quickest,
    usual_service_time_s,
)
from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.connections.tests.support import make_member

FAST_S = 0.01
SLOW_S = 0.02
REPORTS = 200


def make_target(
    name: str = 't1',
    service_s: float = FAST_S,
    waiting: int = 0,
    connections: int = 0,
    odd_share: float = 0,
) -> TargetState:
    """Return a target with two slots and a report of its load."""
    target = TargetState(make_member(name))
    load = ConnectionLoad(
        max(connections, waiting), waiting, service_s, odd_share
    )
    target.on_load(load)
    return target


def count_selected(*targets: TargetState) -> Counter[str]:
    """Return how often each target is selected in 1,000 selections."""
    rng = random.Random(3)
    return Counter(
        select_quickest(targets, rng).member.target for _ in range(1000)
    )


class TestExpectedWait:
    """Expected wait of a target in seconds."""

    def test_busy(self) -> None:
        """Guards against waits without slots or placed connections."""
        target = make_target(waiting=3)
        target.placed = 1
        assert abs(expected_wait_s(target) - 4 * FAST_S / 2) < 1e-9

    def test_unknown(self) -> None:
        """Guards against a target without responses that seems idle."""
        target = make_target(service_s=0, waiting=2)
        assert expected_wait_s(target) == DEFAULT_SERVICE_TIME_S

    def test_idle_connections(self) -> None:
        """Guards against open connections that count as a long queue.

        A target may hold 2,000 connections which are rarely used.
        """
        target = make_target(connections=2000)
        for _ in range(REPORTS):
            target.on_load(target.load)
        assert expected_wait_s(target) < FAST_S


class TestServiceTimes:
    """Usual and bounded service times."""

    def test_median(self) -> None:
        """Guards against unknown times that count as quick targets."""
        targets = [
            make_target(service_s=each) for each in (0, 0, 0, 0.01, 0.02, 0.03)
        ]
        assert usual_service_time_s(targets) == 0.02
        assert usual_service_time_s(targets[:3]) == DEFAULT_SERVICE_TIME_S

    def test_bounds(self) -> None:
        """Guards against a target that gets all since it answers at once."""
        quick = make_target(service_s=1e-6)
        assert bounded_service_time_s(quick, 0.02) == 0.02 / MAX_SPEED_RATIO


class TestSelection:
    """Selection by expected waits."""

    def test_rates(self) -> None:
        """Guards against long-lived connections that load a slow target."""
        counts = count_selected(
            make_target('slow', SLOW_S), make_target('fast', FAST_S)
        )
        assert 0.4 < counts['slow'] / counts['fast'] < 0.6

    def test_lasting_connections(self) -> None:
        """Guards against connections that stay and are spread evenly."""
        targets = [make_target('slow', SLOW_S), make_target('fast', FAST_S)]
        rng = random.Random(3)
        for _ in range(600):
            chosen = select_quickest(targets, rng)
            connections = chosen.load.connections + 1
            chosen.on_load(chosen.load._replace(connections=connections))
        slow, fast = (each.load.connections for each in targets)
        assert 0.4 < slow / fast < 0.6

    def test_queue(self) -> None:
        """Guards against a queue at a slow target that counts as a fast one."""
        counts = count_selected(
            make_target('slow', SLOW_S, waiting=3),
            make_target('fast', FAST_S, waiting=4),
        )
        assert counts['fast'] == 1000

    def test_equal(self) -> None:
        """Guards against all gateways that choose the same target."""
        counts = count_selected(
            *(make_target(f't{number}') for number in range(10))
        )
        assert min(counts.values()) > 60

    def test_cold(self) -> None:
        """Guards against a cold target that is as attractive as others."""
        cold = make_target('cold')
        cold.is_cold = True
        assert count_selected(cold, make_target('warm'))['warm'] == 1000

    def test_odd(self) -> None:
        """Guards against a target that seems idle because it fails fast."""
        failing = make_target('failing', 0.001, odd_share=0.8)
        others = [make_target(f't{each}', waiting=2) for each in range(3)]
        assert 'failing' not in count_selected(failing, *others)

    def test_unknown(self) -> None:
        """Guards against a new target that gets nothing, or everything."""
        counts = count_selected(make_target('new', 0), make_target('known'))
        assert 400 < counts['new'] < 600
