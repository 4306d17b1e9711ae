"""Common ways to route flows, for comparison with bucket ownership.

They are used by measurements only. Each router plays all balancers of a
service; the balancers' views of the targets may differ.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from trefoilhaven_core.flows.held import hash_flow
from trefoilhaven_core.flows.messages import FlowKey
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.routing.tables import hash_item

States = Mapping[str, MemberState]


class Arrival(NamedTuple):
    """Where a packet arrived; no target stands for a reset."""

    flow: FlowKey
    target: str | None


class FlowRouter(ABC):
    """Balancers of one service together with its targets' agents."""

    def __init__(self, service: str) -> None:
        """Start with balancers that know no targets."""
        self._service = service
        self._targets: dict[int, tuple[str, ...]] = {}

    def set_targets(self, balancer: int, targets: tuple[str, ...]) -> None:
        """Give a balancer its view of the targets that take new flows."""
        self._targets[balancer] = targets

    def restart_balancer(self, balancer: int) -> None:
        """Replace a balancer, which then holds no state of flows."""

    def start_target(self, now: float, target: str) -> None:
        """Start the agent of a target."""

    def kill_target(self, now: float, target: str) -> None:
        """End the agent of a target."""

    def set_states(self, now: float, observer: str, states: States) -> None:
        """Give the agent of a target its view of all targets."""

    def advance(self, now: float) -> list[Arrival]:
        """Let time pass; return the packets that waited and arrive now."""
        return []

    @abstractmethod
    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Route a packet; nothing is returned when it is lost or waits."""


class TableRouter(FlowRouter):
    """Each balancer has a flow table of its own and chooses at random."""

    def __init__(self, service: str, rng: random.Random) -> None:
        """Start with empty tables."""
        super().__init__(service)
        self._rng = rng
        self._tables: dict[tuple[int, FlowKey], str] = {}

    def restart_balancer(self, balancer: int) -> None:
        """Forget the flow table of a balancer."""
        self._tables = {
            key: target
            for key, target in self._tables.items()
            if key[0] != balancer
        }

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Use the balancer's entry or make a new one."""
        targets = self._targets[balancer]
        target = self._tables.get((balancer, flow))
        if target is None and targets:
            target = self._rng.choice(targets)
            self._tables[(balancer, flow)] = target
        return [] if target is None else [Arrival(flow, target)]


class ModuloRouter(FlowRouter):
    """The hash of the flow modulo the number of targets."""

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Use the balancer's list of targets in the order of names."""
        targets = sorted(self._targets[balancer])
        if not targets:
            return []
        item = hash_flow(self._service, flow)
        return [Arrival(flow, targets[item % len(targets)])]


class RendezvousRouter(FlowRouter):
    """The target of the highest weight for the flow, without an owner."""

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Use the balancer's view of the targets."""
        targets = self._targets[balancer]
        if not targets:
            return []
        item = hash_flow(self._service, flow).to_bytes(8)
        best = max(targets, key=lambda name: hash_item(name, item))
        return [Arrival(flow, best)]
