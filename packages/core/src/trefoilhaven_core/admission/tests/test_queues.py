"""Tests of the admission queue."""

import random
from typing import Final

import pytest

from trefoilhaven_core.admission.lanes import AGEING_SERVICE_TIMES, Work
from trefoilhaven_core.admission.queues import (
    MIN_RETRY_AFTER_S,
    AdmissionQueue,
    Queued,
    QueueLimits,
    Refused,
    Started,
)

_STEPS: Final = 400
_SHORT_S: Final = 0.1
_LONG_S: Final = 2.0


class _Driver:
    """Drives a queue and checks its invariants after every step."""

    def __init__(self, queue: AdmissionQueue, limits: QueueLimits) -> None:
        self.queue = queue
        self.limits = limits
        self.now = 0.0
        self.waiting: dict[int, Work] = {}
        self.busy: dict[int, Work] = {}
        self.ended: set[int] = set()
        self.started_at: dict[int, float] = {}

    def offer(self, work: Work) -> None:
        answer = self.queue.offer(self.now, work)
        if isinstance(answer, Started):
            self._start(work)
        elif isinstance(answer, Queued):
            self.waiting[work.token] = work
        else:
            self._refuse(answer)
        self.check()

    def finish(self, token: int, service_s: float | None) -> None:
        self.busy.pop(token)
        self.ended.add(token)
        self.queue.finished(self.now, token, service_s)
        self.fill()

    def fill(self) -> None:
        while True:
            turn = self.queue.next(self.now)
            for refused in turn.refused:
                self._refuse(refused)
            if turn.start is None:
                break
            self.waiting.pop(turn.start.token)
            self._start(turn.start)
        self.check()

    def cancel(self, token: int) -> None:
        assert self.queue.cancel(token)
        self.waiting.pop(token)
        self.ended.add(token)
        self.check()

    def expire(self) -> None:
        for refused in self.queue.expire(self.now):
            self._refuse(refused)

    def check(self) -> None:
        load = self.queue.load(self.now)
        assert load.busy_slots == len(self.busy)
        assert load.queued == len(self.waiting)
        assert len(self.busy) <= self.limits.slots
        assert len(self.waiting) <= self.limits.queue_limit
        free = self.limits.slots - len(self.busy)
        assert not (free and self._count(self.waiting, 'short')), (
            'short work waits while a slot is free'
        )

    def _start(self, work: Work) -> None:
        assert work.token not in self.ended, 'refused work started'
        assert self.now < work.deadline, 'late work started'
        long = self._count(self.busy, 'long')
        if work.declared == 'long' and self.limits.slots > 1:
            assert long < self.limits.slots - 1, 'long work took all slots'
        self.busy[work.token] = work
        self.started_at[work.token] = self.now

    def _refuse(self, refused: Refused) -> None:
        assert refused.retry_after_s >= MIN_RETRY_AFTER_S
        self.waiting.pop(refused.token, None)
        self.ended.add(refused.token)

    def _count(self, works: dict[int, Work], declared: str) -> int:
        return sum(1 for work in works.values() if work.declared == declared)


def _driver(slots: int, queue_limit: int = 16) -> _Driver:
    limits = QueueLimits(slots, queue_limit)
    return _Driver(AdmissionQueue(limits, started_at=0), limits)


def _service_s(work: Work) -> float:
    return _LONG_S if work.declared == 'long' else _SHORT_S


class TestInvariants:
    """Invariants that hold after every step of a random run."""

    @pytest.mark.parametrize('slots', [1, 2, 3])
    @pytest.mark.parametrize('seed', range(20))
    def test_random_run(self, slots: int, seed: int) -> None:
        """Guards against starts of late or refused work and a wrong order."""
        generator = random.Random(seed)
        driver = _driver(slots)
        for token in range(_STEPS):
            driver.now += generator.expovariate(slots / _SHORT_S)
            declared = 'long' if generator.random() < 0.1 else 'short'
            deadline_s = generator.choice([0.05, 0.5, 5, 100])
            deadline = driver.now + deadline_s
            driver.offer(Work(token, declared, 100, deadline))
            if driver.busy and generator.random() < 0.8:
                done = generator.choice(sorted(driver.busy))
                cut = generator.random() < 0.1
                work = driver.busy[done]
                driver.finish(done, None if cut else _service_s(work))
            if driver.waiting and generator.random() < 0.1:
                driver.cancel(generator.choice(sorted(driver.waiting)))
            if generator.random() < 0.1:
                driver.expire()

    @pytest.mark.parametrize('slots', [1, 2, 3])
    def test_no_starvation(self, slots: int) -> None:
        """Guards against long work starved by a constant load of short work."""
        driver = _driver(slots)
        driver.offer(Work(0, 'long'))
        driver.finish(0, _LONG_S)
        for token in range(1, 4 * slots):
            driver.offer(Work(token, 'short'))
        driver.offer(Work(1000, 'long'))
        token = 2000
        while 1000 not in driver.started_at and driver.now < 100:
            driver.now += _SHORT_S
            for done in sorted(driver.busy):
                driver.finish(done, _SHORT_S)
                token += 1
                driver.offer(Work(token, 'short'))
        limit_s = (AGEING_SERVICE_TIMES + 1) * _LONG_S
        assert driver.started_at[1000] < limit_s

    def test_last_free_slot(self) -> None:
        """Guards against long work that takes the last free slot.

        The next short work would have to wait for it.
        """
        driver = _driver(slots=2)
        driver.offer(Work(1, 'long'))
        driver.offer(Work(2, 'long'))
        assert sorted(driver.busy) == [1]
        driver.offer(Work(3, 'short'))
        assert sorted(driver.busy) == [1, 3]

    def test_short_beside_aged(self) -> None:
        """Guards against short work queued behind aged long work.

        Found by seed 12: long work aged while a slot was free, and the next
        short work was queued instead of started.
        """
        driver = _driver(slots=2)
        driver.offer(Work(1, 'short'))
        driver.offer(Work(2, 'long'))
        driver.now = 100
        driver.offer(Work(3, 'short'))
        assert sorted(driver.busy) == [1, 3]

    def test_single_slot(self) -> None:
        """Guards against long work that never gets the only slot."""
        driver = _driver(slots=1)
        driver.offer(Work(1, 'long'))
        assert sorted(driver.busy) == [1]


