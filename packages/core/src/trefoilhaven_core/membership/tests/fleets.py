"""Balancers and agents over a simulated network, with a fake platform."""

import random

from trefoilhaven_core.membership.detectors import FailureDetector, refute
from trefoilhaven_core.membership.dissemination import Disseminator, Effect
from trefoilhaven_core.membership.gossip import Send
from trefoilhaven_core.membership.messages import (
    Changes,
    ConfigurationNotice,
    Digest,
    Heartbeat,
    Member,
    MemberState,
    Registration,
    RegistryNotice,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.registrations import RegistrationPlanner
from trefoilhaven_core.membership.tests.networks import MessageNetwork
from trefoilhaven_core.membership.tests.support import (
    NO_LOAD,
    make_balancer,
)
from trefoilhaven_core.membership.views import ViewStore

PlatformObject = tuple[int, tuple[Registration, ...]]


class Platform:
    """In-memory store of versioned objects, which may be unavailable."""

    def __init__(self) -> None:
        """Start empty and available."""
        self.is_up = True
        self.objects: dict[str, PlatformObject] = {}

    def write(
        self,
        service: str,
        expected_version: int,
        registrations: tuple[Registration, ...],
    ) -> bool:
        """Write if the version is the expected one; return whether it was."""
        version, _ = self.objects.get(service, (0, ()))
        if version != expected_version:
            return False
        self.objects[service] = (version + 1, registrations)
        return True


class Balancer:
    """The decision code of a balancer, called as in the real process."""

    def __init__(
        self,
        name: str,
        now: float,
        seeds: tuple[str, ...],
        network: MessageNetwork,
        platform: Platform,
        rng: random.Random,
    ) -> None:
        """Start without any records; only the names of seeds are known."""
        own = make_balancer(name, incarnation=1 + int(now * 1000))
        self.name = name
        self.store = ViewStore()
        self.paused_until = 0.0
        self._is_witness = name in seeds
        self.detector = FailureDetector(own, self.store, now)
        self.disseminator = Disseminator(own, self.store, rng, seeds)
        self._planner = RegistrationPlanner(name, self.store)
        self._network = network
        self._platform = platform
        self._rng = rng
        self._next_second = now + rng.random()

    def tick(self, now: float) -> None:
        """Run what is due; called every 0.25 s."""
        found = self.detector.tick(now)
        changes = Changes(self.name, *found[:3])
        effects = self.disseminator.on_changes(now, changes)
        effects.extend(self.disseminator.tick(now))
        effects.extend(self.disseminator.probe(peer) for peer in found.probes)
        self._perform(now, effects)
        if now >= self._next_second:
            self._next_second = now + 1
            for service in self.store.services:
                if self._is_witness:
                    members = self.store.members(service)
                    self.detector.watch(now, members)
                self._register(now, service)

    def receive(self, now: float, sender: str, message: object) -> None:
        """Handle one message."""
        if not isinstance(message, Heartbeat):
            self.detector.on_peer_message(now, sender)
        effects: list[Effect] = []
        match message:
            case Heartbeat(member):
                changes = Changes(self.name, (member,), ())
                effects = self.disseminator.on_changes(now, changes)
                known = self.detector.on_heartbeat(now, member)
                if known:
                    answer = Changes(self.name, (known,), ())
                    self._network.send(now, self.name, sender, answer)
            case Changes():
                effects = self.disseminator.on_changes(now, message)
            case Digest():
                effects = self.disseminator.on_digest(now, message)
            case State():
                effects = self.disseminator.on_state(now, message)
            case StateRequest(_, services):
                state = self.store.state(self.name, services)
                self._network.send(now, self.name, sender, state)
            case ConfigurationNotice():
                effects = self.disseminator.on_configuration(now, message)
            case RegistryNotice():
                effects = self.disseminator.on_registry(now, message)
        self._perform(now, effects)

    def _register(self, now: float, service: str) -> None:
        if not self._platform.is_up:
            return
        plan = self._planner.plan(now, service)
        if plan:
            self._platform.write(*plan[:3])
        is_lost = self._rng.random() < 0.2
        if is_lost or service not in self._platform.objects:
            return
        notice = RegistryNotice(
            self.name, service, *self._platform.objects[service]
        )
        self._perform(now, self.disseminator.on_registry(now, notice))
        self._planner.on_answer(service)

    def _perform(self, now: float, effects: list[Effect]) -> None:
        for effect in effects:
            message: object = None
            if isinstance(effect, Send):
                message = effect.message
                if isinstance(message, Digest) and not message.is_reply:
                    self.detector.on_probe_sent(now, effect.peer)
            else:
                message = StateRequest(self.name, effect.services)
            self._network.send(now, self.name, effect.peer, message)


class Agent:
    """An agent that sends heartbeats and refutes wrong reports."""

    def __init__(
        self,
        member: Member,
        witnesses: tuple[str, ...],
        network: MessageNetwork,
    ) -> None:
        """Start with a member record."""
        self.member = member
        self.is_up = True
        self._witnesses = witnesses
        self._network = network
        self._next_at = 0.0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.member.target

    def drain(self) -> None:
        """Set the target to draining with its next heartbeat."""
        self.member = self.member._replace(
            state=MemberState.draining, sequence=self.member.sequence + 1
        )

    def restart(self, incarnation: int) -> None:
        """Restart as a new incarnation."""
        self.is_up = True
        self.member = self.member._replace(
            state=MemberState.alive, incarnation=incarnation, sequence=1
        )

    def tick(self, now: float) -> None:
        """Send the heartbeats that are due."""
        if not self.is_up or now < self._next_at:
            return
        self._next_at = now + 0.5
        heartbeat = Heartbeat(self.member, 1, NO_LOAD, now, 0)
        for witness in self._witnesses:
            self._network.send(now, self.name, witness, heartbeat)

    def receive(self, message: object) -> None:
        """Refute records that contradict the agent's record."""
        if isinstance(message, Changes) and self.is_up:
            for record in message.members:
                self.member = refute(self.member, record) or self.member
