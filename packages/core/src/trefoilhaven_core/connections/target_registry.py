"""Targets of all services as one balancer knows them, with their agents."""

import math
from collections.abc import Iterable, Iterator

from trefoilhaven_core.connections.failure_detector import AgentFailureDetector
from trefoilhaven_core.connections.messages import (
    TargetIdentity,
    TargetReport,
)
from trefoilhaven_core.connections.replacements import HostTable
from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.membership.messages import Member, MemberState


class TargetRegistry:
    """Targets with what was heard of them; times are monotonic, in seconds."""

    def __init__(self, failure_domain: str = '') -> None:
        """Start without targets; ``failure_domain`` is the balancer's own.

        ``revision`` increases with each change of the members.
        """
        self.failure_domain = failure_domain
        self.failure_detector = AgentFailureDetector()
        self.revision = 0
        self._hosts = HostTable()
        self._targets: dict[str, dict[str, TargetState]] = {}

    def set_members(
        self, service: str, members: Iterable[Member]
    ) -> list[Member]:
        """Replace the members of a service; known incarnations keep loads.

        Returns the members that are new or whose incarnation or state
        changed.
        """
        known = self._targets.get(service, {})
        targets = {}
        changed = []
        for member in members:
            target = known.get(member.target)
            if target is None or (
                target.member.incarnation != member.incarnation
            ):
                target = TargetState(member)
                self._hosts.on_added(target)
                changed.append(member)
            elif target.member.state is not member.state:
                changed.append(member)
            target.member = member
            targets[member.target] = target
        self._targets[service] = targets
        self.revision += bool(changed)
        if not targets.keys() >= known.keys():
            self._hosts.keep(each.member.host for each in self._all())
        return changed

    def on_report(self, now: float, report: TargetReport) -> None:
        """Record an agent's report, unless it is of another incarnation."""
        member = report.member
        target = self._targets.get(member.service, {}).get(member.target)
        if target is None or target.member.incarnation != member.incarnation:
            return
        target.is_cold = report.is_cold
        target.is_unresponsive = report.is_silent
        target.on_heard(now)
        target.on_load(report.load)
        target.reported_waiting = report.load.waiting
        target.placed = 0
        self.revision += self._hosts.on_report(target, self._all())

    def on_query(self, now: float, member: Member) -> None:
        """Record a repeated query to an agent that has not answered."""
        target = self._targets.get(member.service, {}).get(member.target)
        if target is not None:
            target.on_query(now)

    def on_answer(self, service: str, name: str) -> None:
        """Record that an agent has answered a query."""
        target = self._targets.get(service, {}).get(name)
        if target is not None:
            target.on_answer()

    @property
    def services(self) -> frozenset[str]:
        """Names of all services with members."""
        return frozenset(self._targets)

    def members(self, services: Iterable[str]) -> list[Member]:
        """Return the members of services that are present.

        They have neither left nor been replaced by a target of their host.
        """
        return [
            target.member
            for service in sorted(services)
            for target in self._targets.get(service, {}).values()
            if target.is_present
        ]

    def replaced_members(self, now: float, silent_s: float) -> list[Member]:
        """Return the replaced members that were silent for a time."""
        return [
            target.member
            for target in self._all()
            if target.is_replaced
            and target.member.state < MemberState.left
            and target.silent_s(now) >= silent_s
        ]

    def departed_members(self) -> list[Member]:
        """Return the members that have left or were replaced, latest first."""
        departed = [
            target.member for target in self._all() if not target.is_present
        ]
        return sorted(
            departed, key=lambda member: member.incarnation, reverse=True
        )

    def tick(self, now: float) -> None:
        """Update the failure detector; to be called at least every 0.2 s."""
        if not self.failure_detector.is_due(now):
            return
        silences = []
        for target in self._all():
            if target.listed_at is None:
                target.listed_at = now
            if target.is_present:
                silences.append(target.silent_s(now))
        self.failure_detector.observe(now, silences)

    def possible_holders(
        self, now: float, services: Iterable[str]
    ) -> list[Member]:
        """Return the members of services that have not failed permanently."""
        return [
            member
            for member in self.members(services)
            if not self.has_failed(now, member)
        ]

    def failed_members(self, now: float, silent_s: float) -> list[Member]:
        """Return the members whose agents failed and were silent for a time."""
        return [
            member
            for member in self.members(self.services)
            if self.has_failed(now, member)
            and self._find(member).silent_s(now) >= silent_s
        ]

    def is_gone(self, now: float, member: Member) -> bool:
        """Return whether a target is not present or its agent has failed."""
        target = self._targets.get(member.service, {}).get(member.target)
        if target is None or not target.is_present:
            return True
        return self.has_failed(now, member)

    def has_failed(self, now: float, member: Member) -> bool:
        """Return whether the agent of a member seems to have failed."""
        target = self._find(member)
        return self.failure_detector.has_failed(
            now, target.silent_s(now), target.unanswered_s(now)
        )

    def unheard_members(self) -> list[Member]:
        """Return the members whose agents have not reported yet."""
        return [
            member
            for member in self.members(self.services)
            if self._find(member).seen_at == -math.inf
        ]

    def heard_since(self, since: float) -> frozenset[TargetIdentity]:
        """Return the present targets whose agents were heard since a time."""
        return frozenset(
            TargetIdentity(
                target.member.service,
                target.member.target,
                target.member.incarnation,
            )
            for target in self._all()
            if target.is_present and target.seen_at >= since
        )

    def reported_share(self) -> float:
        """Return the share of targets that have reported; 1 without targets."""
        members = self.members(self.services)
        if not members:
            return 1.0
        return 1 - len(self.unheard_members()) / len(members)

    def member(self, service: str, name: str) -> Member | None:
        """Return a member of a service, None if it is unknown."""
        target = self._targets.get(service, {}).get(name)
        return target.member if target else None

    def _all(self) -> Iterator[TargetState]:
        for known in self._targets.values():
            yield from known.values()

    def _find(self, member: Member) -> TargetState:
        return self._targets[member.service][member.target]
