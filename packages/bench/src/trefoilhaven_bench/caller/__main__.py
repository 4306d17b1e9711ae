"""Command line of the load generator; writes its report as JSON."""

import asyncio
import contextlib
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import typer

from trefoilhaven_bench.caller.flows import FlowLoad
from trefoilhaven_bench.caller.plans import FlowPlan, RequestPlan
from trefoilhaven_bench.caller.requests import RequestLoad
from trefoilhaven_bench.processes import (
    SettingsOption,
    read_settings,
    run_process,
)


class CallerSettings(NamedTuple):
    """Loads to run concurrently and the path of the report file."""

    report: str
    flows: tuple[FlowPlan, ...] = ()
    requests: tuple[RequestPlan, ...] = ()


async def run_loads(
    cfg: CallerSettings,
    stopped: asyncio.Event,
) -> dict[str, Any]:
    """Run all loads until they finish or the event is set."""
    flows = [FlowLoad(plan) for plan in cfg.flows]
    requests = [RequestLoad(plan) for plan in cfg.requests]

    async def stop_early() -> None:
        await stopped.wait()
        for flow_load in flows:
            flow_load.stop()
        for request_load in requests:
            request_load.stop()

    stopper = asyncio.create_task(stop_early())
    flow_reports = asyncio.gather(*[load.run() for load in flows])
    request_reports = asyncio.gather(*[load.run() for load in requests])
    report = {
        'flows': await flow_reports,
        'requests': await request_reports,
    }
    stopper.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await stopper
    return report


def main(settings: SettingsOption) -> None:
    """Run the loads and write their report."""
    cfg = read_settings(settings, CallerSettings)

    async def serve(stopped: asyncio.Event) -> None:
        report = await run_loads(cfg, stopped)
        Path(cfg.report).write_bytes(msgspec.json.encode(report))

    run_process(serve)


if __name__ == '__main__':
    typer.run(main)
