"""Table of refused attempts, more compact than request records."""

from collections.abc import Iterator
from typing import Final, NamedTuple

# Four times as many as request records: a refusal needs far less memory,
# and a full record table must still be able to refuse.
MAX_REFUSALS: Final = 40_000


class Refusal:
    """The highest refused attempts of a key, 0 for none.

    The owner refused the attempts up to ``final_attempt``; no agent runs
    them. Those up to ``placement_attempt`` were refused as placements: they
    never run on this agent, but the owner may place them on another one.
    The retention starts at ``retention_start``, Unix time in seconds.
    """

    __slots__ = ('final_attempt', 'placement_attempt', 'retention_start')

    def __init__(self) -> None:
        self.final_attempt = 0
        self.placement_attempt = 0
        self.retention_start = 0.0


class KnownRefusal(NamedTuple):
    """A refusal and the hash of its key."""

    key_hash: int
    refusal: Refusal


class RefusalTable:
    """Refusals by key hash, bounded in number."""

    def __init__(self, limit: int = MAX_REFUSALS) -> None:
        """Start empty, for up to ``limit`` keys."""
        self._limit = limit
        self._refusals: dict[int, Refusal] = {}

    def __len__(self) -> int:
        """Return the number of refused keys."""
        return len(self._refusals)

    def __iter__(self) -> Iterator[KnownRefusal]:
        """Iterate over all refusals with their key hashes."""
        for key_hash, refusal in self._refusals.items():
            yield KnownRefusal(key_hash, refusal)

    def final_attempt(self, key_hash: int) -> int:
        """Return the highest attempt that the owner refused, or 0."""
        refusal = self._refusals.get(key_hash)
        return refusal.final_attempt if refusal else 0

    def placement_attempt(self, key_hash: int) -> int:
        """Return the highest attempt refused as a placement, or 0."""
        refusal = self._refusals.get(key_hash)
        return refusal.placement_attempt if refusal else 0

    def add(
        self,
        key_hash: int,
        attempt: int,
        retention_start: float,
        placed: bool,
    ) -> bool:
        """Add a refusal; return False when the table is full."""
        refusal = self._refusals.get(key_hash)
        if refusal is None:
            if len(self._refusals) >= self._limit:
                return False
            refusal = Refusal()
            self._refusals[key_hash] = refusal
        if placed:
            refusal.placement_attempt = max(refusal.placement_attempt, attempt)
        else:
            refusal.final_attempt = max(refusal.final_attempt, attempt)
        refusal.retention_start = max(refusal.retention_start, retention_start)
        return True

    def drop_before(self, oldest: float) -> None:
        """Drop refusals whose retention started before ``oldest``.

        ``oldest`` is Unix time in seconds.
        """
        expired = [
            key_hash
            for key_hash, refusal in self._refusals.items()
            if refusal.retention_start < oldest
        ]
        for key_hash in expired:
            self._refusals.pop(key_hash)
