"""Anti-entropy between two balancers, by digests in three steps.

A digest of all records is sent first. If it differs, the digests of 64
groups follow, then the versions of the services in the groups that differ,
and finally the records themselves.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.gossip import (
    DATAGRAM_BYTES,
    ENVELOPE_BYTES,
    Item,
    Notice,
    size_of,
)
from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    ConfigurationNotice,
    Digest,
    RegistryNotice,
    ServiceVersions,
)
from trefoilhaven_core.membership.records import group_of
from trefoilhaven_core.membership.views import ViewStore

# Views with more members are pulled by the peer instead of pushed in
# datagrams.
MAX_PUSHED_MEMBERS: Final = 32


class Difference(NamedTuple):
    """Result of a comparison with a peer's versions.

    ``push`` holds the records to send to the peer. ``pull`` names services
    of which the peer has a newer configuration or registry, or whose
    differing view is too large to push. ``versions`` are the local versions
    of all services that differ.
    """

    push: tuple[Item, ...]
    pull: tuple[str, ...]
    versions: tuple[ServiceVersions, ...]


class AntiEntropy:
    """Computes what differs between the local records and a peer's."""

    def __init__(self, sender: str, store: ViewStore) -> None:
        """Compare the records of ``store``, as the balancer ``sender``."""
        self._sender = sender
        self._store = store

    def differing_groups(self, groups: Iterable[int]) -> tuple[int, ...]:
        """Return the numbers of the groups whose digests differ."""
        return tuple(
            number
            for number, (own, other) in enumerate(
                zip(self._store.group_digests(), groups, strict=False)
            )
            if own != other
        )

    def fits_datagrams(self, groups: Iterable[int]) -> bool:
        """Return whether each group's versions fit one datagram."""
        versions = self._versions_by_group(groups)
        return all(len(_batches(group)) == 1 for group in versions.values())

    def group_replies(self, groups: Iterable[int]) -> list[Digest]:
        """Return one reply for each group, with the versions of its services.

        The groups are small enough for one datagram each.
        """
        versions: dict[int, list[ServiceVersions]] = {
            number: [] for number in groups
        }
        for service in self._store.services:
            number = group_of(service)
            if number in versions:
                versions[number].append(self._store.versions(service))
        return [
            self._digest((number,))._replace(
                versions=tuple(group_versions), is_reply=True
            )
            for number, group_versions in versions.items()
        ]

    def balancers_in(self, groups: Iterable[int]) -> tuple[BalancerRecord, ...]:
        """Return the records of the balancers that fall into ``groups``."""
        wanted = set(groups)
        return tuple(
            record
            for record in self._store.balancers
            if group_of(record.name) in wanted
        )

    def compare(
        self, versions: Iterable[ServiceVersions], covered: Iterable[int]
    ) -> Difference:
        """Return what each side lacks, according to a peer's versions.

        A service of a group in ``covered`` that ``versions`` does not list
        is unknown to the peer.
        """
        listed = {each.service: each for each in versions}
        wanted = set(covered)
        for service in self._store.services:
            if service not in listed and group_of(service) in wanted:
                listed[service] = ServiceVersions(service, 0, 0, 0)
        push: list[Item] = []
        pull = []
        differing = []
        for service, other in listed.items():
            own = self._store.versions(service)
            if own == other:
                continue
            differing.append(own)
            push.extend(self._missing_items(own, other))
            if self._is_behind(own, other):
                pull.append(service)
        return Difference(tuple(push), tuple(pull), tuple(differing))

    def configuration_notice(self, service: str) -> Notice:
        """Return the configuration, or a digest if it exceeds a datagram."""
        notice = ConfigurationNotice(
            self._sender, *self._store.configuration(service)
        )
        return self._notice_or_versions(service, notice)

    def registry_notice(self, service: str) -> Notice:
        """Return the registry, or a digest if it exceeds a datagram."""
        notice = RegistryNotice(self._sender, *self._store.registry(service))
        return self._notice_or_versions(service, notice)

    def reply(self, versions: Iterable[ServiceVersions]) -> list[Digest]:
        """Return ``versions`` as replies, which need no answer.

        Each reply fits a datagram.
        """
        return [
            self._digest(())._replace(versions=tuple(batch), is_reply=True)
            for batch in _batches(list(versions))
        ]

    def _versions_by_group(
        self, groups: Iterable[int]
    ) -> dict[int, list[ServiceVersions]]:
        versions: dict[int, list[ServiceVersions]] = {
            number: [] for number in groups
        }
        for service in self._store.services:
            number = group_of(service)
            if number in versions:
                versions[number].append(self._store.versions(service))
        return versions

    def _digest(self, covered: tuple[int, ...]) -> Digest:
        root = self._store.root_digest()
        return Digest(self._sender, root, covered=covered)

    def _notice_or_versions(
        self, service: str, notice: ConfigurationNotice | RegistryNotice
    ) -> Notice:
        if size_of(notice) + ENVELOPE_BYTES <= DATAGRAM_BYTES:
            return notice
        return self.reply([self._store.versions(service)])[0]

    def _missing_items(
        self, own: ServiceVersions, other: ServiceVersions
    ) -> list[Item]:
        service = own.service
        items: list[Item] = []
        if own.configuration_version > other.configuration_version:
            items.append(self.configuration_notice(service))
        if own.registry_version > other.registry_version:
            items.append(self.registry_notice(service))
        members = self._store.members(service)
        if own.view_digest != other.view_digest:
            if len(members) <= MAX_PUSHED_MEMBERS:
                items.extend(members)
        return items

    def _is_behind(self, own: ServiceVersions, other: ServiceVersions) -> bool:
        if own.configuration_version < other.configuration_version:
            return True
        if own.registry_version < other.registry_version:
            return True
        count = len(self._store.members(own.service))
        return (
            own.view_digest != other.view_digest and count > MAX_PUSHED_MEMBERS
        )


def _batches(versions: list[ServiceVersions]) -> list[list[ServiceVersions]]:
    room = DATAGRAM_BYTES - 2 * ENVELOPE_BYTES
    batches: list[list[ServiceVersions]] = [[]]
    used = 0
    for each in versions:
        size = size_of(each)
        if batches[-1] and used + size > room:
            batches.append([])
            used = 0
        batches[-1].append(each)
        used += size
    return batches
