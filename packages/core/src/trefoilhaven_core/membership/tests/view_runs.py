"""Simulation of balancers and agents with faults for a limited time."""

import random
from typing import Final

from trefoilhaven_core.membership.messages import (
    ConfigurationNotice,
    MemberState,
)
from trefoilhaven_core.membership.tests.fleets import (
    Agent,
    Balancer,
    Platform,
)
from trefoilhaven_core.membership.tests.networks import Faults, MessageNetwork
from trefoilhaven_core.membership.tests.support import WITNESSES, make_member

STEP_S: Final = 0.05
FAULTS_S: Final = 20.0

# Enough for failure detection, reconnection of balancers and some digests.
SETTLE_S: Final = 30.0

SERVICES: Final = ('collect', 'certify')
DOMAINS: Final = ('tt-south-a', 'tt-south-b', 'tt-south-c')
_BALANCERS: Final = (*WITNESSES, 'entry-4', 'entry-5')


# Highest incarnation and sequence seen of each target.
Versions = dict[str, tuple[int, int]]


class ViewRun:
    """Checks that views converge and that no record reverts."""

    def __init__(self, seed: int) -> None:
        """Start all processes; a third of the seeds have no platform."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.network = MessageNetwork(self.rng)
        self.platform = Platform()
        self.platform.is_up = seed % 3 > 0
        self.balancers: dict[str, Balancer] = {}
        self.reverted: list[str] = []
        self.agents = {
            agent.name: agent for agent in self._make_agents(WITNESSES)
        }
        self._published = 0
        self._versions: dict[str, Versions] = {}
        self.start(*_BALANCERS)

    def start(self, *names: str) -> None:
        """Start balancers, or restart them without their records."""
        for name in names:
            self.balancers[name] = Balancer(
                name, self.now, WITNESSES, self.network, self.platform, self.rng
            )
            self._versions[name] = {}

    def run(self) -> bool:
        """Run with faults, then without; return whether all views converge."""
        while self.now < FAULTS_S:
            self._inject()
            self.step()
        self._heal()
        while self.now < FAULTS_S + SETTLE_S:
            self.step()
            if not self.differences():
                return True
        return False

    def step(self) -> None:
        """Advance by ``STEP_S``."""
        self.now += STEP_S
        for delivery in self.network.due(self.now):
            balancer = self.balancers.get(delivery.receiver)
            if balancer is None:
                if delivery.receiver in self.agents:
                    agent = self.agents[delivery.receiver]
                    agent.receive(delivery.message)
            elif self.now >= balancer.paused_until:
                balancer.receive(self.now, delivery.sender, delivery.message)
        for agent in self.agents.values():
            agent.tick(self.now)
        if round(self.now / STEP_S) % 5 == 0:
            for each in self.balancers.values():
                if self.now >= each.paused_until:
                    each.tick(self.now)
            self._check_order()

    def differences(self) -> list[str]:
        """Return what makes the views differ from each other or be wrong."""
        found = []
        stores = [each.store for each in self.balancers.values()]
        if len({store.root_digest() for store in stores}) > 1:
            found.append('digests differ')
        running = sorted(
            agent.member
            for agent in self.agents.values()
            if agent.is_up and agent.member.state == MemberState.alive
        )
        for balancer in self.balancers.values():
            eligible = [
                member
                for service in SERVICES
                for member in balancer.store.eligible(service)
            ]
            if sorted(eligible) != running:
                found.append(f'{balancer.name}: wrong members')
            if len(balancer.disseminator.peers) != len(self.balancers) - 1:
                found.append(f'{balancer.name}: wrong peers')
            found.extend(self._differing_versions(balancer))
        return found

    def publish(self) -> None:
        """Send a new configuration to a random balancer."""
        self._published += 1
        balancer = self.rng.choice(list(self.balancers.values()))
        size = self.rng.choice((100, 3_000))
        notice = ConfigurationNotice(
            'operator', SERVICES[0], self._published, b'x' * size
        )
        balancer.receive(self.now, 'operator', notice)

    def _make_agents(self, witnesses: tuple[str, ...]) -> list[Agent]:
        return [
            Agent(
                make_member(
                    f'{service}-{number}',
                    service=service,
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                ),
                witnesses,
                self.network,
            )
            for service in SERVICES
            for number in range(5)
        ]

    def _differing_versions(self, balancer: Balancer) -> list[str]:
        found = []
        store = balancer.store
        held = store.configuration(SERVICES[0]).version
        if held != self._published:
            found.append(f'{balancer.name}: configuration {held}')
        for service in SERVICES if self.platform.is_up else ():
            registered = dict(store.registry(service).registrations)
            found.extend(
                f'{balancer.name}: {member.target} not registered'
                for member in store.eligible(service)
                if registered.get(member.target) != member.incarnation
            )
        return found

    def _inject(self) -> None:
        if self.rng.random() < 0.02:
            self._inject_process_fault()
        if self.rng.random() < 0.01:
            self._cut_network()
        if self.rng.random() < 0.01:
            self.network.cut = set()
        if self.rng.random() < 0.02:
            self.publish()
        if self.rng.random() < 0.02:
            self.network.faults = Faults(
                self.rng.choice((0, 0.1, 0.4)),
                self.rng.choice((0, 0.3)),
                self.rng.choice((0.01, 0.3, 3)),
            )

    def _inject_process_fault(self) -> None:
        agent = self.rng.choice(list(self.agents.values()))
        balancer = self.rng.choice(list(self.balancers.values()))
        match self.rng.randrange(7):
            case 0:
                self.start(*self.balancers)
            case 1:
                self.start(balancer.name)
            case 2:
                balancer.paused_until = self.now + self.rng.uniform(0.5, 5)
            case 3:
                agent.drain()
            case 4 | 5:
                agent.is_up = False
            case _:
                agent.restart(2 + int(self.now * 1000))

    def _cut_network(self) -> None:
        names = [*self.balancers, *self.agents]
        side = set(self.rng.sample(names, self.rng.randrange(len(names))))
        self.network.cut = {
            frozenset((one, other))
            for one in side
            for other in names
            if other not in side
        }

    def _heal(self) -> None:
        self.network.cut = set()
        self.network.faults = Faults()
        for balancer in self.balancers.values():
            balancer.paused_until = 0
        self.publish()

    def _check_order(self) -> None:
        for name, balancer in self.balancers.items():
            versions = self._versions[name]
            for service in SERVICES:
                for member in balancer.store.members(service):
                    version = (member.incarnation, member.sequence)
                    if version < versions.get(member.target, version):
                        self.reverted.append(f'{name}: {member.target}')
                    versions[member.target] = version
