"""Figures of running processes: imbalance, control traffic and memory."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

import psutil
from prometheus_client.parser import text_string_to_metric_families

from trefoilhaven_bench.caller.flows import FlowLoad
from trefoilhaven_bench.caller.reports import FlowReport
from trefoilhaven_bench.deployments.commands import OperatorCommands
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
)
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_bench.verdicts import imbalance

SERVICE: Final = 'classroom-desk'
TARGETS: Final = 7
FLOWS: Final = 3_500

# Duration of each measured phase, in seconds.
PHASE_DURATION_S: Final = 15.0
OPEN_PER_S: Final = 250.0
PACKETS_PER_S: Final = 0.2

_MIB: Final = 1024 * 1024


class Sample(NamedTuple):
    """Counters and memory of one process at one time."""

    control_bytes: float
    processor_s: float
    resident_bytes: int


class ProcessRow(NamedTuple):
    """Processes of one role over one phase.

    ``mean`` and ``max`` are taken over the processes of the role.
    """

    phase: str
    role: str
    processes: int
    control_mean_b_per_s: float
    control_max_b_per_s: float
    core_share_mean: float
    resident_mean_mib: float
    resident_max_mib: float


async def measure_processes(
    seed: int,
    directory: Path,
    sources: Path,
) -> list[Table]:
    """Run the larger current service of the operator Lin; return its figures."""
    async with Deployment(_describe(seed), directory) as deployment:
        commands = OperatorCommands(deployment, sources)
        await deployment.start_environment()
        await commands.publish_all()
        await deployment.start_product()
        rows = await _measure_phase(deployment, 'no flows')
        load = _plan_load(deployment, seed)
        running = asyncio.create_task(load.run())
        await load.until_opened(FLOWS, 4 * PHASE_DURATION_S)
        shares = load.targets()
        rows.extend(await _measure_phase(deployment, f'{FLOWS:,} open flows'))
        load.stop()
        report = await running
    return [
        table_of('processes', 'Processes of one service of today', rows),
        _tabulate(report, imbalance(shares, TARGETS)),
    ]


def _describe(seed: int) -> DeploymentDescription:
    return DeploymentDescription(
        'measured',
        'lin',
        'tw-south',
        ('tainan-a', 'kaohsiung-b', 'pingtung-c'),
        (ServiceDescription(SERVICE, '127.1.0.1:7000', TARGETS, 2),),
        seed=seed,
        log_level='warning',
    )


def _plan_load(deployment: Deployment, seed: int) -> FlowLoad:
    plan = deployment.flow_plan(
        SERVICE,
        flows=FLOWS,
        open_per_s=OPEN_PER_S,
        packets_per_s=PACKETS_PER_S,
        duration_s=FLOWS / OPEN_PER_S + 4 * PHASE_DURATION_S,
        seed=seed,
    )
    return FlowLoad(plan)


def _tabulate(report: FlowReport, flow_imbalance: float) -> Table:
    return Table(
        'imbalance',
        f'{FLOWS:,} flows on {TARGETS} targets, real processes',
        ('figure', 'value'),
        (
            ('flows opened', report['opened']),
            ('flows broken', report['broken']),
            ('imbalance (largest over mean)', flow_imbalance),
            ('round trip p50 in ms', report['round_trip']['p50_s'] * 1000),
            ('round trip p99 in ms', report['round_trip']['p99_s'] * 1000),
        ),
    )


async def _measure_phase(
    deployment: Deployment, phase: str
) -> list[ProcessRow]:
    before = await _sample_all(deployment)
    await asyncio.sleep(PHASE_DURATION_S)
    after = await _sample_all(deployment)
    return [
        _row(
            phase,
            role,
            [before[name] for name in names],
            [after[name] for name in names],
        )
        for role, names in _by_role(deployment).items()
    ]


def _by_role(deployment: Deployment) -> dict[str, list[str]]:
    roles: dict[str, list[str]] = {'balancer': [], 'agent': []}
    for name, child in deployment.children.items():
        if child.plan.role in roles:
            roles[child.plan.role].append(name)
    return roles


def _row(
    phase: str,
    role: str,
    before: list[Sample],
    after: list[Sample],
) -> ProcessRow:
    control = [
        (last.control_bytes - first.control_bytes) / PHASE_DURATION_S
        for first, last in zip(before, after, strict=True)
    ]
    cores = [
        (last.processor_s - first.processor_s) / PHASE_DURATION_S
        for first, last in zip(before, after, strict=True)
    ]
    resident = [sample.resident_bytes / _MIB for sample in after]
    return ProcessRow(
        phase,
        role,
        len(after),
        _mean(control),
        max(control),
        _mean(cores),
        _mean(resident),
        max(resident),
    )


def _mean(figures: Iterable[float]) -> float:
    values = list(figures)
    return sum(values) / len(values)


async def _sample_all(deployment: Deployment) -> dict[str, Sample]:
    samples = {}
    for names in _by_role(deployment).values():
        for name in names:
            samples[name] = await _sample(deployment, name)
    return samples


async def _sample(deployment: Deployment, name: str) -> Sample:
    child = deployment.children[name]
    process = psutil.Process(child.pid)
    times = process.cpu_times()
    metrics = await read_metrics(deployment, name)
    return Sample(
        metrics['trefoilhaven_control_sent_bytes_total'],
        times.user + times.system,
        process.memory_info().rss,
    )


async def read_metrics(deployment: Deployment, name: str) -> dict[str, float]:
    """Return the metrics without labels of a product process."""
    settings: dict[str, Any] = deployment.children[name].plan.settings
    url = f'http://{settings["metrics"]}/metrics'
    async with deployment.session.get(url) as answer:
        answer.raise_for_status()
        text = await answer.text()
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if not sample.labels
    }
