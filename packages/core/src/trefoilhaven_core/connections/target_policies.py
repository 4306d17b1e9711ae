"""What balancers tell agents about evacuations and warm-up."""

import math
from collections.abc import Iterable
from itertools import islice
from typing import Final, NamedTuple

from trefoilhaven_core.connections.evacuations import (
    UNKNOWN_EVACUATIONS,
    Evacuations,
)
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.pacing import (
    MAX_PROMPT_POLICIES,
    PROMPT_INTERVAL_S,
)
from trefoilhaven_core.connections.policies import Policies, ServicePolicy
from trefoilhaven_core.membership.messages import BalancerRecord, Member
from trefoilhaven_core.membership.ranks import balancer_rank

# Balancers of each failure domain that tell the agents of a change at once.
# One that is cut off or restarts does not delay the change, and the others
# would only repeat it; they tell it with their next hello.
PROMPT_BALANCERS: Final = 3


class PolicyState(NamedTuple):
    """The policies and evacuations that a balancer has in force."""

    policies: Policies = Policies()
    evacuations: Evacuations = UNKNOWN_EVACUATIONS

    @property
    def is_known(self) -> bool:
        """Whether there is anything that agents could apply."""
        return bool(self.policies.version) or self.evacuations.is_known

    def policy_of(self, member: Member) -> TargetPolicy:
        """Return what the agent of a member is told."""
        service = self._service_policy(member.service)
        return TargetPolicy(
            member.service,
            member.failure_domain,
            self.policies.version,
            service.cold_s,
            service.cold_openings_per_s,
            self.evacuations.version,
            member.failure_domain in self.evacuations.domains,
        )

    def _service_policy(self, name: str) -> ServicePolicy:
        named = (
            each for each in self.policies.services if each.service == name
        )
        return next(named, ServicePolicy(name, 0, 0))


class PromptQueue:
    """Members whose agents are to be told of a change, within the budget.

    A later change of a member that still waits replaces the earlier one.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._taken_at = -math.inf
        self._waiting: dict[tuple[str, str], Member] = {}

    def add(self, members: Iterable[Member]) -> None:
        """Append members."""
        for member in members:
            self._waiting[member.service, member.target] = member

    def take(self, now: float) -> list[Member]:
        """Return the members whose agents are told at the monotonic ``now``.

        To be called after each change and about every 0.25 s.
        """
        if not self._waiting or now - self._taken_at < PROMPT_INTERVAL_S:
            return []
        self._taken_at = now
        keys = list(islice(self._waiting, MAX_PROMPT_POLICIES))
        return [self._waiting.pop(key) for key in keys]


def changed_members(
    before: PolicyState, after: PolicyState, members: Iterable[Member]
) -> list[Member]:
    """Return the members for which something else applies than before.

    Versions that differ alone are no change.
    """
    return [
        member
        for member in members
        if _applied(before.policy_of(member))
        != _applied(after.policy_of(member))
    ]


def is_prompt(
    name: str, failure_domain: str, balancers: Iterable[BalancerRecord]
) -> bool:
    """Return whether a balancer tells agents of a change at once."""
    near = (
        record
        for record in balancers
        if record.failure_domain == failure_domain
    )
    return balancer_rank(name, near) < PROMPT_BALANCERS


def _applied(policy: TargetPolicy) -> tuple[float, float, bool]:
    return policy.cold_s, policy.cold_openings_per_s, policy.is_evacuated
