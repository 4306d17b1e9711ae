"""Waiting work of one class, and its ageing."""

import math
from collections import OrderedDict
from typing import Final, NamedTuple

from trefoilhaven_core.admission.estimates import WorkClass

# Long work has aged after waiting for this many of its service times.
AGEING_SERVICE_TIMES: Final = 4.0

# Wait after which long work of unknown service time has aged.
UNKNOWN_AGEING_S: Final = 1.0


class Work(NamedTuple):
    """A request that asks for a slot.

    ``declared`` is the work class that the caller declared, empty for none.
    ``deadline`` is monotonic time in seconds.
    """

    token: int
    declared: str = ''
    body_bytes: int = 0
    deadline: float = math.inf


class Entry:
    """Waiting or running work; an expected time of 0 is unknown."""

    __slots__ = ('expected_s', 'queued_at', 'work', 'work_class')

    def __init__(
        self,
        work: Work,
        work_class: WorkClass,
        expected_s: float,
        queued_at: float,
    ) -> None:
        """Describe work that arrived at ``queued_at``; times in seconds."""
        self.work = work
        self.work_class = work_class
        self.expected_s = expected_s
        self.queued_at = queued_at

    def is_late(self, now: float) -> bool:
        """Whether the deadline can't be met any more."""
        return now + self.expected_s >= self.work.deadline

    def has_aged(self, now: float) -> bool:
        """Whether the work has waited long for its service time."""
        limit = self.expected_s * AGEING_SERVICE_TIMES or UNKNOWN_AGEING_S
        return now - self.queued_at >= limit


class Lane:
    """Queue of one work class in order of arrival.

    ``backlog_s`` is the sum of the expected service times.
    """

    __slots__ = ('backlog_s', 'entries')

    def __init__(self) -> None:
        self.entries: OrderedDict[int, Entry] = OrderedDict()
        self.backlog_s = 0.0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def append(self, entry: Entry) -> None:
        """Add an entry at the end."""
        self.entries[entry.work.token] = entry
        self.backlog_s += entry.expected_s

    def head(self) -> Entry | None:
        """Return the oldest entry, or None."""
        return next(iter(self.entries.values()), None)

    def remove(self, token: int) -> Entry | None:
        """Remove and return an entry, or return None."""
        entry = self.entries.pop(token, None)
        if entry is not None:
            self.backlog_s -= entry.expected_s
        if not self.entries:
            # Resets the rounding errors of the sum.
            self.backlog_s = 0.0
        return entry
