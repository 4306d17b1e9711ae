"""Command line of the platform stand-in."""

import asyncio

import typer

from trefoilhaven_bench.platform_service.endpoints import (
    PlatformService,
    PlatformSettings,
)
from trefoilhaven_bench.processes import (
    SettingsOption,
    read_settings,
    run_process,
)


def main(settings: SettingsOption) -> None:
    """Serve the object API until SIGTERM."""
    cfg = read_settings(settings, PlatformSettings)

    async def serve(stopped: asyncio.Event) -> None:
        runner = await PlatformService(cfg).start()
        await stopped.wait()
        await runner.cleanup()

    run_process(serve)


if __name__ == '__main__':
    typer.run(main)
