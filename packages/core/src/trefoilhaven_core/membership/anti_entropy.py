"""Comparison of what two balancers know, by digests in three steps.

A digest of everything goes out first. When it differs, the digests of 64
groups follow, then the versions of the services in groups that
differ, and then the records themselves.
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

# Views with more members are fetched instead of pushed in datagrams.
MAX_PUSHED_MEMBERS: Final = 32


class Difference(NamedTuple):
    """Outcome of a comparison with a peer's versions.

    ``push`` is for the peer, ``pull`` names services whose state the peer
    has newer, and ``versions`` are the own versions of all services that
    differ.
    """

    push: tuple[Item, ...]
    pull: tuple[str, ...]
    versions: tuple[ServiceVersions, ...]


class AntiEntropy:
    """Answers what differs between the own records and a peer's versions."""

    def __init__(self, sender: str, store: ViewStore) -> None:
        """Compare the records of ``store``."""
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
        """Return the versions of each of some small groups."""
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
        """Return the records of the balancers of some groups."""
        wanted = set(groups)
        return tuple(
            record
            for record in self._store.balancers
            if group_of(record.name) in wanted
        )

    def compare(
        self, versions: Iterable[ServiceVersions], covered: Iterable[int]
    ) -> Difference:
        """Return what each side lacks, by a peer's versions.

        Services of the covered groups that ``versions`` does not list are
        unknown to the peer.
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
        """Return a configuration, or its versions when it is too large."""
        notice = ConfigurationNotice(
            self._sender, *self._store.configuration(service)
        )
        return self._notice_or_versions(service, notice)

    def registry_notice(self, service: str) -> Notice:
        """Return registered members, or versions when too many."""
        notice = RegistryNotice(self._sender, *self._store.registry(service))
        return self._notice_or_versions(service, notice)

    def reply(self, versions: Iterable[ServiceVersions]) -> list[Digest]:
        """Return versions that need no answer, split into datagrams."""
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
