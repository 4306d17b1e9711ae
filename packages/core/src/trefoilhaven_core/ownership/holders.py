"""Siblings whose items are unknown or lost."""

import sys
from typing import Final

from trefoilhaven_core.ownership.buckets import BucketState
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.siblings import Siblings

# A sibling that was dead for this time has lost its flows, in seconds. A
# paused target that wakes earlier keeps them.
HOLDER_LOST_TIMEOUT_S: Final = 10

# Dead siblings are looked for once in this time, in seconds.
DEAD_CHECK_INTERVAL_S: Final = 1.0


class HolderTracker:
    """What an agent knows about the items that its siblings hold.

    An owner that acquired a bucket by fencing a sibling does not know what
    that sibling holds. It asks again when the sibling answers, and gives up
    when the sibling was dead for long or left the registry.
    """

    def __init__(
        self,
        states: list[BucketState],
        directory: Directory,
        siblings: Siblings,
    ) -> None:
        """Work on the bucket states and the directory of an agent."""
        self._states = states
        self._directory = directory
        self._siblings = siblings
        self._incomplete: set[int] = set()
        self._checked_at = float('-inf')
        self._unknown_since: dict[str, float] = {}

    def set_unreported(self, bucket: int, missing: set[str]) -> None:
        """Note whose items of an acquired bucket are unknown."""
        self._states[bucket].unreported = missing
        if missing:
            self._incomplete.add(bucket)

    def unreported_buckets(self, sibling: str) -> list[int]:
        """Return the owned buckets in which a sibling's items are missing."""
        return [
            bucket
            for bucket in self._incomplete
            if sibling in self._states[bucket].unreported
        ]

    def refresh(self) -> None:
        """Leave out buckets that are complete or not owned any more."""
        self._incomplete = {
            bucket
            for bucket in self._incomplete
            if self._states[bucket].unreported
        }

    def drop_long_dead(self, now: float) -> None:
        """Forget what was held by siblings that are dead for a long time."""
        if now - self._checked_at < DEAD_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for sibling in self._siblings.names:
            is_gone = self._siblings.is_dead_or_left(sibling)
            silent_s = self._siblings.silent_s(now, sibling)
            if is_gone and silent_s >= HOLDER_LOST_TIMEOUT_S:
                incarnation = self._siblings.incarnation_of(sibling)
                self.mark_holder_lost(sibling, incarnation)
        self._drop_unknown(now)

    def drop_departed(self) -> None:
        """Forget what members held that left the registry."""
        for departed in self._siblings.departed:
            self.mark_holder_lost(departed, sys.maxsize)

    def mark_holder_lost(self, target: str, incarnation: int) -> None:
        """Forget what a target held up to an incarnation."""
        self._directory.mark_holder_lost(target, incarnation)
        for bucket in self._incomplete:
            self._states[bucket].unreported.discard(target)
        self.refresh()

    def _drop_unknown(self, now: float) -> None:
        """Forget what is held by names that no registry version lists.

        Such a holder joined or left in a version that only the former
        owner has seen.
        """
        unknown = self._directory.holders().difference(self._siblings.names)
        self._unknown_since = {
            holder: self._unknown_since.get(holder, now) for holder in unknown
        }
        for holder, since in self._unknown_since.items():
            if now - since >= HOLDER_LOST_TIMEOUT_S:
                self.mark_holder_lost(holder, sys.maxsize)
