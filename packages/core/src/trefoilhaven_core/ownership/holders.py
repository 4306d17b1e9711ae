"""Tracking of siblings whose items are unknown or lost."""

import sys
from typing import Final

from trefoilhaven_core.ownership.buckets import BucketState
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.siblings import Siblings

# Time in seconds after which the flows of a dead sibling count as lost and its
# request keys become unknown. A paused target that resumes earlier keeps its
# flows.
HOLDER_LOST_TIMEOUT_S: Final = 10

# Interval at which dead siblings are checked, in seconds.
DEAD_CHECK_INTERVAL_S: Final = 1.0


class HolderTracker:
    """Tracks buckets for which a fenced sibling has not reported its items.

    An owner that acquired a bucket by fencing a sibling does not know which
    items that sibling holds. It asks again once the sibling is alive, and
    gives up once the sibling has been dead for ``HOLDER_LOST_TIMEOUT_S`` or
    has left the registry.
    """

    def __init__(
        self,
        states: list[BucketState],
        directory: Directory,
        siblings: Siblings,
    ) -> None:
        self._states = states
        self._directory = directory
        self._siblings = siblings
        self._incomplete: set[int] = set()
        self._checked_at = float('-inf')
        self._unknown_since: dict[str, float] = {}

    def set_unreported(self, bucket: int, siblings: set[str]) -> None:
        """Record whose items of an acquired bucket are unknown."""
        self._states[bucket].unreported = siblings
        if siblings:
            self._incomplete.add(bucket)

    def unreported_buckets(self, sibling: str) -> list[int]:
        """Return owned buckets for which a sibling has not reported items."""
        return [
            bucket
            for bucket in self._incomplete
            if sibling in self._states[bucket].unreported
        ]

    def refresh(self) -> None:
        """Remove buckets that are complete or no longer owned."""
        self._incomplete = {
            bucket
            for bucket in self._incomplete
            if self._states[bucket].unreported
        }

    def drop_long_dead(self, now: float) -> None:
        """Mark items of siblings that were dead for the timeout as lost.

        Does nothing within ``DEAD_CHECK_INTERVAL_S`` of the last check.
        """
        if now - self._checked_at < DEAD_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for sibling in self._siblings.names:
            is_dead = self._siblings.is_dead_or_left(sibling)
            silent_s = self._siblings.silent_s(now, sibling)
            if is_dead and silent_s >= HOLDER_LOST_TIMEOUT_S:
                incarnation = self._siblings.incarnation_of(sibling)
                self.mark_holder_lost(sibling, incarnation)
        self._drop_unknown(now)

    def drop_departed(self) -> None:
        """Mark items of members that have left the registry as lost."""
        for departed in self._siblings.departed:
            self.mark_holder_lost(departed, sys.maxsize)

    def mark_holder_lost(self, target: str, incarnation: int) -> None:
        """Mark the items that a target held up to an incarnation as lost."""
        self._directory.mark_holder_lost(target, incarnation)
        for bucket in self._incomplete:
            self._states[bucket].unreported.discard(target)
        self.refresh()

    def _drop_unknown(self, now: float) -> None:
        """Mark items of holders that the registry does not list as lost.

        Such a holder joined or left in a registry version that only the
        former owner has seen.
        """
        unknown = self._directory.holders().difference(self._siblings.names)
        self._unknown_since = {
            holder: self._unknown_since.get(holder, now) for holder in unknown
        }
        for holder, since in self._unknown_since.items():
            if now - since >= HOLDER_LOST_TIMEOUT_S:
                self.mark_holder_lost(holder, sys.maxsize)
