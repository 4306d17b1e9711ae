"""Deployment and loads of one scenario."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from trefoilhaven_bench.caller.flows import FlowLoad
from trefoilhaven_bench.caller.reports import FlowReport, RequestReport
from trefoilhaven_bench.caller.requests import RequestLoad
from trefoilhaven_bench.deployments.commands import OperatorCommands
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
)
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.settings import POLL_INTERVAL_S

# Loads run until the scenario stops them; the limit ends a hanging scenario.
LOAD_LIMIT_S = 120.0
# An agent exits after SIGTERM once its flows have ended. Flows whose last
# packet was lost remain until their idle timeout, so the end of a scenario
# kills the agent earlier than a planned stop would.
STOP_TIMEOUT_S = 3.0


class ScenarioRun:
    """Deployment, loads and saved values of one scenario.

    ``saved`` holds what a step leaves for later steps, by name.
    """

    def __init__(
        self,
        description: DeploymentDescription,
        directory: Path,
        sources: Path,
    ) -> None:
        """Create a deployment that writes its logs to ``directory``.

        ``sources`` is the directory of the service files.
        """
        self.deployment = Deployment(description, directory)
        self.commands = OperatorCommands(self.deployment, sources)
        self.random = random.Random(description.seed)
        self.flows: dict[str, FlowLoad] = {}
        self.requests: dict[str, RequestLoad] = {}
        self.saved: dict[str, Any] = {}
        self._running: dict[str, asyncio.Task[Any]] = {}
        self._loads_started = 0

    async def start(self) -> None:
        """Start all processes; the services are published first."""
        await self.deployment.__aenter__()
        await self.deployment.start_environment()
        await self.commands.publish_all()
        await self.deployment.start_product()

    async def close(self) -> list[str]:
        """Stop loads and processes; return the names of those killed."""
        for task in self._running.values():
            task.cancel()
        await asyncio.gather(*self._running.values(), return_exceptions=True)
        return await self.deployment.stop(STOP_TIMEOUT_S)

    async def start_flows(
        self,
        service: str,
        flows: int,
        open_per_s: float,
    ) -> None:
        """Start a load of flows to a service."""
        plan = self.deployment.flow_plan(
            service,
            flows=flows,
            open_per_s=open_per_s,
            packets_per_s=4,
            duration_s=LOAD_LIMIT_S,
            seed=self._next_seed(),
        )
        load = FlowLoad(plan)
        self.flows[service] = load
        self._running[f'flows {service}'] = asyncio.create_task(load.run())

    async def replace_flows(self, service: str, flows: int) -> None:
        """Stop the flow load of a service and start a new one."""
        self.flows.pop(service).stop()
        await self._running.pop(f'flows {service}')
        await self.start_flows(service, flows, open_per_s=100)

    async def restart_product(self) -> None:
        """Kill all balancers and agents and start them again.

        They keep no state on their hosts, so they start without any.
        """
        product = [
            child
            for child in self.deployment.children.values()
            if child.plan.role in {'balancer', 'agent'}
        ]
        await asyncio.gather(*[child.kill() for child in product])
        await asyncio.gather(*[child.start() for child in product])
        session = self.deployment.session
        await asyncio.gather(
            *[child.until_ready(session) for child in product],
        )

    async def start_requests(
        self,
        service: str,
        rate_per_s: float,
        long_share: float = 0.05,
    ) -> None:
        """Start a load of requests to a service."""
        plan = self.deployment.request_plan(
            service,
            rate_per_s=rate_per_s,
            long_share=long_share,
            duration_s=LOAD_LIMIT_S,
            seed=self._next_seed(),
        )
        load = RequestLoad(plan)
        self.requests[service] = load
        self._running[f'requests {service}'] = asyncio.create_task(load.run())

    async def stop_loads(
        self,
    ) -> tuple[list[FlowReport], list[RequestReport]]:
        """Stop all loads and return their reports.

        The fabric's list of balancers is updated first, so that the last
        packets of the flows arrive.
        """
        await self.deployment.update_fabric()
        loads: dict[str, FlowLoad | RequestLoad] = {
            **{f'flows {name}': load for name, load in self.flows.items()},
            **{
                f'requests {name}': load for name, load in self.requests.items()
            },
        }
        for load in loads.values():
            load.stop()
        for name in loads:
            await self._running.pop(name)
        return (
            [load.report() for load in self.flows.values()],
            [load.report() for load in self.requests.values()],
        )

    async def until_settled(self, timeout_s: float = 20) -> None:
        """Wait until each open flow is answered again or has failed."""
        for load in self.flows.values():
            await load.until_settled(timeout_s)

    async def until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_s: float = 30,
    ) -> None:
        """Poll a condition until it holds; may raise ``TimeoutError``."""
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    def _next_seed(self) -> int:
        seed = self.deployment.description.seed * 10 + self._loads_started
        self._loads_started += 1
        return seed
