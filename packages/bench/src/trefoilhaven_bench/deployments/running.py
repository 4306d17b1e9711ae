"""Control of a running deployment: processes, faults and pages."""

import asyncio
import signal
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from trefoilhaven_bench.caller.plans import FlowPlan, RequestPlan
from trefoilhaven_bench.deployments.children import Child, stop_all
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
)
from trefoilhaven_bench.deployments.layouts import Layout, ProcessPlan
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_bench.settings import STOP_TIMEOUT_S
from trefoilhaven_core.membership.messages import Address


class Deployment:
    """Starts, changes and stops all processes of a description.

    Settings files and logs are written to ``directory``. Use it as an
    asynchronous context manager, which stops all processes on exit.
    """

    def __init__(
        self,
        description: DeploymentDescription,
        directory: Path,
    ) -> None:
        """Allocate addresses without starting a process."""
        self.description = description
        self.layout = Layout(description)
        self.children: dict[str, Child] = {}
        self.directory = directory
        self._session: ClientSession | None = None
        self._balancers: list[ProcessPlan] = []
        self._pairs: list[tuple[ProcessPlan, ProcessPlan]] = []

    async def __aenter__(self) -> 'Deployment':
        """Open the HTTP session; ``start_...`` start the processes."""
        self._session = ClientSession()
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Stop all processes."""
        await self.stop()

    @property
    def session(self) -> ClientSession:
        """HTTP session for the endpoints of all processes.

        Raises ``RuntimeError`` outside the context.
        """
        if self._session is None:
            raise RuntimeError('HTTP session is not open; use "async with"')
        return self._session

    async def start_environment(self) -> None:
        """Start the platform, the fabric and the fault proxy if it is used."""
        self.directory.mkdir(parents=True, exist_ok=True)
        layout = self.layout
        self._plan_all()
        outside = [layout.plan_platform(), layout.plan_fabric()]
        if self.description.proxied:
            outside.append(layout.plan_proxy())
        await self.run(outside)

    async def start_product(self) -> None:
        """Start balancers and targets, then the agents."""
        targets, agents = zip(*self._pairs, strict=True)
        await self.run((*self._balancers, *targets))
        await self.run(agents)

    async def run(self, plans: Iterable[ProcessPlan]) -> None:
        """Start processes and wait until all of them are ready."""
        started = [Child(plan, self.directory) for plan in plans]
        for child in started:
            self.children[child.plan.name] = child
        await asyncio.gather(*[child.start() for child in started])
        await asyncio.gather(
            *[child.until_ready(self.session) for child in started],
        )

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> list[str]:
        """Stop all processes, balancers and agents first.

        Returns the names of those that had to be killed.
        """
        by_role: dict[bool, list[Child]] = {True: [], False: []}
        for child in self.children.values():
            is_product = child.plan.role in {'balancer', 'agent'}
            by_role[is_product].append(child)
        late = await stop_all(by_role[True], timeout_s)
        late.extend(await stop_all(by_role[False], timeout_s))
        if self._session is not None:
            await self._session.close()
        return late

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for it."""
        await self.children[name].kill()

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.children[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process with SIGCONT."""
        self.children[name].send(signal.SIGCONT)

    async def restart(self, name: str) -> None:
        """Stop a process gracefully and start it; wait until it is ready."""
        child = self.children[name]
        await child.stop()
        await child.start()
        await child.until_ready(self.session)

    async def start_again(self, name: str) -> None:
        """Start a killed process with the same settings.

        Does not wait until it is ready, which can take long, for example
        while the platform is down.
        """
        await self.children[name].start()

    async def add_balancer(self) -> str:
        """Start another balancer, add it to the fabric and return its name."""
        number = 1 + sum(
            1
            for child in self.children.values()
            if child.plan.role == 'balancer'
        )
        plan = self.layout.plan_balancer(number)
        await self._add_links_of(plan)
        await self.run((plan,))
        await self.update_fabric()
        return plan.name

    async def add_target(self, service: str) -> str:
        """Start another target of a service with its agent; return its name."""
        numbers = [
            int(name.rpartition('-')[2]) for name in self.targets(service)
        ]
        target, agent = self.layout.plan_target(
            self.description.service(service),
            max(numbers) + 1,
        )
        await self._add_links_of(agent)
        await self.run((target, agent))
        return target.name

    async def update_fabric(self) -> None:
        """Set the fabric's list of balancers to those that run."""
        addresses = self.layout.flow_addresses()
        running = [addresses[name] for name in self.running_balancers()]
        url = f'http://{self.layout.fabric_control}/balancers'
        await self.send('PUT', url, {'balancers': running})

    async def set_cut(self, one: str, other: str, *, cut: bool) -> None:
        """Cut or heal a pair of failure domains in the fault proxy."""
        url = f'http://{self.layout.proxy_control}/domains/{one}/{other}'
        await self.send('PUT', url, {'cut': cut})

    async def set_links(self, **changes: Any) -> None:
        """Apply the same changes to all UDP links of the fault proxy."""
        base = f'http://{self.layout.proxy_control}/links'
        links = await self.fetch(base)
        for name, link in links.items():
            if link['protocol'] == 'udp':
                await self.send('PUT', f'{base}/{name}', changes)

    async def isolate(self, domain: str, *, cut: bool) -> None:
        """Cut or heal a failure domain from all other domains."""
        for other in self.description.failure_domains:
            if other != domain:
                await self.set_cut(domain, other, cut=cut)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Change the faults of the platform stand-in."""
        url = f'http://{self.layout.platform}/faults'
        await self.send('POST', url, faults)

    async def set_behaviour(self, target: str, **changes: Any) -> None:
        """Change the behaviour of a target stand-in."""
        await self.send('POST', self._target_url(target, 'behaviour'), changes)

    def targets(self, service: str) -> list[str]:
        """Return the names of a service's targets."""
        return [
            child.plan.name
            for child in self.children.values()
            if child.plan.role == 'target'
            and child.plan.settings['service'] == service
        ]

    def product_rpc(self) -> dict[str, Address]:
        """Return the bound rpc address of each running balancer and agent."""
        return {
            child.plan.name: parse_address(child.plan.settings['rpc'])
            for child in self.children.values()
            if child.plan.role in {'balancer', 'agent'} and child.running
        }

    def running_balancers(self) -> list[str]:
        """Return the names of the running balancers."""
        return [
            child.plan.name
            for child in self.children.values()
            if child.plan.role == 'balancer' and child.running
        ]

    def running_rpc(self) -> dict[str, str]:
        """Return the rpc address of each running balancer for callers."""
        addresses = self.layout.rpc_addresses()
        return {name: addresses[name] for name in self.running_balancers()}

    def flow_plan(self, service: str, **changes: Any) -> FlowPlan:
        """Return a plan of flows to a service, with fields replaced."""
        plan = FlowPlan(
            service,
            self.description.service(service).address,
            self.layout.fabric_caller,
            seed=self.description.seed,
        )
        return plan._replace(**changes)

    def request_plan(self, service: str, **changes: Any) -> RequestPlan:
        """Return a plan of requests to a service, with fields replaced."""
        plan = RequestPlan(
            service,
            tuple(self.running_rpc().values()),
            service_time_s=self.description.service(service).service_time_s,
            seed=self.description.seed,
        )
        return plan._replace(**changes)

    async def fetch_pages(
        self,
        service: str,
        page: str,
    ) -> list[dict[str, Any]]:
        """Fetch a page (``ran`` or ``flows``) of each running target."""
        names = [
            name
            for name in self.targets(service)
            if self.children[name].running
        ]
        return list(
            await asyncio.gather(
                *[self.fetch(self._target_url(name, page)) for name in names],
            ),
        )

    async def fetch(self, url: str) -> Any:
        """Fetch the JSON body of a URL; raise an error for a failed status."""
        async with self.session.get(url) as answer:
            answer.raise_for_status()
            return await answer.json()

    async def send(self, method: str, url: str, body: Any) -> Any:
        """Send a JSON body and return the JSON body of the response.

        Raises an error for a failed status.
        """
        async with self.session.request(method, url, json=body) as answer:
            answer.raise_for_status()
            return await answer.json()

    def _plan_all(self) -> None:
        """Allocate all addresses before the proxy starts with their links."""
        self._balancers = [
            self.layout.plan_balancer(number)
            for number in range(1, self.description.balancers + 1)
        ]
        self._pairs = [
            self.layout.plan_target(service, number)
            for service in self.description.services
            for number in range(1, service.targets + 1)
        ]

    def _target_url(self, target: str, page: str) -> str:
        control = self.children[target].plan.settings['control']
        return f'http://{control}/{page}'

    async def _add_links_of(self, plan: ProcessPlan) -> None:
        """Open the proxy links of a process that is added later."""
        if not self.description.proxied:
            return
        for link in self.layout.links:
            if link.name.startswith(f'{plan.settings["name"]}-'):
                url = f'http://{self.layout.proxy_control}/links/{link.name}'
                await self.send('PUT', url, link._asdict())
