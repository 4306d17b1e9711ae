"""Admission and load-aware choice compared with simple baselines.

The baselines are an unbounded first-come-first-served queue and a random
choice among all targets.

Example: ``compare(overload(1, 7, 2))`` returns a row for each pairing.
"""

from typing import Final, NamedTuple

from trefoilhaven_bench.models.queue_models import QueueSimulation
from trefoilhaven_bench.models.queue_loads import Job, PolicyPair, Scenario

_PERCENTILE: Final = 0.99


class Row(NamedTuple):
    """Figures of one pairing over the measured part; times in seconds.

    ``goodput`` is the time of slots spent on work that met its deadline,
    as a share of all slots' time. Refusals are timed from the arrival at
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
    """Run a scenario with each pairing of queue and choice."""
    return tuple(
        measure(scenario, PolicyPair(admission, load_aware))
        for admission in (False, True)
        for load_aware in (False, True)
    )


def measure(scenario: Scenario, policies: PolicyPair) -> Row:
    """Run a scenario with one pairing."""
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
    """Return a percentile of samples, 0 without any."""
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
            begun = max(start, job.started_at)
            useful_s += max(0, min(end, ended_at) - begun)
    return useful_s / ((end - start) * scenario.targets * scenario.slots)
