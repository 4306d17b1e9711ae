"""Directory of the items in owned buckets that other agents hold."""

from collections.abc import Iterable

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind


class Directory:
    """Entries by bucket and item hash.

    It tells the owner of a bucket which agent holds a flow or the record of
    a request key. Items may only be looked up in owned buckets: entries that
    arrive before an acquisition, or remain after the agent was fenced, may
    be incomplete.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, dict[int, DirectoryEntry]] = {}
        # Items whose entry was recorded by the owner or reported by the
        # holder itself.
        self._confirmed: dict[int, set[int]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(entries) for entries in self._buckets.values())

    def find(self, bucket: int, item: int) -> DirectoryEntry | None:
        """Return the entry of an item, or None if it is unknown."""
        return self._buckets.get(bucket, {}).get(item)

    def put(self, entry: DirectoryEntry) -> None:
        """Add or replace the entry of an item and mark it as confirmed."""
        self._buckets.setdefault(entry.bucket, {})[entry.item] = entry
        self._confirmed.setdefault(entry.bucket, set()).add(entry.item)

    def remove(self, bucket: int, item: int) -> None:
        """Remove the entry of an item if it exists."""
        entries = self._buckets.get(bucket)
        if entries is not None:
            entries.pop(item, None)
            self._confirmed.get(bucket, set()).discard(item)
            if not entries:
                self._buckets.pop(bucket)

    def merge(
        self, entry: DirectoryEntry, source: str, keep_known: bool = False
    ) -> None:
        """Add an entry that an agent reported.

        A higher attempt takes precedence, then a newer incarnation of the
        same holder. Otherwise confirmed entries, which the owner recorded
        or the holder itself reported, take precedence over those recorded
        by an earlier owner. With ``keep_known``, an entry for another holder
        replaces the known one only if that holder itself reports it.
        """
        known = self.find(entry.bucket, entry.item)
        if known is not None and not self._supersedes(
            entry, known, source, keep_known
        ):
            return
        self.put(entry)
        if entry.holder != source:
            self._confirmed[entry.bucket].discard(entry.item)

    def mark_unconfirmed(self, buckets: Iterable[int]) -> None:
        """Let reports that are not older replace entries of some buckets.

        Another agent may have owned the buckets in between and changed the
        entries.
        """
        for bucket in buckets:
            self._confirmed.pop(bucket, None)

    def entries(self, buckets: Iterable[int]) -> list[DirectoryEntry]:
        """Return all entries of some buckets."""
        return [
            entry
            for bucket in buckets
            for entry in self._buckets.get(bucket, {}).values()
        ]

    def holders(self) -> set[str]:
        """Return the names of all holders of flows."""
        return {
            entry.holder
            for entries in self._buckets.values()
            for entry in entries.values()
            if entry.kind is ItemKind.flow
        }

    def remove_buckets(self, buckets: Iterable[int]) -> None:
        """Remove all entries of some buckets."""
        for bucket in buckets:
            self._buckets.pop(bucket, None)
            self._confirmed.pop(bucket, None)

    def mark_holder_lost(self, holder: str, incarnation: int) -> None:
        """Handle the loss of all items of a holder up to an incarnation.

        Its flows are removed. Its request keys become ``unknown``, since the
        requests may have run. Refusals are kept, because they are permanent.
        """
        lost = [
            entry
            for entry in self.entries(tuple(self._buckets))
            if entry.holder == holder
            and entry.holder_incarnation <= incarnation
        ]
        for entry in lost:
            if entry.kind is ItemKind.flow:
                self.remove(entry.bucket, entry.item)
            elif entry.kind is not ItemKind.refused:
                self.put(entry._replace(kind=ItemKind.unknown))

    def expire(self, issued_before: float) -> None:
        """Remove the keys of requests that were issued before a Unix time.

        Requests that old get the outcome unknown even without an entry.
        """
        for entry in self.entries(tuple(self._buckets)):
            is_request = entry.kind is not ItemKind.flow
            if is_request and entry.issued_at < issued_before:
                self.remove(entry.bucket, entry.item)

    def _supersedes(
        self,
        entry: DirectoryEntry,
        known: DirectoryEntry,
        source: str,
        keep_known: bool,
    ) -> bool:
        if entry.attempt != known.attempt:
            return entry.attempt > known.attempt
        is_own = entry.holder == source
        is_confirmed = entry.item in self._confirmed.get(entry.bucket, set())
        if entry.holder != known.holder:
            return not is_confirmed and (is_own or not keep_known)
        if entry.holder_incarnation != known.holder_incarnation:
            return entry.holder_incarnation > known.holder_incarnation
        return is_own or not is_confirmed


def exclude_own(
    entries: Iterable[DirectoryEntry],
    holder: str,
    incarnation: int,
) -> list[DirectoryEntry]:
    """Return the entries that an agent needs in addition to its records.

    These include request keys held by its earlier incarnations, because
    their records are lost.
    """
    return [
        entry
        for entry in entries
        if entry.holder != holder
        or (
            entry.holder_incarnation < incarnation
            and entry.kind is not ItemKind.flow
        )
    ]
