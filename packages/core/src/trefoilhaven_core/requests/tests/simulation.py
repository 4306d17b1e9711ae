"""Simulated time and unreliable calls, with checks of the outcomes."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from trefoilhaven_core.requests.answers import (
    AnswerAssembler,
    Closing,
    CompleteAnswer,
    split_answer,
)
from trefoilhaven_core.requests.decisions import Conclude, Replay, Request

SERVICE: Final = 'classroom-desk'

# Length of a schedule in simulated seconds, and the Unix time at its start.
LENGTH_S: Final = 20.0
_WALL_START: Final = 1_000_000.0

# Wall clocks of callers and agents differ by less than the 0.25 s that the
# horizon allows for.
CLOCK_OFFSET_S: Final = 0.12

_LOSS: Final = 0.06
_COPY: Final = 0.12

Event = Callable[[], None]
Reply = Callable[[Replay | Conclude | None], None]


class BrokenRules(NamedTuple):
    """Rules that a schedule may break, to test that the checks detect it."""

    ignore_horizon: bool = False
    ignore_lease: bool = False
    forget_refusals: bool = False
    ignore_follow_only: bool = False
    drop_early: bool = False
    relay_with_own_attempt: bool = False


class _Planned(NamedTuple):
    due_s: float
    number: int
    event: Event


class Simulation:
    """Event loop in simulated time that records runs and told outcomes."""

    def __init__(self, seed: int, broken: BrokenRules) -> None:
        """Start at time 0 with a random generator of the seed."""
        self.random = random.Random(seed)
        self.broken = broken
        self.now = 0.0
        self.violations: list[str] = []
        self.done = 0
        self._numbers = count(1)
        self._events: list[_Planned] = []
        self._runs: dict[str, list[int]] = defaultdict(list)
        self._answers: dict[str, set[bytes]] = defaultdict(set)
        self._not_run: set[tuple[str, int]] = set()

    def number(self) -> int:
        """Return a number that was not used before."""
        return next(self._numbers)

    def wall(self, offset_s: float) -> float:
        """Return the Unix time of a clock that is off by ``offset_s``."""
        return _WALL_START + self.now + offset_s

    def schedule(self, delay_s: float, event: Event) -> None:
        """Schedule an event after a delay in seconds."""
        heapq.heappush(
            self._events,
            _Planned(self.now + delay_s, self.number(), event),
        )

    def run(self) -> None:
        """Run all events up to ``LENGTH_S``."""
        while self._events and self._events[0].due_s <= LENGTH_S:
            planned = heapq.heappop(self._events)
            self.now = planned.due_s
            planned.event()

    def chance(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self.random.random() < probability

    def delay_s(self) -> float:
        """Draw the delay of a message in seconds."""
        drawn = self.random.random()
        if drawn < 0.01:
            return self.random.uniform(3, 12)
        if drawn < 0.08:
            return self.random.uniform(0.1, 3)
        return self.random.uniform(0.001, 0.05)

    def call(self, deliver: Callable[[Reply], None], on_reply: Reply) -> None:
        """Call a remote function; ``on_reply`` gets None at a timeout.

        Messages and replies are lost, delayed and duplicated. Only the first
        reply counts.
        """
        waiting = [on_reply]

        def settle(reply: Replay | Conclude | None) -> None:
            if waiting:
                waiting.pop()(reply)

        def answer(reply: Replay | Conclude | None) -> None:
            if not self.chance(_LOSS):
                self.schedule(self.delay_s(), lambda: settle(reply))

        copies = 1 + self.chance(_COPY) - self.chance(_LOSS)
        for _ in range(copies):
            self.schedule(self.delay_s(), lambda: deliver(answer))
        self.schedule(self.random.uniform(0.5, 4), lambda: settle(None))

    def record_run(self, request: Request) -> bytes:
        """Record that a target ran a request, and return its answer."""
        runs = self._runs[request.key]
        runs.append(request.attempt)
        if len(runs) > 1 and not request.idempotent:
            self.violations.append(f'{request.key} ran twice: {runs}')
        self._check_not_run(request.key)
        answer = f'{request.key} {self.number()}'.encode() * 3
        self._answers[request.key].add(answer)
        return answer

    def record_not_run(self, key: str, attempt: int) -> None:
        """Record that a caller was told that an attempt did not run."""
        self._not_run.add((key, attempt))
        self._check_not_run(key)

    def record_done(self, key: str, answer: bytes) -> None:
        """Record and check the answer that a caller accepted as complete."""
        self.done += 1
        if answer not in self._answers.get(key, ()):
            self.violations.append(f'{key} got a wrong answer: {answer!r}')

    def transfer(self, key: str, answer: bytes) -> bytes | None:
        """Send an answer in parts; return None when it arrives partial."""
        split = split_answer(answer, chunk_size=8)
        parts = list(enumerate(split.chunks))
        if self.chance(_LOSS):
            parts.pop()
        parts += parts[:2]
        self.random.shuffle(parts)
        assembler = AnswerAssembler(SERVICE, key)
        closing = Closing(len(split.chunks), split.length, split.digest)
        assembler.add_closing(SERVICE, key, closing)
        for number, content in parts:
            assembler.add_chunk(SERVICE, key, number, content)
        assembled = assembler.result()
        if isinstance(assembled, CompleteAnswer):
            return assembled.content
        return None

    def _check_not_run(self, key: str) -> None:
        for attempt in self._runs.get(key, ()):
            if (key, attempt) in self._not_run:
                self.violations.append(f'{key}/{attempt} ran after "not run"')
