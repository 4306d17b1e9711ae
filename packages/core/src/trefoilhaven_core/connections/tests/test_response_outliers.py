"""Tests of the detection of odd responses."""

import random

from trefoilhaven_core.connections.response_outliers import (
    MIN_RESPONSES,
    ODD_MARGIN,
    ODD_SHARE_HALF_LIFE_S,
    ResponseOutlierDetector,
)

USUAL_S = 0.03
USUAL_BYTES = 1200
FAILED_S = 0.002
FAILED_BYTES = 250


def learned() -> ResponseOutlierDetector:
    """Return a detector with usual responses until second 0."""
    detector = ResponseOutlierDetector()
    for number in range(-2 * MIN_RESPONSES, 0):
        detector.on_response(number / 100, USUAL_S, USUAL_BYTES)
    return detector


class TestResponseOutlierDetector:
    """The share of odd responses."""

    def test_usual(self) -> None:
        """Guards against false positives with varied sizes and times."""
        rng = random.Random(1)
        detector = ResponseOutlierDetector()
        worst = 0.0
        for number in range(2000):
            size = rng.choice((300, 900, 1200, 1200))
            taken_s = rng.lognormvariate(-3.5, 0.5)
            detector.on_response(number / 50, taken_s, size)
            worst = max(worst, detector.odd_share(number / 50))
        assert worst < 0.5

    def test_backlog(self) -> None:
        """Guards against false positives after a backlog has cleared."""
        rng = random.Random(1)
        detector = ResponseOutlierDetector()
        worst = 0.0
        for number in range(600):
            waited_s = 2.0 if number < 2 * MIN_RESPONSES else 0.0
            taken_s = waited_s + rng.lognormvariate(-3.5, 0.5)
            size = rng.choice((450, 900, 1200, 1200))
            detector.on_response(number / 30, taken_s, size)
            worst = max(worst, detector.odd_share(number / 30))
        assert worst < ODD_MARGIN

    def test_failing(self) -> None:
        """Guards against a target that fails fast and seems idle."""
        detector = learned()
        for number in range(5):
            detector.on_response(number / 100, FAILED_S, FAILED_BYTES)
        assert detector.odd_share(0.05) > 0.5

    def test_fast_and_complete(self) -> None:
        """Guards against false positives of a target that became faster."""
        detector = learned()
        detector.on_response(0.01, FAILED_S, USUAL_BYTES)
        assert not detector.odd_share(0.01)

    def test_request_aborted(self) -> None:
        """Guards against a target that resets connections on requests."""
        detector = learned()
        detector.on_request_aborted(0.01)
        assert detector.odd_share(0.01) > 0

    def test_decays(self) -> None:
        """Guards against a target that is avoided permanently."""
        detector = learned()
        for number in range(10):
            detector.on_response(number / 100, FAILED_S, FAILED_BYTES)
        assert detector.odd_share(0.1 + 5 * ODD_SHARE_HALF_LIFE_S) < 0.05

    def test_changed_permanently(self) -> None:
        """Guards against lasting false positives after a permanent change."""
        detector = learned()
        for number in range(1000):
            detector.on_response(number / 20, FAILED_S, FAILED_BYTES)
        assert detector.odd_share(50) < 0.1
