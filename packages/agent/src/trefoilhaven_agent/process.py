"""Startup and shutdown of the agent process."""

import asyncio
import logging
from typing import Final

from trefoilhaven_agent.flows.tasks import FlowTask
from trefoilhaven_agent.membership.tasks import MembershipTask
from trefoilhaven_agent.ownership.tasks import OwnershipTask
from trefoilhaven_agent.peers import AgentPeers
from trefoilhaven_agent.requests.relays import SiblingRelay
from trefoilhaven_agent.requests.runs import Runner
from trefoilhaven_agent.requests.services import (
    PlacementService,
    seeded_generator,
)
from trefoilhaven_agent.requests.works import TargetClient
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.settings.types import AgentSettings
from trefoilhaven_core.telemetry.lifecycles import (
    end_tasks,
    run_until_signal,
    wait_for_stop,
)
from trefoilhaven_core.telemetry.logs import configure_logging
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime, make_runtime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.channels import ChannelPool
from trefoilhaven_core.wire.peers import PeerService
from trefoilhaven_core.wire.sockets import open_sockets

logger = logging.getLogger(__name__)

STOP_CHECK_INTERVAL_S: Final = 0.2


class AgentProcess:
    """Sockets and tasks of one agent."""

    def __init__(self, cfg: AgentSettings, runtime: ProcessRuntime) -> None:
        """Create the process; ``run`` opens its sockets."""
        self._cfg = cfg
        self._runtime = runtime
        self._state = AgentState(cfg, runtime)
        self._channels = ChannelPool()
        self._target_client = TargetClient(
            cfg.service,
            cfg.name,
            runtime.incarnation,
            cfg.target.rpc,
        )
        self._runner = Runner(self._state, self._target_client)
        relay = SiblingRelay(
            self._state,
            self._runner,
            self._channels,
            seeded_generator(self._state),
        )
        self._placement = PlacementService(self._state, self._runner, relay)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set and all flows and requests ended.

        Raises ``OSError`` when an address of the settings is not free.
        """
        cfg = self._cfg
        sockets = await open_sockets(cfg, self._runtime)
        flows = FlowTask(self._state, sockets.flow)
        ownership = OwnershipTask(
            self._state,
            sockets.control,
            self._channels,
            flows,
        )
        membership = MembershipTask(
            self._state,
            sockets.control,
            ownership,
            self._target_client,
            self._channels,
        )
        peers = PeerService(sockets.codec, self._runtime.clock)
        AgentPeers(self._state, membership, ownership).register(peers)
        await sockets.serve([self._placement, peers], self._not_ready_reason)
        tasks = [
            asyncio.create_task(task.run())
            for task in (flows, ownership, membership, self._runner)
        ]
        self._runtime.publish('agent started', cfg.service, host=cfg.name)
        logger.info('agent started')
        await self._serve(stop, membership, tasks)
        await end_tasks(tasks)
        await sockets.close()
        flows.close()
        self._target_client.close()
        self._channels.close()

    def _not_ready_reason(self) -> str:
        state = self._state
        if not state.target_alive:
            return 'the target does not answer'
        if not state.lease.lease_valid(monotonic()):
            return 'no lease'
        if not state.ownership.siblings.can_claim():
            return 'not registered at the platform'
        return ''

    async def _serve(
        self,
        stop: asyncio.Event,
        membership: MembershipTask,
        tasks: 'list[asyncio.Task[None]]',
    ) -> None:
        await wait_for_stop(stop, tasks)
        logger.info('planned stop: waiting for flows and requests in progress')
        self._state.stopping = True
        membership.announce()
        while len(self._state.flows):
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        await self._placement.wait_idle()
        self._leave(membership)

    def _leave(self, membership: MembershipTask) -> None:
        member = self._state.member
        self._state.set_member(
            member._replace(
                state=MemberState.left,
                sequence=member.sequence + 1,
            ),
        )
        membership.announce_departure()


def run(cfg: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    configure_logging(cfg.name, cfg.failure_domain, cfg.log_level)
    # Channels need the running event loop, so the process is created in it.
    run_until_signal(
        lambda stop: AgentProcess(cfg, make_runtime(cfg.name)).run(stop),
    )
