"""Baseline flow routers to compare with bucket ownership.

Only measurements use them. Each router simulates all balancers of a service;
the balancers' views of the targets may differ.
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
    """Where a packet arrived; ``target`` is None for a reset."""

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
        """Replace a balancer by one without flow state."""

    def start_target(self, now: float, target: str) -> None:
        """Start the agent of a target."""

    def kill_target(self, now: float, target: str) -> None:
        """Stop the agent of a target."""

    def set_states(self, now: float, observer: str, states: States) -> None:
        """Give the agent of a target its view of all targets."""

    def advance(self, now: float) -> list[Arrival]:
        """Advance the clock; return queued packets that arrive now."""
        return []

    @abstractmethod
    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Route a packet; the list is empty if it is lost or queued."""


class TableRouter(FlowRouter):
    """A flow table per balancer; new flows get a random target."""

    def __init__(self, service: str, rng: random.Random) -> None:
        """Start with empty tables."""
        super().__init__(service)
        self._rng = rng
        self._tables: dict[tuple[int, FlowKey], str] = {}

    def restart_balancer(self, balancer: int) -> None:
        """Clear the flow table of a balancer."""
        self._tables = {
            key: target
            for key, target in self._tables.items()
            if key[0] != balancer
        }

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Use the balancer's entry for the flow or add one."""
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
        """Index the balancer's targets, sorted by name."""
        targets = sorted(self._targets[balancer])
        if not targets:
            return []
        flow_hash = hash_flow(self._service, flow)
        return [Arrival(flow, targets[flow_hash % len(targets)])]


class RendezvousRouter(FlowRouter):
    """Rendezvous hashing of the flow, without an owner."""

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Choose the highest hash among the targets in the balancer's view."""
        targets = self._targets[balancer]
        if not targets:
            return []
        item = hash_flow(self._service, flow).to_bytes(8)
        best = max(targets, key=lambda name: hash_item(name, item))
        return [Arrival(flow, best)]
