"""An agent's view of its siblings and of the bucket table."""

from typing import Final

from trefoilhaven_core.membership.messages import (
    Member,
    MemberState,
    Registration,
    ServiceView,
)
from trefoilhaven_core.routing.tables import BucketTable, build_table

_ELIGIBLE: Final = frozenset((MemberState.alive, MemberState.suspect))
_GONE: Final = frozenset((MemberState.dead, MemberState.left))


class Siblings:
    """Registered members and bucket table of a service, seen by one agent."""

    def __init__(
        self, service: str, target: str, incarnation: int, buckets: int
    ) -> None:
        self._target = target
        self._incarnation = incarnation
        self._buckets = buckets
        self._members: dict[str, Member] = {}
        self._registered: tuple[Registration, ...] = ()
        self._silent_since: dict[str, float] = {}
        self.registry_version = 0
        self._needed_version = 0
        self.incarnations: dict[str, int] = {}
        self.names: tuple[str, ...] = ()
        self.departed: frozenset[str] = frozenset()
        self.assigned_buckets: frozenset[int] = frozenset()
        self.table: BucketTable = build_table(service, (), buckets)

    def update(self, now: float, view: ServiceView) -> None:
        """Apply a view; an older list of registrations is ignored."""
        if view.registry_version >= self.registry_version:
            self.registry_version = view.registry_version
            self._registered = view.registered
        earlier = self.names
        self._members = {record.target: record for record in view.members}
        self.names = tuple(
            entry.target
            for entry in self._registered
            if entry.target != self._target
        )
        self.departed = frozenset(earlier).difference(self.names)
        self.incarnations = {
            entry.target: max(
                entry.incarnation, self._record_incarnation(entry.target)
            )
            for entry in self._registered
            if entry.target != self._target
        }
        self._silent_since = {
            name: self._silent_since.get(name, now)
            for name in self.names
            if self._state(name) in _GONE or name not in self._members
        }
        self._update_table(view.service)

    def require_version(self, version: int) -> None:
        """Require the registry version of a claim that the agent granted.

        The agent must ask that claimant before it owns the bucket again, so
        it needs a registry version that lists the claimant.
        """
        self._needed_version = max(self._needed_version, version)

    def knows_claimants(self) -> bool:
        """Return whether the registry lists all granted claimants."""
        return self.registry_version >= self._needed_version

    def can_claim(self) -> bool:
        """Return whether the agent itself may own buckets.

        It must be registered with its current incarnation, since only then
        every later member asks it for grants, and it must not be draining.
        """
        own = Registration(self._target, self._incarnation)
        return own in self._registered and not self.is_draining()

    def is_draining(self) -> bool:
        """Return whether the agent's own target is draining or has left."""
        return self._state(self._target) in {
            MemberState.draining,
            MemberState.left,
        }

    def is_eligible(self, target: str) -> bool:
        """Return whether a sibling may take new work."""
        return target in self.names and self._state(target) in _ELIGIBLE

    def is_dead_or_left(self, target: str) -> bool:
        """Return whether a sibling is reported as dead or left."""
        return self._state(target) in _GONE

    def incarnation_of(self, target: str) -> int:
        """Return the highest known incarnation of a sibling, 0 if unknown."""
        return self.incarnations.get(target, 0)

    def silent_s(self, now: float, target: str) -> float:
        """Return the seconds for which a sibling was dead, left or absent.

        It is 0 for a sibling that is reported in any other state.
        """
        since = self._silent_since.get(target)
        return 0 if since is None else now - since

    def _update_table(self, service: str) -> None:
        eligible = tuple(
            sorted(
                entry.target
                for entry in self._registered
                if self._state(entry.target) in _ELIGIBLE
            )
        )
        if eligible != self.table.targets:
            self.table = build_table(service, eligible, self._buckets)
        self.assigned_buckets = self._find_assigned()

    def _find_assigned(self) -> frozenset[int]:
        table = self.table
        if not self.can_claim() or self._target not in table.targets:
            return frozenset()
        own = table.targets.index(self._target)
        return frozenset(
            bucket
            for bucket, choice in enumerate(table.first_choices)
            if choice == own
        )

    def _state(self, target: str) -> MemberState | None:
        record = self._members.get(target)
        return None if record is None else record.state

    def _record_incarnation(self, target: str) -> int:
        record = self._members.get(target)
        return 0 if record is None else record.incarnation
