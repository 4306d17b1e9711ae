"""Startup and shutdown of a gateway."""

import asyncio
import logging
import random
from collections.abc import Callable
from pathlib import Path
from typing import Final

from trefoilhaven.gateway.discovery import DiscoveryTask
from trefoilhaven.gateway.removals import RemovalTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.settings.loader import load_gateway_settings
from trefoilhaven_core.settings.types import GatewaySettings
from trefoilhaven_core.telemetry.lifecycles import (
    end_tasks,
    wait_for_stop,
)
from trefoilhaven_core.telemetry.scrapes import serve_metrics
from trefoilhaven_core.telemetry.starts import run_process
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.endpoints import (
    open_endpoint,
    register_endpoint_metrics,
)
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

# The fabric checks readiness twice a second and stops sending after two
# failed checks; segments in transit arrive a little later.
STOP_DELAY_S: Final = 1.8


class GatewayProcess:
    """Sockets and tasks of one gateway."""

    def __init__(
        self,
        cfg: GatewaySettings,
        runtime: ProcessRuntime,
        adapter: PlatformAdapter,
    ) -> None:
        """Create the process; ``run`` opens its sockets."""
        self._cfg = cfg
        self._runtime = runtime
        self._adapter = adapter
        self._rng = random.Random(f'{cfg.name}/{runtime.incarnation}')
        self._state = GatewayState(cfg, runtime, self._rng)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set and the fabric has noticed it.

        Raises ``OSError`` when an address of the settings is not free.
        """
        cfg = self._cfg
        state = self._state
        codec = make_codec()
        endpoint = await open_endpoint(cfg.control, codec, self._runtime.clock)
        transfers = TransferEndpoint(codec, self._runtime.clock)
        segments = SegmentTask(state, self._adapter, endpoint)
        discovery = DiscoveryTask(
            state, self._adapter, endpoint, transfers, segments, self._rng
        )
        removals = RemovalTask(state, self._adapter.make_client())
        segments.open()
        await transfers.start(cfg.control)
        register_endpoint_metrics(self._runtime.metrics, 'control', endpoint)
        self._adapter.register_metrics(self._runtime.metrics)
        await serve_metrics(cfg.metrics, self._runtime.metrics)
        await self._adapter.serve_readiness(
            lambda: not state.not_ready_reason(monotonic()),
        )
        tasks = [
            asyncio.create_task(segments.run()),
            asyncio.create_task(discovery.run()),
            asyncio.create_task(removals.run()),
        ]
        logger.info('gateway started')
        await wait_for_stop(stop, tasks)
        logger.info('gateway stops')
        state.is_stopping = True
        discovery.gossip.announce(MemberState.left)
        await asyncio.sleep(STOP_DELAY_S)
        await end_tasks(tasks)
        segments.close()
        transfers.close()
        endpoint.close()
        self._adapter.close()
        logger.info('gateway stopped')


def run(
    settings: Path,
    make_adapter: Callable[[GatewaySettings], PlatformAdapter],
) -> int:
    """Run a gateway until SIGTERM or SIGINT; return the exit code."""
    return run_process(
        settings,
        load_gateway_settings,
        lambda cfg, runtime: GatewayProcess(cfg, runtime, make_adapter(cfg)),
    )
