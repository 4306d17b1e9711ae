"""Startup and shutdown of the balancer process."""

import asyncio
import logging
import random
from typing import Final

from trefoilhaven.balancer.control import ControlTask
from trefoilhaven.balancer.forwarding import ForwardingTask
from trefoilhaven.balancer.peers import BalancerPeers
from trefoilhaven.balancer.platforms import PlatformTask
from trefoilhaven.balancer.requests import RequestsTask
from trefoilhaven.balancer.idempotent_requests import IdempotentRequestHandler
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.messages import BalancerRecord, MemberState
from trefoilhaven_core.platform.http import HttpPlatformClient
from trefoilhaven_core.settings.types import BalancerSettings
from trefoilhaven_core.telemetry.lifecycles import (
    end_tasks,
    run_until_signal,
    wait_for_stop,
)
from trefoilhaven_core.telemetry.logs import configure_logging
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime, make_runtime
from trefoilhaven_core.wire.channels import ChannelPool
from trefoilhaven_core.wire.peers import PeerService
from trefoilhaven_core.wire.sockets import open_sockets

logger = logging.getLogger(__name__)

# Time for which flow packets in transit still arrive after the announcement
# of a planned stop.
STOP_DELAY_S: Final = 0.5


class BalancerProcess:
    """Sockets and tasks of one balancer."""

    def __init__(self, cfg: BalancerSettings, runtime: ProcessRuntime) -> None:
        """Create the process; ``run`` opens its sockets."""
        self._cfg = cfg
        self._runtime = runtime
        self._state = BalancerState(runtime)
        self._channels = ChannelPool()
        rng = random.Random(f'{cfg.name}/{runtime.incarnation}')
        self._rng = rng
        self._platform = HttpPlatformClient(cfg.platform, rng)
        self._idempotent_handler = IdempotentRequestHandler(
            cfg.failure_domain,
            self._state,
            self._channels,
            rng,
        )
        self._requests = RequestsTask(
            cfg.name,
            self._state,
            self._channels,
            self._idempotent_handler,
        )
        own = BalancerRecord(
            cfg.name,
            cfg.failure_domain,
            runtime.incarnation,
            1,
            MemberState.alive,
            cfg.advertise_control,
            cfg.advertise_rpc,
        )
        seeds = tuple(seed.name for seed in cfg.seeds)
        self._disseminator = Disseminator(own, self._state.store, rng, seeds)
        self._state.store.merge(balancers=[own])

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then finish the open requests.

        Raises ``OSError`` when an address of the settings is not free.
        """
        cfg = self._cfg
        sockets = await open_sockets(cfg, self._runtime)
        ForwardingTask(self._state, sockets.flow)
        control = ControlTask(
            cfg,
            self._state,
            self._disseminator,
            sockets.control,
        )
        peers = PeerService(sockets.codec, self._runtime.clock)
        BalancerPeers(cfg, self._state, control).register(peers)
        await sockets.serve([self._requests, peers], self._not_ready_reason)
        await control.gossip.fetch_from_seeds()
        platform = PlatformTask(
            cfg.name,
            self._state,
            control,
            self._platform,
            self._rng,
        )
        tasks = [
            asyncio.create_task(control.run()),
            asyncio.create_task(platform.run()),
        ]
        self._runtime.publish('balancer started', host=cfg.name)
        logger.info('balancer started')
        await wait_for_stop(stop, tasks)
        await self._stop(control)
        await end_tasks(tasks)
        await sockets.close()
        await self._platform.close()
        self._channels.close()

    def _not_ready_reason(self) -> str:
        if not self._state.services:
            return 'no configuration is known'
        return ''

    async def _stop(self, control: ControlTask) -> None:
        logger.info('planned stop: waiting for requests in progress')
        control.gossip.announce(MemberState.left)
        await self._requests.drain()
        await asyncio.sleep(STOP_DELAY_S)
        self._runtime.publish('balancer stopped', host=self._cfg.name)


def run(cfg: BalancerSettings) -> None:
    """Run a balancer until SIGTERM or SIGINT."""
    configure_logging(cfg.name, cfg.failure_domain, cfg.log_level)
    # Channels need the running event loop, so the process is created in it.
    run_until_signal(
        lambda stop: BalancerProcess(cfg, make_runtime(cfg.name)).run(stop),
    )
