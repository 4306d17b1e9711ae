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
    owner may place the attempt on another one. ``keep_from`` is the Unix
    time in seconds at which the retention starts.
    """

    __slots__ = ('final', 'keep_from', 'placed')

    def __init__(self) -> None:
        """Start without refused attempts."""
        self.final = 0
        self.placed = 0
        self.keep_from = 0.0


class KnownRefusal(NamedTuple):
    """A refusal with its key hash."""

    item: int
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
        for item, refusal in self._refusals.items():
            yield KnownRefusal(item, refusal)

    def final(self, item: int) -> int:
        """Return the highest attempt of a key that the owner refused."""
        refusal = self._refusals.get(item)
        return refusal.final if refusal else 0

    def placed(self, item: int) -> int:
        """Return the highest attempt that was refused as a placement."""
        refusal = self._refusals.get(item)
        return refusal.placed if refusal else 0

    def remember(
        self,
        item: int,
        attempt: int,
        keep_from: float,
        placed: bool,
    ) -> bool:
        """Note a refusal; False when the table has no room for it."""
        refusal = self._refusals.get(item)
        if refusal is None:
            if len(self._refusals) >= self._limit:
                return False
            refusal = Refusal()
            self._refusals[item] = refusal
        if placed:
            refusal.placed = max(refusal.placed, attempt)
        else:
            refusal.final = max(refusal.final, attempt)
        refusal.keep_from = max(refusal.keep_from, keep_from)
        return True

    def drop_before(self, oldest: float) -> None:
        """Drop the refusals whose retention started before a Unix time."""
        expired = [
            item
            for item, refusal in self._refusals.items()
            if refusal.keep_from < oldest
        ]
        for item in expired:
            self._refusals.pop(item)
