"""Tests of the choice of targets."""

import random
from collections import Counter
from typing import Final

import pytest

from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.routing.choices import (
    Choice,
    ChoiceSettings,
    TargetChooser,
)
from trefoilhaven_core.routing.waits import Candidate

_COST_S: Final = 0.008
_SETTINGS: Final = ChoiceSettings('a', {'b': _COST_S, 'c': _COST_S})
_NAMES: Final = tuple(f'target-{number}' for number in range(6))


def _chooser(settings: ChoiceSettings = _SETTINGS) -> TargetChooser:
    chooser = TargetChooser(settings)
    chooser.update(
        Candidate(name, 'abc'[number % 3], 2)
        for number, name in enumerate(_NAMES)
    )
    return chooser


def _choose(chooser: TargetChooser, now: float, times: int) -> Counter[str]:
    generator = random.Random(1)
    chosen: Counter[str] = Counter()
    for _ in range(times):
        choice = chooser.choose(now, generator)
        assert choice is not None
        chosen[choice.target] += 1
        chooser.on_cancelled(choice.target)
    return chosen


def _report(chooser: TargetChooser, target: str, wait_s: float) -> None:
    load = Load(0, 2, 1, wait_s, 0.05)
    chooser.on_report(0, target, load, age_s=0)


class TestChoose:
    """Failure domains, load, warm-up and hand-offs."""

    def test_own_domain(self) -> None:
        """Guards against sending work to other domains without need."""
        assert set(_choose(_chooser(), 0, 100)) <= {'target-0', 'target-3'}

    def test_busy_domain(self) -> None:
        """Guards against a domain preference that costs more than the link."""
        chooser = _chooser()
        for target in ('target-0', 'target-3'):
            _report(chooser, target, _COST_S + 0.01)
        chosen = _choose(chooser, 0, 100)
        assert not set(chosen) & {'target-0', 'target-3'}

    def test_open_requests(self) -> None:
        """Guards against one target that gets all work between reports.

        Open requests must add to the expected wait.
        """
        chooser = _chooser()
        generator = random.Random(1)
        chosen: Counter[str] = Counter()
        for _ in range(60):
            choice = chooser.choose(0, generator)
            assert choice is not None
            chosen[choice.target] += 1
        assert max(chosen.values()) <= 20
        assert len(chosen) == len(_NAMES)

    def test_cold_target(self) -> None:
        """Guards against a cold target that gets its full share immediately."""
        chooser = TargetChooser(ChoiceSettings('a', {}, warm_up_s=10))
        chooser.update(
            [
                Candidate('cold', 'a', 2, alive_since=0),
                Candidate('warm', 'a', 2),
            ],
        )
        assert _choose(chooser, 1, 1000)['cold'] < 150
        assert _choose(chooser, 10, 1000)['cold'] > 300

    def test_hand_off(self) -> None:
        """Guards against a hand-off to a sibling without a free slot."""
        chooser = _chooser()
        for target in _NAMES[1:]:
            _report(chooser, target, 0)
        choice = chooser.choose(0, random.Random(1), (), min_free_slots=1)
        assert choice is not None
        assert choice.target == _NAMES[0]
        excluded = (_NAMES[0],)
        assert chooser.choose(0, random.Random(1), excluded, 1) is None

    def test_unrecorded_end(self) -> None:
        """Guards against a target that is avoided forever.

        Callers that cancel a request, or use the answer of another copy,
        may not report its end to the chooser.
        """
        chooser = _chooser()
        generator = random.Random(1)
        for _ in range(100):
            chooser.choose(0, generator, _NAMES[1:])
        idle = Load(service_time_s=0.05)
        for now in (1.0, 2.0):
            for target in _NAMES:
                chooser.on_report(now, target, idle, age_s=0)
        assert _choose(chooser, 2, 100)['target-0']

    def test_stale_report(self) -> None:
        """Guards against an old report that replaces one from an answer.

        A report relayed by a witness may be older than the answer.
        """
        chooser = _chooser()
        load = Load(0, 2, 9, 0.5, 0.05)
        chooser.on_answer(1, Choice('target-0', 0), 0.05, load)
        _report(chooser, 'target-0', 0)
        assert not _choose(chooser, 1, 50)['target-0']


class TestEjection:
    """Ejection of targets that fail, shed or are slower than they report."""

    def test_failures(self) -> None:
        """Guards against a failing target that keeps receiving work.

        Each further ejection must last longer.
        """
        chooser = _chooser()
        lengths = []
        now = 0.0
        for _ in range(3):
            while not chooser.is_ejected(now, 'target-0'):
                chooser.on_failure(now, 'target-0')
            begun = now
            while chooser.is_ejected(now, 'target-0'):
                now += 0.1
            lengths.append(now - begun)
        assert lengths[0] < lengths[1] < lengths[2]

    @pytest.mark.parametrize('seed', range(10))
    def test_share(self, seed: int) -> None:
        """Guards against ejections that leave too little capacity."""
        generator = random.Random(seed)
        chooser = _chooser()
        now = 0.0
        for _ in range(500):
            now += generator.expovariate(20)
            chooser.on_failure(now, generator.choice(_NAMES))
            ejected = [name for name in _NAMES if chooser.is_ejected(now, name)]
            assert len(ejected) <= 2, f'seed {seed}'

    def test_load_peak(self) -> None:
        """Guards against ejections while all targets shed equally.

        Ejecting targets that shed at a load peak left slots idle and lost
        up to a tenth of the goodput in the queue model.
        """
        chooser = _chooser()
        for step in range(600):
            target = _NAMES[step % len(_NAMES)]
            chooser.on_shed(step / 100, target, None)
            assert not chooser.is_ejected(step / 100, target)

    @pytest.mark.parametrize('sheds', [True, False])
    def test_single_outlier(self, sheds: bool) -> None:
        """Guards against keeping one target that sheds or misleads.

        It always sheds, or takes 2 s for an answer although its load reports
        say that it is idle with a service time of 0.05 s.
        """
        chooser = _chooser()
        idle = Load(service_time_s=0.05)
        for step in range(300):
            now = step / 100
            target = _NAMES[step % len(_NAMES)]
            if target != 'target-0':
                chooser.on_answer(now, Choice(target, 0), 0.05, idle)
            elif sheds:
                chooser.on_shed(now, target, idle)
            else:
                chooser.on_answer(now, Choice(target, 0), 2, idle)
        assert chooser.is_ejected(now, 'target-0')
