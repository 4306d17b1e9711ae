"""Counts of the connections that are load of a target.

A connection whose client has given up often ends without a segment, and
stays in the table until it expires. It must not distort the choice among
targets meanwhile.
"""

from collections import OrderedDict
from typing import Final

from trefoilhaven_core.connections.tracked_connections import (
    TrackedConnection,
)

# A request that is unanswered for longer than this, in seconds, has been
# given up by its client: it is beyond the time that callers usually wait for
# the first byte of a response.
ABANDONED_AFTER_S: Final = 5.0

# A connection without a segment for this time, in seconds, is no load. The
# usual limit of the targets for idle connections is the same.
IDLE_AFTER_S: Final = 15.0


class LoadCounts:
    """Connections and requests that are load of a target.

    Both are kept in the order of their latest segment or their request, so
    that a count removes what is too old from the front. Times are monotonic,
    in seconds.
    """

    def __init__(self) -> None:
        self._active: OrderedDict[TrackedConnection, None] = OrderedDict()
        self._waiting: OrderedDict[TrackedConnection, None] = OrderedDict()

    def connections(self, now: float) -> int:
        """Return the number of connections that are load."""
        self._remove_abandoned(now)
        while self._active:
            entry = next(iter(self._active))
            if now - entry.seen_at < IDLE_AFTER_S:
                break
            self._active.popitem(last=False)
        return len(self._active)

    def waiting(self, now: float) -> int:
        """Return the number of connections with a request in progress."""
        self._remove_abandoned(now)
        return len(self._waiting)

    def count(self, entry: TrackedConnection) -> None:
        """Count a connection that the target takes or has sent a segment of.

        One that is known only by a probe does not count before: a target
        that is overloaded refuses probes late.
        """
        entry.is_counted = True
        entry.is_abandoned = False
        self._touch(entry)

    def on_client(self, entry: TrackedConnection) -> None:
        """Count a connection whose client has sent a segment.

        A repetition of an abandoned request changes nothing.
        """
        if entry.is_counted and not entry.is_abandoned:
            self._touch(entry)

    def on_request(self, entry: TrackedConnection) -> None:
        """Count new data of the client as a request."""
        entry.is_abandoned = False
        if entry.is_counted and entry.closed_at is None:
            self._waiting[entry] = None

    def on_response(self, entry: TrackedConnection) -> None:
        """End the request of a connection."""
        self._waiting.pop(entry, None)

    def remove(self, entry: TrackedConnection) -> None:
        """Remove a connection that is closed or forgotten."""
        self._active.pop(entry, None)
        self._waiting.pop(entry, None)

    def clear(self) -> None:
        """Remove all connections."""
        self._active.clear()
        self._waiting.clear()

    def _touch(self, entry: TrackedConnection) -> None:
        if entry.closed_at is not None:
            return
        self._active[entry] = None
        self._active.move_to_end(entry)

    def _remove_abandoned(self, now: float) -> None:
        while self._waiting:
            entry = next(iter(self._waiting))
            requested_at = entry.requested_at
            if requested_at is None or now - requested_at < ABANDONED_AFTER_S:
                break
            entry.is_abandoned = True
            self.remove(entry)
