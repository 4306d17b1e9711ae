"""Progress display of the demo, with a line for each service."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from rich.console import Console
from rich.progress import Progress, TextColumn, TimeElapsedColumn

from trefoilhaven_bench.demo.runs import ServiceLoad

_REFRESH_S: Final = 0.5


@contextmanager
def show_progress(
    groups: list[list[ServiceLoad]],
    console: Console,
) -> Iterator[None]:
    """Refresh a line for each service while the context is open."""
    columns = (TextColumn('{task.description}'), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        lines = [
            (load, progress.add_task(_describe(load)))
            for group in groups
            for load in group
        ]

        async def refresh() -> None:
            while True:
                for load, line in lines:
                    progress.update(line, description=_describe(load))
                await asyncio.sleep(_REFRESH_S)

        refresher = asyncio.create_task(refresh())
        try:
            yield
        finally:
            refresher.cancel()


def _describe(load: ServiceLoad) -> str:
    return (
        f'{load.service}: {load.flows.opened} flows, '
        f'{load.flows.broken} broken, '
        f'{load.requests.counts["finished"]} requests'
    )
