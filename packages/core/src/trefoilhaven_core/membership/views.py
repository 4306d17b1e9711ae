"""Store of all known members, balancers and versions.

Digests are sums of record hashes modulo 2**64. A changed record therefore
costs two hashes, and the order of records does not matter. Members that are
dead or left and not registered are excluded from the digests, because
processes drop their records at different times.
"""

from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Configuration,
    Member,
    MemberState,
    Registration,
    Registry,
    ServiceVersions,
    ServiceView,
    SilentDomain,
    State,
)
from trefoilhaven_core.membership.records import (
    GROUP_COUNT,
    MASK,
    MergeResult,
    ServiceRecords,
    balancer_digest_term,
    group_of,
    hash_record,
    supersedes,
)

# Records of balancers that are dead or left, and of such members that are not
# registered, are kept for this long, so that a late datagram does not
# restore them.
RECORD_RETENTION_S: Final = 600.0


class ViewStore:
    """Merges records and holds the current view of all services."""

    def __init__(self) -> None:
        """Start without any record.

        ``balancers_revision`` increases with each change of a balancer's
        record.
        """
        self.balancers_revision = 0
        self._services: dict[str, ServiceRecords] = {}
        self._balancers: dict[str, BalancerRecord] = {}
        self._groups = [0] * GROUP_COUNT
        self._departed_since: dict[tuple[str, str], float] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all known services."""
        return tuple(self._services)

    @property
    def balancers(self) -> tuple[BalancerRecord, ...]:
        """Records of all known balancers, including dead ones."""
        return tuple(self._balancers.values())

    def member(self, service: str, target: str) -> Member | None:
        """Return the record of a target, None if unknown."""
        known = self._services.get(service)
        return known.members.get(target) if known else None

    def members(self, service: str) -> tuple[Member, ...]:
        """Return all records of a service in no particular order."""
        known = self._services.get(service)
        return tuple(known.members.values()) if known else ()

    def balancer(self, name: str) -> BalancerRecord | None:
        """Return the record of a balancer, None if unknown."""
        return self._balancers.get(name)

    def merge(
        self,
        members: Iterable[Member] = (),
        balancers: Iterable[BalancerRecord] = (),
    ) -> MergeResult:
        """Store the records that supersede known ones, and return them.

        An unknown member that is dead or left is stored only if it is
        registered. An unknown balancer that is dead or left never is.
        """
        changed_members = [
            member for member in members if self._merge_member(member)
        ]
        changed_balancers = [
            record for record in balancers if self._merge_balancer(record)
        ]
        return MergeResult(tuple(changed_members), tuple(changed_balancers))

    def suspect_domain(self, report: SilentDomain) -> MergeResult:
        """Mark the alive members that a report covers as suspect."""
        suspects = [
            member._replace(state=MemberState.suspect)
            for service in report.services
            for member in self.members(service)
            if member.failure_domain == report.failure_domain
            and member.state == MemberState.alive
        ]
        return self.merge(suspects)

    def set_registry(
        self,
        service: str,
        version: int,
        registrations: Iterable[Registration],
    ) -> bool:
        """Store a higher version of a service's registered members."""
        known = self._service(service)
        if version <= known.registry.version:
            return False
        before = known.versions_hash
        entries = tuple(sorted(registrations))
        known.registry = Registry(service, version, entries)
        known.registered = frozenset(entry.target for entry in entries)
        known.hash_sum = (
            sum(known.digest_term(member) for member in known.members.values())
            & MASK
        )
        self._add_to_group(known.group, known.versions_hash - before)
        return True

    def registry(self, service: str) -> Registry:
        """Return the registered members, at version 0 if unknown."""
        known = self._services.get(service)
        return known.registry if known else Registry(service, 0, ())

    def set_configuration(
        self, service: str, version: int, content: bytes
    ) -> bool:
        """Store a higher version of a service's configuration."""
        known = self._service(service)
        if version <= known.configuration.version:
            return False
        before = known.versions_hash
        known.configuration = Configuration(service, version, content)
        self._add_to_group(known.group, known.versions_hash - before)
        return True

    def configuration(self, service: str) -> Configuration:
        """Return the configuration, at version 0 if unknown."""
        known = self._services.get(service)
        return known.configuration if known else Configuration(service, 0, b'')

    def view(self, service: str) -> ServiceView:
        """Return the members and registrations of a service, sorted."""
        registry = self.registry(service)
        return ServiceView(
            service,
            registry.version,
            registry.registrations,
            tuple(sorted(self.members(service))),
        )

    def eligible(self, service: str) -> tuple[Member, ...]:
        """Return the members that may get new work, sorted by name."""
        states = (MemberState.alive, MemberState.suspect)
        return tuple(
            sorted(
                member
                for member in self.members(service)
                if member.state in states
            )
        )

    def digest(self, service: str) -> int:
        """Return the digest of a service's view."""
        known = self._services.get(service)
        return known.digest if known else 0

    def versions(self, service: str) -> ServiceVersions:
        """Return the versions of a service's records, 0 if unknown."""
        known = self._services.get(service)
        if known is None:
            return ServiceVersions(service, 0, 0, 0)
        return ServiceVersions(
            service,
            known.digest,
            known.registry.version,
            known.configuration.version,
        )

    def group_digests(self) -> tuple[int, ...]:
        """Return the digest of each group of services and balancers."""
        return tuple(self._groups)

    def root_digest(self) -> int:
        """Return the digest of all records."""
        return hash_record(self._groups)

    def state(self, sender: str, services: Iterable[str] = ()) -> State:
        """Return the records of ``services``, or all records if empty.

        Balancers are included only with all records.
        """
        wanted = tuple(services)
        names = wanted or self.services
        return State(
            sender,
            tuple(member for name in names for member in self.members(name)),
            () if wanted else self.balancers,
            tuple(self.registry(name) for name in names),
            tuple(self.configuration(name) for name in names),
        )

    def merge_state(self, state: State) -> MergeResult:
        """Store what is newer in a peer's state.

        Registries are stored first, since they determine which records of
        members that are dead or left are stored.
        """
        for registry in state.registries:
            self.set_registry(*registry)
        for configuration in state.configurations:
            self.set_configuration(*configuration)
        return self.merge(state.members, state.balancers)

    def forget(self, now: float) -> None:
        """Drop records that were dead or left for ``RECORD_RETENTION_S``.

        Members are kept as long as they are registered. Called about every
        10 s, since it iterates over all records.
        """
        departed = dict.fromkeys(self._departed_keys(), now)
        for key in departed:
            departed[key] = min(now, self._departed_since.get(key, now))
        expired = [
            key
            for key, since in departed.items()
            if now - since >= RECORD_RETENTION_S
        ]
        for service, name in expired:
            departed.pop((service, name))
            if service:
                self._services[service].members.pop(name)
            else:
                self._balancers.pop(name)
                self.balancers_revision += 1
        self._departed_since = departed

    def _departed_keys(self) -> Iterable[tuple[str, str]]:
        for service, known in self._services.items():
            for member in known.members.values():
                if not known.is_in_digest(member):
                    yield service, member.target
        for record in self._balancers.values():
            if record.state >= MemberState.dead:
                yield '', record.name

    def _service(self, name: str) -> ServiceRecords:
        known = self._services.get(name)
        if known is None:
            known = ServiceRecords(name)
            self._services[name] = known
            self._add_to_group(known.group, known.versions_hash)
        return known

    def _merge_member(self, member: Member) -> bool:
        known = self._service(member.service)
        old = known.members.get(member.target)
        if old is None and not known.is_in_digest(member):
            return False
        if old is not None and not supersedes(member, old):
            return False
        before = known.versions_hash
        known.members[member.target] = member
        known.hash_sum += known.digest_term(member) - known.digest_term(old)
        self._add_to_group(known.group, known.versions_hash - before)
        return True

    def _merge_balancer(self, record: BalancerRecord) -> bool:
        old = self._balancers.get(record.name)
        if old is None and record.state >= MemberState.dead:
            return False
        if old is not None and not supersedes(record, old):
            return False
        self._balancers[record.name] = record
        self.balancers_revision += 1
        gain = balancer_digest_term(record) - balancer_digest_term(old)
        self._add_to_group(group_of(record.name), gain)
        return True

    def _add_to_group(self, group: int, gain: int) -> None:
        self._groups[group] = (self._groups[group] + gain) & MASK
