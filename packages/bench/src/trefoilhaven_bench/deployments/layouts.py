"""Addresses and settings of all processes of a deployment."""

from typing import Any, Final, NamedTuple

from trefoilhaven_bench.deployments.addresses import HostAddresses
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
)
from trefoilhaven_bench.fabric import FabricSettings
from trefoilhaven_bench.fault_proxy.links import Link, ProxySettings
from trefoilhaven_bench.platform_service.endpoints import PlatformSettings
from trefoilhaven_bench.records import object_of
from trefoilhaven_bench.target.behaviour import TargetSettings

BALANCER: Final = ('trefoilhaven.cli', 'balancer', '--settings')
AGENT: Final = ('trefoilhaven_agent.cli', '--settings')

_SOCKETS: Final = ('flow', 'control', 'rpc')


class ProcessPlan(NamedTuple):
    """Command and settings of one process.

    ``command`` is the module with its arguments; the path of the settings
    file is appended. ``ready`` is the URL that answers 200 when the process
    is ready.
    """

    name: str
    role: str
    failure_domain: str
    command: tuple[str, ...]
    settings: dict[str, Any]
    ready: str


class Sockets(NamedTuple):
    """Bound and advertised addresses of a balancer or an agent, by kind.

    The advertised addresses are links of the fault proxy if there is one.
    """

    bound: dict[str, str]
    advertised: dict[str, str]


