"""Directory of the items of owned buckets that other agents hold."""

from collections.abc import Iterable

from trefoilhaven_core.ownership.messages import DirectoryEntry


class Directory:
    """Entries by bucket and item hash.

    The owner of a bucket finds here which agent holds a flow or the record
    of a request key. Entries of buckets that the agent does not own are
    never kept.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._buckets: dict[int, dict[int, DirectoryEntry]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(entries) for entries in self._buckets.values())

    def find(self, bucket: int, item: int) -> DirectoryEntry | None:
        """Return the entry of an item, or None when it is unknown."""
        return self._buckets.get(bucket, {}).get(item)

    def note(self, entry: DirectoryEntry) -> None:
        """Add an entry or replace the earlier one of the same item."""
        self._buckets.setdefault(entry.bucket, {})[entry.item] = entry

    def forget(self, bucket: int, item: int) -> None:
        """Remove the entry of an item if there is one."""
        entries = self._buckets.get(bucket)
        if entries is not None:
            entries.pop(item, None)
            if not entries:
                self._buckets.pop(bucket)

    def merge(self, entries: Iterable[DirectoryEntry], source: str) -> None:
        """Add the entries that an agent reported.

        The higher attempt wins. At equal attempts the report of the holder
        itself wins over what an earlier owner noted about it.
        """
        for entry in entries:
            known = self.find(entry.bucket, entry.item)
            if known is None or _supersedes(entry, known, source):
                self.note(entry)

    def entries(self, buckets: Iterable[int]) -> list[DirectoryEntry]:
        """Return all entries of some buckets."""
        return [
            entry
            for bucket in buckets
            for entry in self._buckets.get(bucket, {}).values()
        ]

    def drop(self, buckets: Iterable[int]) -> None:
        """Remove all entries of some buckets."""
        for bucket in buckets:
            self._buckets.pop(bucket, None)

    def drop_holder(self, holder: str, incarnation: int) -> int:
        """Remove the entries of a holder up to an incarnation.

        Returns the number of removed entries.
        """
        lost = [
            entry
            for entry in self.entries(tuple(self._buckets))
            if entry.holder == holder
            and entry.holder_incarnation <= incarnation
        ]
        for entry in lost:
            self.forget(entry.bucket, entry.item)
        return len(lost)


def without_holder(
    entries: Iterable[DirectoryEntry],
    holder: str,
) -> list[DirectoryEntry]:
    """Return the entries that another agent than the holder holds."""
    return [entry for entry in entries if entry.holder != holder]


def _supersedes(
    entry: DirectoryEntry,
    known: DirectoryEntry,
    source: str,
) -> bool:
    if entry.attempt != known.attempt:
        return entry.attempt > known.attempt
    return entry.holder == source or known.holder != source
