"""Start of a process from its settings file."""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, Protocol, TypeVar

from expression import Result

from trefoilhaven_core.settings.findings import Findings, format_findings
from trefoilhaven_core.settings.reloads import SettingsReloader
from trefoilhaven_core.telemetry.lifecycles import run_until_signal
from trefoilhaven_core.telemetry.logs import configure_logging
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime, make_runtime

EXIT_FINDINGS: Final = 1

# Events are recorded and counted only after this delay, since processor
# time is scarce while a process starts.
RECORDING_DELAY_S: Final = 5.0

Settings = TypeVar('Settings', bound=Any)


class Process(Protocol):
    """A process that serves until an event is set."""

    async def run(self, stop: asyncio.Event) -> None:
        """Serve; raise ``OSError`` when an address is in use."""


def run_process(
    path: Path,
    load: Callable[[Path], Result[Settings, Findings]],
    make_process: Callable[[Settings, ProcessRuntime], Process],
) -> int:
    """Run a process until SIGTERM or SIGINT; return the exit code.

    SIGHUP reloads the settings. If they are invalid at the start, all
    findings are written to standard error and the exit code is
    ``EXIT_FINDINGS``.
    """
    loaded = load(path)
    if loaded.is_error():
        sys.stderr.write(f'{format_findings(loaded.error)}\n')
        return EXIT_FINDINGS
    cfg = loaded.ok
    configure_logging(cfg.name, cfg.failure_domain, cfg.log_level)
    runtime = make_runtime(cfg.name, is_recording=False)
    reloader = SettingsReloader(cfg, lambda: load(path))

    async def serve(stop: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(RECORDING_DELAY_S, runtime.start_recording)
        await make_process(cfg, runtime).run(stop)

    run_until_signal(serve, on_hangup=reloader.reload)
    return 0