class Layout:
    """Allocates the addresses of a deployment and builds its settings."""

    def __init__(self, description: DeploymentDescription) -> None:
        """Allocate the addresses of the stand-ins and the balancers."""
        self.description = description
        self.links: list[Link] = []
        self.domains: dict[str, str] = {}
        self._hosts = HostAddresses()
        self.platform = self._hosts.endpoint('platform')
        self.proxy_control = self._hosts.endpoint('proxy')
        self.fabric_control = self._hosts.endpoint('fabric')
        self.fabric_caller = self._hosts.endpoint('fabric')
        self._fabric_agent = self._hosts.endpoint('fabric')
        self._fabric_advertised = self._fabric_agent
        if description.proxied:
            self._fabric_advertised = self._add_link(
                'fabric',
                'flow',
                self._fabric_agent,
                '*',
            )
        self._balancers: dict[str, Sockets] = {}
        for number in range(1, description.balancers + 1):
            name = self.balancer_name(number)
            self._balancers[name] = self._open_sockets(name, number - 1)
        self._first_balancers = tuple(self._balancers)

    def balancer_name(self, number: int) -> str:
        """Return the name of a balancer; numbers start at 1."""
        return f'{self.description.name}-balancer-{number}'

    def domain(self, number: int) -> str:
        """Return the failure domain for a process number, in rotation."""
        domains = self.description.failure_domains
        return domains[number % len(domains)]

    def rpc_addresses(self) -> dict[str, str]:
        """Return the rpc address of each balancer that callers use."""
        return {
            name: sockets.advertised['rpc']
            for name, sockets in self._balancers.items()
        }

    def flow_addresses(self) -> dict[str, str]:
        """Return the flow address of each balancer that the fabric uses."""
        return {
            name: sockets.advertised['flow']
            for name, sockets in self._balancers.items()
        }

    def plan_platform(self) -> ProcessPlan:
        """Return the plan of the platform stand-in."""
        cfg = PlatformSettings(self.platform)
        return self._plan_stand_in('platform', cfg, self.platform)

    def plan_fabric(self) -> ProcessPlan:
        """Return the plan of the fabric."""
        cfg = FabricSettings(
            self.fabric_caller,
            self._fabric_agent,
            self.fabric_control,
            tuple(self.flow_addresses().values()),
            self.description.seed,
        )
        return self._plan_stand_in('fabric', cfg, self.fabric_control)

    def plan_proxy(self) -> ProcessPlan:
        """Return the plan of the fault proxy with the links added so far."""
        cfg = ProxySettings(
            self.proxy_control,
            tuple(self.links),
            self.domains,
            self.description.domain_delay_s,
            self.description.client_delay_s,
            self.description.seed,
        )
        return self._plan_stand_in('proxy', cfg, self.proxy_control)

    def plan_target(
        self,
        service: ServiceDescription,
        number: int,
    ) -> tuple[ProcessPlan, ProcessPlan]:
        """Return the plans of a target and of its agent."""
        name = f'{service.name}-{number}'
        host = f'host-{name}'
        cfg = TargetSettings(
            service.name,
            name,
            self._hosts.endpoint(host),
            self._hosts.endpoint(host),
            self._hosts.endpoint(host),
            slots=service.slots,
            service_time_s=service.service_time_s,
            straggler_share=service.straggler_share,
            cold_s=service.cold_s,
        )
        target = self._plan_stand_in('target', cfg, cfg.control)
        target = target._replace(name=name, failure_domain=self.domain(number))
        return target, self._plan_agent(cfg, number)

    def plan_balancer(self, number: int) -> ProcessPlan:
        """Return the plan of a balancer.

        A number beyond the initial ones gets addresses on its first call.
        """
        name = self.balancer_name(number)
        if name not in self._balancers:
            self._balancers[name] = self._open_sockets(name, number - 1)
        settings = {
            **self._common_settings(name, self._balancers[name], number - 1),
            'operator': self.description.operator,
            'platform': f'http://{self.platform}',
            'seeds': [
                {
                    'name': seed,
                    'failure_domain': self.domain(index),
                    **self._control_and_rpc(seed),
                }
                for index, seed in enumerate(self._first_balancers)
            ],
            'witnesses': list(self._first_balancers),
        }
        return self._plan_product(name, 'balancer', BALANCER, settings)

    def _plan_agent(self, target: TargetSettings, number: int) -> ProcessPlan:
        name = f'agent-{target.name}'
        sockets = self._open_sockets(target.name, number)
        settings = {
            **self._common_settings(target.name, sockets, number),
            'service': target.service,
            'witnesses': [
                {'name': witness, **self._control_and_rpc(witness)}
                for witness in self._first_balancers
            ],
            'target': {'flow': target.flow, 'rpc': target.rpc},
            'slots': target.slots,
        }
        return self._plan_product(name, 'agent', AGENT, settings)

    def _plan_product(
        self,
        name: str,
        role: str,
        command: tuple[str, ...],
        settings: dict[str, Any],
    ) -> ProcessPlan:
        return ProcessPlan(
            name,
            role,
            settings['failure_domain'],
            command,
            settings,
            f'http://{settings["metrics"]}/ready',
        )

    def _plan_stand_in(self, role: str, cfg: Any, control: str) -> ProcessPlan:
        modules = {'platform': 'platform_service', 'proxy': 'fault_proxy'}
        module = f'trefoilhaven_bench.{modules.get(role, role)}'
        return ProcessPlan(
            f'{self.description.name}-{role}',
            role,
            '',
            (module, '--settings'),
            object_of(cfg),
            f'http://{control}/health',
        )

    def _common_settings(
        self,
        name: str,
        sockets: Sockets,
        number: int,
    ) -> dict[str, Any]:
        advertised = {
            f'advertise_{kind}': address
            for kind, address in sockets.advertised.items()
        }
        return {
            'name': name,
            'host': f'host-{name}',
            'failure_domain': self.domain(number),
            **sockets.bound,
            **(advertised if self.description.proxied else {}),
            'metrics': self._hosts.endpoint(f'host-{name}'),
            'fabric': self._fabric_advertised,
            'log_level': self.description.log_level,
        }

    def _control_and_rpc(self, balancer: str) -> dict[str, str]:
        advertised = self._balancers[balancer].advertised
        return {kind: advertised[kind] for kind in ('control', 'rpc')}

    def _open_sockets(self, name: str, number: int) -> Sockets:
        host = f'host-{name}'
        bound = {kind: self._hosts.endpoint(host) for kind in _SOCKETS}
        if not self.description.proxied:
            return Sockets(bound, bound)
        domain = self.domain(number)
        self.domains[self._hosts.host(host)] = domain
        advertised = {
            kind: self._add_link(name, kind, address, domain)
            for kind, address in bound.items()
        }
        return Sockets(bound, advertised)

    def _add_link(
        self,
        name: str,
        kind: str,
        address: str,
        domain: str,
    ) -> str:
        listen = self._hosts.endpoint('proxy')
        protocol = 'tcp' if kind == 'rpc' else 'udp'
        self.links.append(
            Link(
                f'{name}-{kind}',
                protocol,
                listen,
                address,
                to_domain=domain,
            ),
        )
        return listen
