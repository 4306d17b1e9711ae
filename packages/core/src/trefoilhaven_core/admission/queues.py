"""Admission queue in front of a target's slots.

Short and long work wait in separate lanes. Short work goes first; long work
takes a slot only if another one stays free. Long work that has aged goes
before short work and may also take the last free slot, but never the last
slot that is not busy with long work, unless the target has only one.

Example::

    queue = AdmissionQueue(QueueLimits(slots=2), started_at=now)
    answer = queue.offer(now, Work(token=1))
    queue.finished(later, 1, service_time_s=0.2)
    dispatch = queue.next(later)
"""

import math
from typing import Final, NamedTuple

from trefoilhaven_core.admission.estimates import (
    LONG_BODY_BYTES,
    ServiceEstimates,
    WorkClass,
)
from trefoilhaven_core.admission.lanes import Entry, Lane, Work
from trefoilhaven_core.admission.limits import SojournLimit
from trefoilhaven_core.membership.messages import Load

QUEUE_LIMIT: Final = 64

# Short work is refused when its expected wait exceeds both limits: a time in
# seconds and a number of mean service times. It is not refused while less
# short work waits than there are slots. At a load peak this bounds the queue
# before the measured sojourn time does, so that little work is refused only
# after it has waited.
MAX_WAIT_S: Final = 0.5
MAX_WAIT_SERVICE_TIMES: Final = 4.0

# Factor on the expected wait of long work. Short work overtakes it, so it
# waits longer than the work ahead of it takes.
LONG_WAIT_MARGIN: Final = 2.0

# Minimum retry hint, however short the queue is.
MIN_RETRY_AFTER_S: Final = 0.05

# Share of the queue limit that long work may take. The deadline bounds its
# wait; the share leaves room for short work.
_LONG_SHARE: Final = 0.25


class QueueLimits(NamedTuple):
    """Settings of a queue; ``warm_up_s`` is in seconds."""

    slots: int
    queue_limit: int = QUEUE_LIMIT
    long_body_bytes: int = LONG_BODY_BYTES
    warm_up_s: float = 0


class Started(NamedTuple):
    """The work has a slot and is to start now."""


class Queued(NamedTuple):
    """The work waits; ``wait_s`` is the expected wait in seconds."""

    wait_s: float


class Refused(NamedTuple):
    """The work never starts; callers may retry after ``retry_after_s``."""

    token: int
    reason: str
    retry_after_s: float


class Dispatch(NamedTuple):
    """Work to start now, if any, and work refused as too late."""

    start: Work | None
    refused: tuple[Refused, ...]


