"""Loads, changes and verdicts of one operator in the demo."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from trefoilhaven_bench.caller.flows import FlowLoad
from trefoilhaven_bench.caller.reports import FlowReport, RequestReport
from trefoilhaven_bench.caller.requests import RequestLoad
from trefoilhaven_bench.deployments.commands import OperatorCommands
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.verdicts import ServiceVerdict, evaluate_service

FLOWS: Final = 120
OPEN_PER_S: Final = 5
PACKETS_PER_S: Final = 2
REQUESTS_PER_S: Final = 25
DURATION_S: Final = 36
# Seconds after the start of the load.
KILL_AT_S: Final = 8
DRAIN_AT_S: Final = 16
PUBLISH_AT_S: Final = 24
# Seconds until the operator of the network removes a dead balancer from the
# fabric.
FABRIC_UPDATE_DELAY_S: Final = 1
# Longest wait for a new configuration in all processes, in seconds.
PUBLISH_TIMEOUT_S: Final = 10

ProgressCallback = Callable[[str], None]


class ServiceLoad(NamedTuple):
    """Flow load and request load of a service."""

    service: str
    flows: FlowLoad
    requests: RequestLoad


class DemoRun:
    """Loads and changes of one deployment.

    ``report`` is called with a line of text after each change.
    """

    def __init__(
        self,
        deployment: Deployment,
        commands: OperatorCommands,
        report: ProgressCallback,
    ) -> None:
        """Create the loads for all services of a started deployment."""
        self._deployment = deployment
        self._commands = commands
        self._report_progress = report
        self._drained: set[str] = set()
        self.loads = [
            self._plan_load(service.name, number)
            for number, service in enumerate(
                deployment.description.services,
                1,
            )
        ]

    async def run(self) -> list[ServiceVerdict]:
        """Run loads and changes concurrently; evaluate each service."""
        changes = asyncio.create_task(self._apply_changes())
        reports = await asyncio.gather(
            *[self._run_load(load) for load in self.loads],
        )
        await changes
        return [
            await self._evaluate(load.service, *report)
            for load, report in zip(self.loads, reports, strict=True)
        ]

    def _plan_load(self, service: str, number: int) -> ServiceLoad:
        deployment = self._deployment
        seed = deployment.description.seed * 10 + number
        flows = deployment.flow_plan(
            service,
            flows=FLOWS,
            open_per_s=OPEN_PER_S,
            packets_per_s=PACKETS_PER_S,
            duration_s=DURATION_S,
            seed=seed,
        )
        requests = deployment.request_plan(
            service,
            rate_per_s=REQUESTS_PER_S,
            duration_s=DURATION_S - 4,
            seed=seed,
        )
        return ServiceLoad(service, FlowLoad(flows), RequestLoad(requests))

    async def _run_load(
        self,
        load: ServiceLoad,
    ) -> tuple[FlowReport, RequestReport]:
        flows, requests = await asyncio.gather(
            load.flows.run(),
            load.requests.run(),
        )
        return flows, requests

    async def _evaluate(
        self,
        service: str,
        flows: FlowReport,
        requests: RequestReport,
    ) -> ServiceVerdict:
        ran: list[dict[str, Any]]
        ran = await self._deployment.fetch_pages(service, 'ran')
        pages = await self._deployment.fetch_pages(service, 'flows')
        return evaluate_service(flows, requests, ran, pages, self._drained)

    async def _apply_changes(self) -> None:
        """Kill a balancer, drain a target and publish, in sequence."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for at_s, change in (
            (KILL_AT_S, self._kill_balancer),
            (DRAIN_AT_S, self._drain_target),
            (PUBLISH_AT_S, self._publish),
        ):
            await asyncio.sleep(started_at + at_s - loop.time())
            self._report_progress(await change())

    async def _kill_balancer(self) -> str:
        victim = self._deployment.running_balancers()[1]
        await self._deployment.kill(victim)
        await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
        await self._deployment.update_fabric()
        running = tuple(self._deployment.running_rpc().values())
        for load in self.loads:
            load.requests.use_balancers(running)
        return f'{victim} killed'

    async def _drain_target(self) -> str:
        service = self.loads[0].service
        target = f'{service}-2'
        await self._commands.drain(service, target)
        self._drained.add(target)
        return f'{target} drains'

    async def _publish(self) -> str:
        service = self.loads[0].service
        version = await self._commands.change_service(service, warm_up_s=4)
        in_force = await self._commands.until_in_force(
            service,
            version,
            PUBLISH_TIMEOUT_S,
        )
        return (
            f'{service} version {version} in force everywhere '
            f'after {in_force.seconds:.2f} s'
        )
