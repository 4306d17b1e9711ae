"""Admission and load-aware choice compared with simple baselines.

The baselines are an unbounded first-come-first-served queue and a random
choice among all targets.

For example, ``compare(overload(1, 7, 2))`` returns a row for each combination
of queue and choice.
"""

from typing import Final, NamedTuple

from trefoilhaven_bench.models.queue_models import QueueSimulation
from trefoilhaven_bench.models.queue_loads import Job, PolicyPair, Scenario

_PERCENTILE: Final = 0.99


class Row(NamedTuple):
    """Figures of one queue and choice in the measured part; times in seconds.

    ``goodput`` is the slot time spent on work that met its deadline, as a
    share of the time of all slots. Refusals are timed from the arrival at
    the balancer until the balancer knows that no target takes the request.
    """

    queue: str
    choice: str
    offered: int
    in_time: int
    refused: int
    goodput: float
    refusal_p99_s: float
    refusal_max_s: float
    short_wait_p99_s: float
    long_wait_p99_s: float
    long_wait_max_s: float


def compare(scenario: Scenario) -> tuple[Row, ...]:
    """Run a scenario with each combination of queue and choice."""
    return tuple(
        measure(scenario, PolicyPair(admission, load_aware))
        for admission in (False, True)
        for load_aware in (False, True)
    )


def measure(scenario: Scenario, policies: PolicyPair) -> Row:
    """Run a scenario with one combination of queue and choice."""
    start = scenario.measure_from_s
    jobs = QueueSimulation(scenario, policies).run()
    measured = [job for job in jobs if job.arrived_at >= start]
    refusals = [
        job.refused_at - job.arrived_at
        for job in measured
        if job.refused_at is not None
    ]
    long_waits = _waits(measured, is_long=True)
    return Row(
        'admission' if policies.admission else 'first come',
        'load-aware' if policies.load_aware else 'random',
        len(measured),
        sum(1 for job in measured if job.is_in_time),
        len(refusals),
        _goodput(scenario, jobs),
        percentile(refusals),
        max(refusals, default=0),
        percentile(_waits(measured, is_long=False)),
        percentile(long_waits),
        max(long_waits, default=0),
    )


def percentile(samples: list[float], share: float = _PERCENTILE) -> float:
    """Return the percentile at a share of the samples; 0 without samples."""
    if not samples:
        return 0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _waits(jobs: list[Job], is_long: bool) -> list[float]:
    return [
        job.started_at - job.arrived_at
        for job in jobs
        if job.started_at is not None and job.is_long == is_long
    ]


def _goodput(scenario: Scenario, jobs: list[Job]) -> float:
    start, end = scenario.measure_from_s, scenario.duration_s
    useful_s = 0.0
    for job in jobs:
        if job.started_at is not None and job.is_in_time:
            ended_at = job.started_at + job.service_s
            counted_from = max(start, job.started_at)
            useful_s += max(0, min(end, ended_at) - counted_from)
    return useful_s / ((end - start) * scenario.targets * scenario.slots)
