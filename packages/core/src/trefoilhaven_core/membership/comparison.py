"""Comparison of what two balancers know, by digests in three steps.

A digest of everything goes out first. When it differs, the digests of 64
groups follow, then the version marks of the services in groups that
differ, and then the records themselves.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    ConfigurationNotice,
    Digest,
    RegistryNotice,
    VersionMark,
)
from trefoilhaven_core.membership.records import group_of
from trefoilhaven_core.membership.rumours import (
    DATAGRAM_BYTES,
    ENVELOPE_BYTES,
    Item,
    Notice,
    size_of,
)
from trefoilhaven_core.membership.views import ViewStore

# Views with more members are fetched instead of pushed in datagrams.
MAX_PUSHED_MEMBERS: Final = 32


class Difference(NamedTuple):
    """Outcome of a comparison with a peer's marks.

    ``push`` is for the peer, ``pull`` names services whose state the peer
    has newer, and ``marks`` are the own marks of all services that differ.
    """

    push: tuple[Item, ...]
    pull: tuple[str, ...]
    marks: tuple[VersionMark, ...]


class Comparison:
    """Answers what differs between the own records and a peer's marks."""

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

    def is_small(self, groups: Iterable[int]) -> bool:
        """Return whether each group's marks fit one datagram."""
        marks = self._marks_by_group(groups)
        return all(len(_batches(group)) == 1 for group in marks.values())

    def describe(self, groups: Iterable[int]) -> list[Digest]:
        """Return the marks of each of some small groups."""
        marks: dict[int, list[VersionMark]] = {number: [] for number in groups}
        for service in self._store.services:
            number = group_of(service)
            if number in marks:
                marks[number].append(self._store.mark(service))
        return [
            self._digest((number,))._replace(
                marks=tuple(group_marks), is_reply=True
            )
            for number, group_marks in marks.items()
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
        self, marks: Iterable[VersionMark], covered: Iterable[int]
    ) -> Difference:
        """Return what each side lacks, by a peer's marks.

        Services of the covered groups that ``marks`` does not list are
        unknown to the peer.
        """
        listed = {mark.service: mark for mark in marks}
        wanted = set(covered)
        for service in self._store.services:
            if service not in listed and group_of(service) in wanted:
                listed[service] = VersionMark(service, 0, 0, 0)
        push: list[Item] = []
        pull = []
        differing = []
        for service, other in listed.items():
            own = self._store.mark(service)
            if own == other:
                continue
            differing.append(own)
            push.extend(self._lacking(own, other))
            if self._is_behind(own, other):
                pull.append(service)
        return Difference(tuple(push), tuple(pull), tuple(differing))

    def notice_of_configuration(self, service: str) -> Notice:
        """Return a configuration, or its mark when it is too large."""
        notice = ConfigurationNotice(
            self._sender, *self._store.configuration(service)
        )
        return self._fitting(service, notice)

    def notice_of_registry(self, service: str) -> Notice:
        """Return registered members, or the mark when they are too many."""
        notice = RegistryNotice(self._sender, *self._store.registry(service))
        return self._fitting(service, notice)

    def reply(self, marks: Iterable[VersionMark]) -> list[Digest]:
        """Return marks that need no answer, split into datagrams."""
        return [
            self._digest(())._replace(marks=tuple(batch), is_reply=True)
            for batch in _batches(list(marks))
        ]

    def _marks_by_group(
        self, groups: Iterable[int]
    ) -> dict[int, list[VersionMark]]:
        marks: dict[int, list[VersionMark]] = {number: [] for number in groups}
        for service in self._store.services:
            number = group_of(service)
            if number in marks:
                marks[number].append(self._store.mark(service))
        return marks

    def _digest(self, covered: tuple[int, ...]) -> Digest:
        root = self._store.root_digest()
        return Digest(self._sender, root, covered=covered)

    def _fitting(
        self, service: str, notice: ConfigurationNotice | RegistryNotice
    ) -> Notice:
        if size_of(notice) + ENVELOPE_BYTES <= DATAGRAM_BYTES:
            return notice
        return self.reply([self._store.mark(service)])[0]

    def _lacking(self, own: VersionMark, other: VersionMark) -> list[Item]:
        service = own.service
        items: list[Item] = []
        if own.configuration_version > other.configuration_version:
            items.append(self.notice_of_configuration(service))
        if own.registry_version > other.registry_version:
            items.append(self.notice_of_registry(service))
        members = self._store.members(service)
        if own.view_digest != other.view_digest:
            if len(members) <= MAX_PUSHED_MEMBERS:
                items.extend(members)
        return items

    def _is_behind(self, own: VersionMark, other: VersionMark) -> bool:
        if own.configuration_version < other.configuration_version:
            return True
        if own.registry_version < other.registry_version:
            return True
        count = len(self._store.members(own.service))
        return (
            own.view_digest != other.view_digest and count > MAX_PUSHED_MEMBERS
        )


def _batches(marks: list[VersionMark]) -> list[list[VersionMark]]:
    room = DATAGRAM_BYTES - 2 * ENVELOPE_BYTES
    batches: list[list[VersionMark]] = [[]]
    used = 0
    for mark in marks:
        size = size_of(mark)
        if batches[-1] and used + size > room:
            batches.append([])
            used = 0
        batches[-1].append(mark)
        used += size
    return batches
