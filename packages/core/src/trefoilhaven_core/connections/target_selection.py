"""Selection of the target of a new connection, from agents' reports."""

import random
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from trefoilhaven_core.connections.domain_shares import DomainShares
from trefoilhaven_core.connections.effects import Placed
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    ConnectionKey,
    ConnectionLoad,
)
from trefoilhaven_core.connections.overload import ServiceRoom
from trefoilhaven_core.connections.preferences import (
    MIN_TARGETS,
    preferred_positions,
)
from trefoilhaven_core.connections.silences import heard_targets
from trefoilhaven_core.connections.target_costs import (
    expected_wait_s,
    select_cheapest,
)
from trefoilhaven_core.connections.target_registry import TargetRegistry
from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.membership.messages import Member, MemberState

# A cold target that returned an opening gets no further one for this time, in
# seconds, which is about the window in which its agent counts them.
REFUSAL_PAUSE_S: Final = 1.0


class TargetSelector(TargetRegistry):
    """Selects targets by their load, as one balancer sees them.

    Times are monotonic, in seconds.
    """

    def __init__(
        self, failure_domain: str, crossing_cost_s: float | None = None
    ) -> None:
        """Start without targets; ``failure_domain`` is the balancer's own.

        Without ``crossing_cost_s``, the wait in seconds that is accepted to
        keep a request in its domain, a fixed penalty keeps connections there,
        and ``domain_shares`` is None. Targets in ``evacuated_domains`` get no
        new connections.
        """
        super().__init__(failure_domain)
        self.domain_shares: DomainShares | None = None
        if crossing_cost_s is not None:
            self.domain_shares = DomainShares(failure_domain, crossing_cost_s)
        self.evacuated_domains: frozenset[str] = frozenset()

    def on_accepted(
        self, now: float, service: str, name: str, load: ConnectionLoad
    ) -> None:
        """Record the load that came with an accepted connection."""
        target = self._targets.get(service, {}).get(name)
        if target is not None:
            target.on_heard(now)
            target.on_load(load)
            target.placed = max(0, target.placed - 1)

    def on_refused_opening(self, now: float, service: str, name: str) -> None:
        """Record that an agent returned an opening.

        A cold target gets no further ones for a while.
        """
        target = self._targets.get(service, {}).get(name)
        if target is None:
            return
        target.placed = max(0, target.placed - 1)
        if target.is_cold:
            target.refused_until = now + REFUSAL_PAUSE_S

    def on_round_trip(self, now: float, accepted: ConnectionAccepted) -> None:
        """Record when an agent told that a connection was accepted."""
        member = self.member(accepted.service, accepted.target)
        if self.domain_shares is not None and member is not None:
            self.domain_shares.round_trips.on_accepted(
                now, accepted.key, member.failure_domain
            )

    def placement(
        self,
        now: float,
        key: ConnectionKey,
        member: Member,
        tried: tuple[str, ...],
    ) -> Placed:
        """Return the log entry of a selection that ``choose`` has counted."""
        target = self._find(member)
        if self.domain_shares is not None:
            self.domain_shares.round_trips.on_placed(
                now, key, member.failure_domain
            )
        return Placed(
            key,
            member,
            target.busy_share(),
            now - target.seen_at,
            tried,
            expected_wait_s(target),
            target.load.service_time_s,
        )

    def choose(
        self,
        now: float,
        rng: random.Random,
        service: str,
        excluded: Collection[str] = (),
        key: ConnectionKey | None = None,
    ) -> Member | None:
        """Select the target of a new connection and count it there.

        Of targets of equal cost, those preferred for ``key`` are selected.
        Unresponsive targets and those with a silent agent are selected only
        if there are no others. The result is None without a usable target.
        """
        candidates = self._candidates(now, service, excluded)
        if not candidates:
            return None
        preferred = self._preferred(key, candidates)
        if self.domain_shares is None:
            chosen = select_cheapest(
                candidates, self.failure_domain, rng, preferred
            )
        else:
            chosen = self.domain_shares.select(
                now, service, candidates, rng, preferred
            )
        chosen.placed += 1
        return chosen.member

    def room(self, now: float, service: str) -> ServiceRoom | None:
        """Return the room of a service, None without a usable target."""
        candidates = self._candidates(now, service)
        if not candidates:
            return None
        return ServiceRoom(
            min(expected_wait_s(target) for target in candidates),
            any(target.has_free_slot for target in candidates),
        )

    def is_evacuated(self, services: Iterable[str]) -> bool:
        """Return whether all domains with targets of services are evacuated.

        Targets that drain are left out, since they take no new connections
        either. The result is false without a target.
        """
        domains = {
            member.failure_domain
            for member in self.members(services)
            if member.state is not MemberState.draining
        }
        return bool(domains) and domains <= self.evacuated_domains

    def _preferred(
        self, key: ConnectionKey | None, candidates: Sequence[TargetState]
    ) -> frozenset[TargetState]:
        """Return the targets of the own domain that are preferred for a key."""
        if key is None or len(candidates) < MIN_TARGETS:
            return frozenset()
        near = [
            target
            for target in candidates
            if target.member.failure_domain == self.failure_domain
        ]
        hashes = [target.name_hash for target in near]
        return frozenset(
            near[position] for position in preferred_positions(key, hashes)
        )

    def _candidates(
        self, now: float, service: str, excluded: Collection[str] = ()
    ) -> list[TargetState]:
        """Return the targets that are usable, best without the silent."""
        usable = [
            target
            for target in self._targets.get(service, {}).values()
            if target.member.state is MemberState.alive
            and not target.is_replaced
            and now >= target.refused_until
            and target.member.target not in excluded
            and target.member.failure_domain not in self.evacuated_domains
        ]
        report_s = self.failure_detector.report_s
        return (
            heard_targets(now, usable, self.failure_domain, report_s) or usable
        )