class AdmissionQueue:
    """Decides which work starts, waits or is refused.

    A token stays in use from ``offer`` until ``finished``, ``cancel`` or a
    refusal.
    """

    def __init__(self, limits: QueueLimits, started_at: float) -> None:
        """Start empty; the target warms up from ``started_at`` on.

        ``started_at`` is monotonic time in seconds.
        """
        self._limits = limits
        self._started_at = started_at
        self._estimates = ServiceEstimates(limits.long_body_bytes)
        self._lanes = {work_class: Lane() for work_class in WorkClass}
        self._busy: dict[int, Entry] = {}
        self._busy_long = 0
        self._sojourn = SojournLimit(max(2, limits.slots), limits.queue_limit)

    def set_limits(self, limits: QueueLimits) -> None:
        """Change the settings; waiting and running work is kept."""
        self._limits = limits
        self._estimates.set_long_body_bytes(limits.long_body_bytes)
        self._sojourn.set_highest(limits.queue_limit)

    def offer(self, now: float, work: Work) -> Started | Queued | Refused:
        """Start work, queue it or refuse it at once.

        Raises ``ValueError`` for a token that is in use.
        """
        if work.token in self._busy or self._is_queued(work.token):
            raise ValueError(f'token {work.token} is in use')
        work_class = self._estimates.classify(work.declared, work.body_bytes)
        expected_s = self._estimates.expect(
            now,
            work.declared,
            work.body_bytes,
        )
        entry = Entry(work, work_class, expected_s, now)
        wait_s = self._expect_wait(now, work_class)
        if now + wait_s + expected_s >= work.deadline:
            return _refuse(work, 'the deadline can not be met', wait_s)
        if self._may_start_at_once(now, entry):
            self._start(now, entry)
            return Started()
        if self._must_refuse(now, work_class, wait_s):
            return _refuse(work, 'the queue is full', wait_s)
        self._lanes[work_class].append(entry)
        return Queued(wait_s)

    def next(self, now: float) -> Dispatch:
        """Return the work to start now; call again until there is none.

        Call it after each ``finished`` and on each tick, since long work
        ages and a target gains slots while it warms up.
        """
        refused: list[Refused] = []
        while True:
            entry = self._pick(now)
            if entry is None:
                return Dispatch(None, tuple(refused))
            self._lanes[entry.work_class].remove(entry.work.token)
            if entry.is_late(now):
                refused.append(self._refuse_late(now, entry))
                continue
            self._start(now, entry)
            return Dispatch(entry.work, tuple(refused))

    def expire(self, now: float) -> tuple[Refused, ...]:
        """Refuse all waiting work whose deadline can't be met any more."""
        late = [
            entry
            for lane in self._lanes.values()
            for entry in lane.entries.values()
            if entry.is_late(now)
        ]
        for entry in late:
            self._lanes[entry.work_class].remove(entry.work.token)
        return tuple(self._refuse_late(now, entry) for entry in late)

    def finished(
        self,
        now: float,
        token: int,
        service_time_s: float | None,
    ) -> None:
        """Free the slot of started work.

        ``service_time_s`` is None when the work was cut short; it then adds
        no sample. Raises ``KeyError`` for work without a slot.
        """
        entry = self._busy.pop(token)
        if entry.work_class == WorkClass.long:
            self._busy_long -= 1
        if service_time_s is not None:
            work = entry.work
            self._estimates.learn(
                now,
                work.declared,
                work.body_bytes,
                service_time_s,
            )

    def cancel(self, token: int) -> bool:
        """Remove waiting work; return False when it does not wait."""
        return any(lane.remove(token) for lane in self._lanes.values())

    def load(self, now: float, open_flows: int = 0) -> Load:
        """Return the load that heartbeats and answers report."""
        return Load(
            open_flows,
            len(self._busy),
            sum(len(lane) for lane in self._lanes.values()),
            self._expect_wait(now, WorkClass.short),
            self._estimates.mean_of(now, WorkClass.short),
        )

    def _is_queued(self, token: int) -> bool:
        return any(token in lane.entries for lane in self._lanes.values())

    def _warm_up_fraction(self, now: float) -> float:
        warm_up_s = self._limits.warm_up_s
        if warm_up_s <= 0:
            return 1
        return max(0, min(1, (now - self._started_at) / warm_up_s))

    def _slots(self, now: float) -> int:
        return max(
            1, math.ceil(self._limits.slots * self._warm_up_fraction(now))
        )

    def _must_refuse(
        self, now: float, work_class: WorkClass, wait_s: float
    ) -> bool:
        waiting = sum(len(lane) for lane in self._lanes.values())
        if waiting >= self._limits.queue_limit:
            return True
        length = len(self._lanes[work_class])
        slots, warm_up_fraction = self._slots(now), self._warm_up_fraction(now)
        if work_class == WorkClass.long:
            limit = self._limits.queue_limit * _LONG_SHARE
            return length >= max(slots, int(limit * warm_up_fraction))
        if length < slots:
            return False
        mean_s = self._estimates.mean_of(now, work_class)
        longest_s = max(MAX_WAIT_S, MAX_WAIT_SERVICE_TIMES * mean_s)
        limit = int(self._sojourn.length * warm_up_fraction)
        return length >= limit or wait_s > longest_s

    def _expect_wait(self, now: float, work_class: WorkClass) -> float:
        slots = self._slots(now)
        short = self._lanes[WorkClass.short]
        free = slots - len(self._busy)
        if not short.entries and free > 0:
            if work_class == WorkClass.short or free == slots or free > 1:
                return 0
        mean_s = self._estimates.mean_of(now, work_class)
        backlog_s = short.backlog_s
        if work_class == WorkClass.short:
            usable = slots - self._busy_long
        else:
            backlog_s += self._lanes[WorkClass.long].backlog_s
            usable = slots - 1
        wait_s = (backlog_s + mean_s) / max(1, usable)
        return wait_s * (
            1 if work_class == WorkClass.short else LONG_WAIT_MARGIN
        )

    def _may_start_at_once(self, now: float, entry: Entry) -> bool:
        free = self._slots(now) - len(self._busy)
        if free < 1 or self._lanes[WorkClass.short].entries:
            return False
        if entry.work_class == WorkClass.short:
            # Even if long work has aged: it takes the next slot that
            # becomes free.
            return True
        if self._lanes[WorkClass.long].entries:
            return False
        return self._long_may_start(now, entry, free)

    def _pick(self, now: float) -> Entry | None:
        free = self._slots(now) - len(self._busy)
        if free < 1:
            return None
        short = self._lanes[WorkClass.short].head()
        long = self._lanes[WorkClass.long].head()
        if long is None or not self._long_may_start(now, long, free):
            return short
        return long if short is None or long.has_aged(now) else short

    def _long_may_start(self, now: float, entry: Entry, free: int) -> bool:
        slots = self._slots(now)
        if slots == 1 or free > 1:
            return True
        return entry.has_aged(now) and self._busy_long < slots - 1

    def _start(self, now: float, entry: Entry) -> None:
        self._busy[entry.work.token] = entry
        if entry.work_class == WorkClass.long:
            self._busy_long += 1
        else:
            self._sojourn.on_start(now, now - entry.queued_at)

    def _refuse_late(self, now: float, entry: Entry) -> Refused:
        wait_s = self._expect_wait(now, entry.work_class)
        return _refuse(entry.work, 'the deadline can not be met', wait_s)


def _refuse(work: Work, reason: str, wait_s: float) -> Refused:
    return Refused(work.token, reason, max(MIN_RETRY_AFTER_S, wait_s))
