"""Tests of the learned service time."""

import heapq
import random

from trefoilhaven_core.connections.service_times import (
    MIN_RESPONSES,
    ServiceTimeEstimator,
)


def run_queue(
    estimator: ServiceTimeEstimator,
    arrivals: list[float],
    works_s: list[float],
    start_s: float = 0.0,
) -> None:
    """Let a target with slots serve requests in their order."""
    free_at = [start_s] * estimator.slots
    events = []
    for number, (arrival, work_s) in enumerate(
        zip(arrivals, works_s, strict=True)
    ):
        ends_at = max(arrival, heapq.heappop(free_at)) + work_s
        heapq.heappush(free_at, ends_at)
        events += [(arrival, 0, number), (ends_at, 1, number)]
    for at, is_end, number in sorted(events):
        if is_end:
            estimator.on_response(at, number)
        else:
            estimator.on_request(at, number)


class TestWaiting:
    """Work on a request without its time in the queue."""

    def test_one_slot(self) -> None:
        """Guards against a busy target that seems slow."""
        estimator = ServiceTimeEstimator()
        run_queue(estimator, [0.0] * 20, [0.015] * 20)
        assert abs(estimator.estimate_s() - 0.015) < 1e-9

    def test_several_slots(self) -> None:
        """Guards against waits that count where slots are busy unevenly."""
        estimator = ServiceTimeEstimator()
        estimator.slots = 2
        run_queue(estimator, [0.0] * 21, [1.0] + [0.01] * 20)
        assert abs(estimator.estimate_s() - 0.01) < 1e-9

    def test_other_order(self) -> None:
        """Guards against waits that count where the latest is served first."""
        estimator = ServiceTimeEstimator()
        for number in range(10):
            estimator.on_request(0.0, number)
        for served, number in enumerate(reversed(range(10)), 1):
            estimator.on_response(0.02 * served, number)
        assert abs(estimator.estimate_s() - 0.02) < 1e-9

    def test_aborted(self) -> None:
        """Guards against requests without a response that keep a slot."""
        estimator = ServiceTimeEstimator()
        estimator.on_request(0.0, 'lost')
        estimator.on_aborted(0.5, 'lost')
        estimator.on_request(1.0, 'next')
        estimator.on_response(1.02, 'next')
        assert abs(estimator.estimate_s() - 0.02) < 1e-9

    def test_unanswered(self) -> None:
        """Guards against a request that is never answered and hides others."""
        estimator = ServiceTimeEstimator()
        estimator.on_request(0.0, 'lost')
        for number in range(MIN_RESPONSES):
            estimator.on_request(1.0 + number, number)
            estimator.on_response(1.02 + number, number)
        assert abs(estimator.estimate_s() - 0.02) < 1e-9

    def test_unknown(self) -> None:
        """Guards against errors by responses to requests never seen."""
        estimator = ServiceTimeEstimator()
        estimator.on_response(1.0, 'unknown')
        estimator.on_aborted(1.0, 'unknown')
        assert not estimator.estimate_s()


class TestRobustness:
    """Long requests, odd responses and changes of speed."""

    def test_long_requests(self) -> None:
        """Guards against 3% of long requests that make a target seem slow."""
        rng = random.Random(7)
        for _ in range(50):
            estimator = ServiceTimeEstimator()
            works_s = [
                0.013
                * rng.uniform(0.9, 1.1)
                * (7 if rng.random() < 0.03 else 1)
                for _ in range(200)
            ]
            run_queue(estimator, [0.02 * each for each in range(200)], works_s)
            assert abs(estimator.estimate_s() / 0.013 - 1) < 0.06

    def test_change_of_speed(self) -> None:
        """Guards against an old speed that is believed for long."""
        estimator = ServiceTimeEstimator()
        arrivals = [each / 13 for each in range(130)]
        run_queue(estimator, arrivals, [0.013] * 130)
        later = [10 + each / 13 for each in range(39)]
        run_queue(estimator, later, [0.03] * 39, 10.0)
        assert abs(estimator.estimate_s() - 0.03) < 1e-6

    def test_rarely_used(self) -> None:
        """Guards against a speed that stays where requests are rare."""
        estimator = ServiceTimeEstimator()
        run_queue(estimator, [float(each) for each in range(60)], [0.013] * 60)
        later = [60.0 + each for each in range(MIN_RESPONSES)]
        run_queue(estimator, later, [0.03] * MIN_RESPONSES, 60.0)
        assert abs(estimator.estimate_s() - 0.03) < 1e-6

    def test_odd(self) -> None:
        """Guards against a target that seems fast because it fails."""
        estimator = ServiceTimeEstimator()
        run_queue(estimator, [0.1 * each for each in range(9)], [0.02] * 9)
        for number in range(40):
            estimator.on_request(2.0 + number, number)
            estimator.on_response(2.001 + number, number, is_odd=True)
        assert abs(estimator.estimate_s() - 0.02) < 1e-9

    def test_restart(self) -> None:
        """Guards against requests of an ended target that keep the slot."""
        estimator = ServiceTimeEstimator()
        estimator.on_request(0.0, 'lost')
        estimator.clear()
        estimator.on_request(1.0, 'next')
        estimator.on_response(1.02, 'next')
        assert abs(estimator.estimate_s() - 0.02) < 1e-9
