"""Answers that look like failures."""

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
    """Return the form of a target with usual answers until second 0."""
    form = ResponseOutlierDetector()
    for number in range(-2 * MIN_RESPONSES, 0):
        form.on_response(number / 100, USUAL_S, USUAL_BYTES)
    return form


class TestAnswerForm:
    """The share of odd answers."""

    def test_usual(self) -> None:
        """Guards against doubt about answers of many lengths and times."""
        rng = random.Random(1)
        form = ResponseOutlierDetector()
        worst = 0.0
        for number in range(2000):
            size = rng.choice((300, 900, 1200, 1200))
            taken_s = rng.lognormvariate(-3.5, 0.5)
            form.on_response(number / 50, taken_s, size)
            worst = max(worst, form.odd_share(number / 50))
        assert worst < 0.5

    def test_backlog(self) -> None:
        """Guards against doubt about usual answers after a slow start."""
        rng = random.Random(1)
        form = ResponseOutlierDetector()
        worst = 0.0
        for number in range(600):
            waited_s = 2.0 if number < 2 * MIN_RESPONSES else 0.0
            taken_s = waited_s + rng.lognormvariate(-3.5, 0.5)
            size = rng.choice((450, 900, 1200, 1200))
            form.on_response(number / 30, taken_s, size)
            worst = max(worst, form.odd_share(number / 30))
        assert worst < ODD_MARGIN

    def test_failing(self) -> None:
        """Guards against a target that fails quickly and looks free."""
        form = learned()
        for number in range(5):
            form.on_response(number / 100, FAILED_S, FAILED_BYTES)
        assert form.odd_share(0.05) > 0.5

    def test_quick_and_whole(self) -> None:
        """Guards against doubt about a target that got faster."""
        form = learned()
        form.on_response(0.01, FAILED_S, USUAL_BYTES)
        assert not form.odd_share(0.01)

    def test_broken_off(self) -> None:
        """Guards against a target that resets connections at requests."""
        form = learned()
        form.on_request_aborted(0.01)
        assert form.odd_share(0.01) > 0

    def test_fades(self) -> None:
        """Guards against a target that is left out for ever."""
        form = learned()
        for number in range(10):
            form.on_response(number / 100, FAILED_S, FAILED_BYTES)
        assert form.odd_share(0.1 + 5 * ODD_SHARE_HALF_LIFE_S) < 0.05

    def test_changed_for_good(self) -> None:
        """Guards against doubt about new answers that stay."""
        form = learned()
        for number in range(1000):
            form.on_response(number / 20, FAILED_S, FAILED_BYTES)
        assert form.odd_share(50) < 0.1
