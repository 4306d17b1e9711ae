"""Event-driven simulation of balancers, targets and their queues.

Balancers choose a target, the target queues or refuses the request, and
answers and refusals carry its load back. The same seed gives the same
arrivals to each combination of queue and choice.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from trefoilhaven_core.admission.lanes import Work
from trefoilhaven_core.admission.queues import (
    AdmissionQueue,
    Dispatch,
    Queued,
    QueueLimits,
    Refused,
    Started,
)
from trefoilhaven_bench.models.queue_loads import Job, PolicyPair, Scenario
from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.requests.budgets import RetryBudget
from trefoilhaven_core.routing.choices import (
    Choice,
    ChoiceSettings,
    TargetChooser,
)
from trefoilhaven_core.routing.waits import Candidate

# One-way delay between balancer and target, in seconds.
LINK_DELAY_S: Final = 0.004

HEARTBEAT_INTERVAL_S: Final = 0.5

_DOMAINS: Final = ('a', 'b', 'c')
# Sigma of the log-normal service times.
_SERVICE_TIME_SIGMA: Final = 0.5


class FirstComeQueue:
    """Unbounded first-come-first-served queue like ``AdmissionQueue``."""

    def __init__(self, slots: int) -> None:
        """Start empty."""
        self._slots = slots
        self._waiting: deque[Work] = deque()
        self._busy: set[int] = set()
        self._mean_s = 0.0

    def offer(self, now: float, work: Work) -> Started | Queued | Refused:
        """Start or queue work; it is never refused."""
        if len(self._busy) < self._slots:
            self._busy.add(work.token)
            return Started()
        self._waiting.append(work)
        return Queued(0)

    def next(self, now: float) -> Dispatch:
        """Return the oldest work when there is a free slot."""
        if not self._waiting or len(self._busy) >= self._slots:
            return Dispatch(None, ())
        work = self._waiting.popleft()
        self._busy.add(work.token)
        return Dispatch(work, ())

    def finished(
        self,
        now: float,
        token: int,
        service_time_s: float | None,
    ) -> None:
        """Free a slot."""
        self._busy.remove(token)
        self._mean_s += ((service_time_s or 0) - self._mean_s) / 10

    def load(self, now: float, open_flows: int = 0) -> Load:
        """Return the load; the wait is estimated by the mean service time."""
        queued = len(self._waiting)
        wait_s = 0.0
        if len(self._busy) >= self._slots:
            wait_s = (queued + 1) * self._mean_s / self._slots
        return Load(open_flows, len(self._busy), queued, wait_s, self._mean_s)


class _RandomChooser(TargetChooser):
    def choose(
        self,
        now: float,
        generator: random.Random,
        excluded: Collection[str] = (),
        min_free_slots: int = 0,
    ) -> Choice | None:
        names = [candidate.target for candidate in self._candidates]
        return Choice(generator.choice(names), 0)


class _Balancer(NamedTuple):
    chooser: TargetChooser
    budget: RetryBudget


class _Attempt(NamedTuple):
    """A request sent to a target; ``tried`` targets refused it before."""

    job: Job
    balancer: _Balancer
    choice: Choice
    sent_at: float
    tried: tuple[str, ...]


class _ScheduledEvent(NamedTuple):
    due_s: float
    number: int
    event: Callable[[], None]


class QueueSimulation:
    """One run of a scenario with one combination of policies."""

    def __init__(self, scenario: Scenario, policies: PolicyPair) -> None:
        """Create the targets' queues and one balancer per failure domain."""
        self._scenario = scenario
        self._arrival_rng = random.Random(scenario.seed)
        self._choice_rng = random.Random(scenario.seed + 1)
        self._queues: dict[str, AdmissionQueue | FirstComeQueue] = {}
        for number in range(scenario.targets):
            slots = scenario.slots
            queue = (
                AdmissionQueue(QueueLimits(slots), started_at=0)
                if policies.admission
                else FirstComeQueue(slots)
            )
            self._queues[f'target-{number}'] = queue
        self._balancers = [
            self._make_balancer(policies, domain) for domain in _DOMAINS
        ]
        self._events: list[_ScheduledEvent] = []
        self._jobs: list[Job] = []
        self._attempts: dict[int, _Attempt] = {}
        self._count = 0
        self._now = 0.0

    def run(self) -> list[Job]:
        """Run until every request has finished or was refused."""
        self._schedule(self._interarrival_s(), self._arrive)
        self._schedule(0, self._heartbeat)
        while self._events:
            scheduled = heapq.heappop(self._events)
            self._now = scheduled.due_s
            scheduled.event()
        return self._jobs

    def _make_balancer(self, policies: PolicyPair, domain: str) -> _Balancer:
        costs = {
            other: 2 * LINK_DELAY_S for other in _DOMAINS if other != domain
        }
        chooser_class = TargetChooser if policies.load_aware else _RandomChooser
        chooser = chooser_class(ChoiceSettings(domain, costs))
        chooser.update(
            Candidate(
                name,
                _DOMAINS[number % len(_DOMAINS)],
                self._scenario.slots,
            )
            for number, name in enumerate(self._queues)
        )
        return _Balancer(chooser, RetryBudget())

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        self._count += 1
        scheduled = _ScheduledEvent(self._now + delay_s, self._count, event)
        heapq.heappush(self._events, scheduled)

    def _interarrival_s(self) -> float:
        scenario = self._scenario
        ramp = (self._now - scenario.ramp_start_s) / scenario.ramp_s
        share = max(0, min(1, ramp))
        load = scenario.load + share * (scenario.peak_load - scenario.load)
        mean_s = scenario.service_time_s * (
            1 + scenario.long_share * (scenario.long_factor - 1)
        )
        rate = load * scenario.targets * scenario.slots / mean_s
        return self._arrival_rng.expovariate(rate)

    def _arrive(self) -> None:
        scenario = self._scenario
        is_long = self._arrival_rng.random() < scenario.long_share
        factor = scenario.long_factor if is_long else 1
        variation = self._arrival_rng.lognormvariate(
            -_SERVICE_TIME_SIGMA * _SERVICE_TIME_SIGMA / 2, _SERVICE_TIME_SIGMA
        )
        job = Job(
            len(self._jobs),
            self._now,
            scenario.service_time_s * factor * variation,
            is_long,
            self._now + scenario.deadline_s * factor,
        )
        self._jobs.append(job)
        balancer = self._balancers[job.token % len(self._balancers)]
        balancer.budget.on_request()
        self._send(job, balancer, ())
        if self._now < scenario.duration_s:
            self._schedule(self._interarrival_s(), self._arrive)

    def _send(
        self,
        job: Job,
        balancer: _Balancer,
        tried: tuple[str, ...],
    ) -> None:
        choice = balancer.chooser.choose(self._now, self._choice_rng, tried)
        if choice is None:
            job.refused_at = self._now
            return
        attempt = _Attempt(job, balancer, choice, self._now, tried)
        self._attempts[job.token] = attempt
        self._schedule(LINK_DELAY_S, lambda: self._offer(attempt))

    def _offer(self, attempt: _Attempt) -> None:
        job, target = attempt.job, attempt.choice.target
        answer = self._queues[target].offer(self._now, job.work)
        if isinstance(answer, Started):
            self._start(target, job)
        elif isinstance(answer, Refused):
            self._refuse(target, job.token)

    def _start(self, target: str, job: Job) -> None:
        job.started_at = self._now
        self._schedule(job.service_s, lambda: self._finish(target, job))

    def _finish(self, target: str, job: Job) -> None:
        queue = self._queues[target]
        queue.finished(self._now, job.token, job.service_s)
        attempt = self._attempts.pop(job.token)
        load = queue.load(self._now)
        self._schedule(LINK_DELAY_S, lambda: self._on_answer(attempt, load))
        while True:
            dispatch = queue.next(self._now)
            for refused in dispatch.refused:
                self._refuse(target, refused.token)
            if dispatch.start is None:
                return
            self._start(target, self._jobs[dispatch.start.token])

    def _refuse(self, target: str, token: int) -> None:
        attempt = self._attempts.pop(token)
        load = self._queues[target].load(self._now)
        self._schedule(LINK_DELAY_S, lambda: self._on_refusal(attempt, load))

    def _on_answer(self, attempt: _Attempt, load: Load) -> None:
        attempt.job.finished_at = self._now
        elapsed_s = self._now - attempt.sent_at
        chooser = attempt.balancer.chooser
        chooser.on_answer(self._now, attempt.choice, elapsed_s, load)

    def _on_refusal(self, attempt: _Attempt, load: Load) -> None:
        target = attempt.choice.target
        attempt.balancer.chooser.on_shed(self._now, target, load)
        if attempt.balancer.budget.take():
            tried = (*attempt.tried, target)
            self._send(attempt.job, attempt.balancer, tried)
        else:
            attempt.job.refused_at = self._now

    def _heartbeat(self) -> None:
        for target, queue in self._queues.items():
            load = queue.load(self._now)
            for balancer in self._balancers:
                chooser = balancer.chooser
                chooser.on_report(self._now, target, load, LINK_DELAY_S)
        if self._now < self._scenario.duration_s:
            self._schedule(HEARTBEAT_INTERVAL_S, self._heartbeat)
