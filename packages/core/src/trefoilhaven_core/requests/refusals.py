"""Refused attempts, in a smaller form than request records."""

from collections.abc import Iterator
from typing import Final, NamedTuple

# Four times as many as request records: a refusal needs far less memory,
# and a full record table must still be able to refuse.
MAX_REFUSALS: Final = 40_000


class Refusal:
    """The highest refused attempts of a key, 0 for none.

    The owner's refusal is ``final``: no agent runs the attempt. A refused
    placement (``placed``) only means that it never runs on this agent; the
    owner may place the attempt on another one. ``retention_start`` is the Unix
    time in seconds at which the retention starts.
    """

    __slots__ = ('final_attempt', 'placement_attempt', 'retention_start')

    def __init__(self) -> None:
        """Start without refused attempts."""
        self.final_attempt = 0
        self.placement_attempt = 0
        self.retention_start = 0.0


class KnownRefusal(NamedTuple):
    """A refusal with its key hash."""

    key_hash: int
    refusal: Refusal


class RefusalTable:
    """Refusals by key hash."""

    def __init__(self, limit: int = MAX_REFUSALS) -> None:
        """Start empty, for up to ``limit`` keys."""
        self._limit = limit
        self._refusals: dict[int, Refusal] = {}

    def __len__(self) -> int:
        """Return the number of refused keys."""
        return len(self._refusals)

    def __iter__(self) -> Iterator[KnownRefusal]:
        """Iterate over all refusals."""
        for key_hash, refusal in self._refusals.items():
            yield KnownRefusal(key_hash, refusal)

    def final_attempt(self, key_hash: int) -> int:
        """Return the highest attempt of a key that the owner refused."""
        refusal = self._refusals.get(key_hash)
        return refusal.final_attempt if refusal else 0

    def placement_attempt(self, key_hash: int) -> int:
        """Return the highest attempt that was refused as a placement."""
        refusal = self._refusals.get(key_hash)
        return refusal.placement_attempt if refusal else 0

    def add(
        self,
        key_hash: int,
        attempt: int,
        retention_start: float,
        placed: bool,
    ) -> bool:
        """Note a refusal; False when the table has no room for it."""
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
        """Drop the refusals whose retention started before a Unix time."""
        expired = [
            key_hash
            for key_hash, refusal in self._refusals.items()
            if refusal.retention_start < oldest
        ]
        for key_hash in expired:
            self._refusals.pop(key_hash)
