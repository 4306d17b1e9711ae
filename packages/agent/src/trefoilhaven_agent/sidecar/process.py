"""Startup and shutdown of a sidecar."""

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Final

from trefoilhaven_agent.sidecar.policies import PolicyReceiver
from trefoilhaven_agent.sidecar.reporting import ReportingTask
from trefoilhaven_agent.sidecar.segments import SegmentTask
from trefoilhaven_agent.sidecar.targets import Location, TargetTracker
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.warm_up import WarmUp
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.settings.loader import load_sidecar_settings
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.lifecycles import (
    end_tasks,
    wait_for_stop,
)
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.telemetry.scrapes import serve_metrics
from trefoilhaven_core.telemetry.starts import run_process
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.endpoints import (
    open_endpoint,
    register_endpoint_metrics,
)
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

# Connections without a segment for this time, in seconds, are removed.
CONNECTION_IDLE_TIMEOUT_S: Final = 60.0


class SidecarProcess:
    """Sockets and tasks of one sidecar."""

    def __init__(
        self,
        cfg: SidecarSettings,
        runtime: ProcessRuntime,
        adapter: PlatformAdapter,
    ) -> None:
        """Create the process; ``run`` opens its sockets."""
        self._cfg = cfg
        self._runtime = runtime
        self._adapter = adapter
        self._connections = ConnectionTracker(
            cfg.service,
            CONNECTION_IDLE_TIMEOUT_S,
            WarmUp(cfg.warm_up, monotonic()),
        )
        location = Location(cfg.host, cfg.failure_domain, cfg.advertise_control)
        self._target_tracker = TargetTracker(
            cfg.service, location, self._connections
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set.

        Raises ``OSError`` when an address of the settings is not free.
        """
        cfg = self._cfg
        codec = make_codec()
        endpoint = await open_endpoint(cfg.control, codec, self._runtime.clock)
        transfers = TransferEndpoint(codec, self._runtime.clock)
        segments = SegmentTask(
            cfg, self._runtime, self._connections, self._adapter, endpoint
        )
        reporting = ReportingTask(
            cfg,
            self._runtime,
            self._connections,
            self._target_tracker,
            segments,
            self._adapter,
            endpoint,
            transfers,
        )
        PolicyReceiver(
            cfg,
            self._runtime,
            self._connections,
            self._target_tracker,
            reporting.copies,
            endpoint,
        )
        segments.open()
        if cfg.state_offers:
            await transfers.start(cfg.control)
        register_endpoint_metrics(self._runtime.metrics, 'control', endpoint)
        self._adapter.register_metrics(self._runtime.metrics)
        await reporting.check_start()
        await self._adapter.serve_announcements(reporting.on_announcement)
        await self._adapter.serve_readiness(lambda: True)
        await serve_metrics(cfg.metrics, self._runtime.metrics)
        tasks = [
            asyncio.create_task(segments.run()),
            asyncio.create_task(reporting.run()),
        ]
        logger.info('sidecar started')
        await wait_for_stop(stop, tasks)
        logger.info('sidecar stops')
        await reporting.stop()
        await end_tasks(tasks)
        segments.close()
        transfers.close()
        endpoint.close()
        self._adapter.close()
        logger.info('sidecar stopped')


def run(
    settings: Path,
    make_adapter: Callable[[SidecarSettings], PlatformAdapter],
) -> int:
    """Run a sidecar until SIGTERM or SIGINT; return the exit code."""
    return run_process(
        settings,
        load_sidecar_settings,
        lambda cfg, runtime: SidecarProcess(cfg, runtime, make_adapter(cfg)),
    )
