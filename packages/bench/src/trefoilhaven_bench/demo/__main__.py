"""Command line of the demo; exits with 1 when a guarantee was violated."""

import asyncio
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated, Final

import typer
from rich.console import Console

from trefoilhaven_bench.demo.runs import DemoRun
from trefoilhaven_bench.demo.progress import show_progress
from trefoilhaven_bench.demo.tables import describe_violations, summary_table
from trefoilhaven_bench.deployments.commands import OperatorCommands
from trefoilhaven_bench.deployments.descriptions import read_description
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.verdicts import ServiceVerdict

_DEPLOYMENTS: Final = ('lin', 'tincycle')
_EXAMPLES: Final = Path('examples')


async def run_demo(
    examples: Path,
    directory: Path,
    console: Console,
) -> list[ServiceVerdict]:
    """Start both deployments, run their loads and return the verdicts."""
    async with AsyncExitStack() as stack:
        deployments = [
            await stack.enter_async_context(
                Deployment(
                    read_description(examples / f'deployments/{name}.json'),
                    directory / name,
                ),
            )
            for name in _DEPLOYMENTS
        ]
        started_at = time.monotonic()
        console.print('starting both deployments')
        runs = await asyncio.gather(
            *[
                start_deployment(deployment, examples, console)
                for deployment in deployments
            ],
        )
        ready_s = time.monotonic() - started_at
        count = sum(len(deployment.children) for deployment in deployments)
        console.print(f'{count} processes ready after {ready_s:.1f} s')
        with show_progress([run.loads for run in runs], console):
            verdicts = await asyncio.gather(*[run.run() for run in runs])
    return [verdict for part in verdicts for verdict in part]


async def start_deployment(
    deployment: Deployment,
    examples: Path,
    console: Console,
) -> DemoRun:
    """Start a deployment with its services published."""
    name = deployment.description.name
    commands = OperatorCommands(deployment, examples / 'services')
    await deployment.start_environment()
    await commands.publish_all()
    await deployment.start_product()
    return DemoRun(
        deployment,
        commands,
        lambda text: console.print(f'[bold]{name}[/bold]: {text}'),
    )


def main(
    examples: Annotated[Path, typer.Option()] = _EXAMPLES,
    logs: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Run the demo for about a minute."""
    console = Console()
    directory = logs or Path(tempfile.mkdtemp(prefix='trefoilhaven-demo-'))
    console.print(f'logs: {directory}')
    verdicts = asyncio.run(run_demo(examples, directory, console))
    console.print(summary_table(verdicts))
    for verdict in verdicts:
        for line in describe_violations(verdict):
            console.print(line, style='red')
    if not all(verdict.is_clean for verdict in verdicts):
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