class TestRefusals:
    """Refusals by deadline and by queue length."""

    def test_deadline(self) -> None:
        """Guards against queueing work that can't meet its deadline."""
        driver = _driver(slots=1)
        driver.offer(Work(1, 'short'))
        driver.finish(1, 1.0)
        driver.offer(Work(2, 'short'))
        driver.offer(Work(3, 'short', deadline=driver.now + 1.5))
        assert 3 in driver.ended

    def test_stale_estimate(self) -> None:
        """Guards against a wrong estimate that refuses all work forever."""
        driver = _driver(slots=1)
        driver.offer(Work(1, 'short'))
        driver.finish(1, 60.0)
        driver.offer(Work(2, 'short', deadline=driver.now + 5))
        assert 2 in driver.ended
        driver.now += 11
        driver.offer(Work(3, 'short', deadline=driver.now + 5))
        assert 3 in driver.busy

    def test_standing_queue(self) -> None:
        """Guards against a standing queue during overload."""
        limits = QueueLimits(slots=1, queue_limit=64)
        driver = _Driver(AdmissionQueue(limits, 0), limits)
        longest = 0
        for token in range(1000):
            driver.now += 0.01
            driver.offer(Work(token, 'short'))
            if token % 5 == 0 and driver.busy:
                driver.finish(min(driver.busy), 0.05)
            longest = max(longest, len(driver.waiting))
        assert len(driver.waiting) <= 4
        assert longest <= 12, 'a queue of over half a second was allowed'

    def test_token_in_use(self) -> None:
        """Guards against one token for two requests."""
        driver = _driver(slots=1)
        driver.offer(Work(1))
        with pytest.raises(ValueError, match='token 1'):
            driver.queue.offer(0, Work(1))


class TestLearning:
    """Learned classes, the warm-up and the reported load."""

    @pytest.mark.parametrize('declared', ['', 'short'])
    def test_learned_by_size(self, declared: str) -> None:
        """Guards against long work, not declared so, that counts as short."""
        limits = QueueLimits(slots=2)
        driver = _Driver(AdmissionQueue(limits, 0), limits)
        for token in range(200):
            is_long = token % 10 == 0
            size = 40_000 if is_long else 500
            driver.offer(Work(token, declared if is_long else '', size))
            driver.finish(token, _LONG_S if is_long else _SHORT_S)
        driver.queue.offer(driver.now, Work(1001, declared, 40_000))
        answer = driver.queue.offer(driver.now, Work(1002, declared, 40_000))
        assert isinstance(answer, Queued), 'long work took the last free slot'

    def test_warm_up(self) -> None:
        """Guards against a full load on a target that warms up."""
        limits = QueueLimits(slots=4, warm_up_s=4)
        queue = AdmissionQueue(limits, started_at=0)
        assert isinstance(queue.offer(0.5, Work(1)), Started)
        assert isinstance(queue.offer(0.6, Work(2)), Queued)
        assert queue.next(0.7).start is None
        assert queue.next(1.1).start == Work(2)
        assert isinstance(queue.offer(1.2, Work(3)), Queued)
        assert queue.next(2.1).start == Work(3)

    def test_load(self) -> None:
        """Guards against a reported load without the expected wait."""
        driver = _driver(slots=1)
        assert not driver.queue.load(0).wait_s
        driver.offer(Work(1, 'short'))
        driver.finish(1, _SHORT_S)
        driver.offer(Work(2, 'short'))
        driver.offer(Work(3, 'short'))
        load = driver.queue.load(driver.now, open_flows=5)
        assert (load.open_flows, load.busy_slots, load.queued) == (5, 1, 1)
        assert load.wait_s == pytest.approx(2 * _SHORT_S)
