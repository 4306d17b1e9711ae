"""Open and recently closed connections of one target, and its load."""

from collections.abc import Iterator
from typing import Final

from trefoilhaven_core.connections.load_counts import LoadCounts
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    ConnectionLoad,
    Segment,
    SegmentFlag,
)
from trefoilhaven_core.connections.response_outliers import (
    ResponseOutlierDetector,
)
from trefoilhaven_core.connections.service_times import ServiceTimeEstimator
from trefoilhaven_core.connections.tracked_connections import (
    TrackedConnection,
)
from trefoilhaven_core.membership.messages import Address

# Time for which closed connections are kept for delayed duplicates of their
# segments, in seconds.
CLOSED_RETENTION_S: Final = 10.0


class ConnectionTable:
    """Connections by key, with running counts of the target's load.

    Connections without a segment for ``idle_timeout_s`` seconds expire.
    """

    def __init__(self, idle_timeout_s: float) -> None:
        self._connections: dict[ConnectionKey, TrackedConnection] = {}
        self._counts = LoadCounts()
        self._idle_timeout_s = idle_timeout_s
        self._outliers = ResponseOutlierDetector()
        self._service_times = ServiceTimeEstimator()

    def __len__(self) -> int:
        """Return the number of connections, including closed ones."""
        return len(self._connections)

    def get(self, key: ConnectionKey) -> TrackedConnection | None:
        """Return a connection, None if it is unknown."""
        return self._connections.get(key)

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the target works on at a time."""
        self._service_times.slots = max(1, slots)

    def add(
        self,
        now: float,
        key: ConnectionKey,
        balancer: Address | None,
        *,
        is_probed: bool = False,
    ) -> TrackedConnection:
        """Add a connection that is not in the table.

        One that is known only by a probe is no load before its target has
        sent a segment.
        """
        entry = TrackedConnection(now, balancer)
        self._connections[key] = entry
        if not is_probed:
            self._counts.count(entry)
        return entry

    def add_opening(
        self, now: float, segment: Segment, balancer: Address
    ) -> None:
        """Add the connection of an opening segment.

        An open one from the same port stays until the target accepts the new
        one, since the opening segment may be late.
        """
        entry = self.get(segment.key)
        if entry is not None and entry.is_open and entry.closed_at is None:
            entry.balancer = balancer
            return
        self.remove(now, segment.key)
        entry = self.add(now, segment.key, balancer)
        entry.opening_sequence = segment.sequence

    def remove(
        self, now: float, key: ConnectionKey
    ) -> TrackedConnection | None:
        """Remove and return a connection, None if it is unknown."""
        entry = self._connections.pop(key, None)
        if entry is not None:
            self._end(now, entry)
        return entry

    def clear(self) -> None:
        """Remove all connections of a target that has ended.

        The learned responses stay: a failing target may also restart
        repeatedly.
        """
        self._connections.clear()
        self._counts.clear()
        self._service_times.clear()

    def open_items(self) -> Iterator[tuple[ConnectionKey, TrackedConnection]]:
        """Return the connections that are not closed."""
        return (
            (key, entry)
            for key, entry in self._connections.items()
            if entry.closed_at is None
        )

    def load(self, now: float) -> ConnectionLoad:
        """Return the target's load."""
        return ConnectionLoad(
            self._counts.connections(now),
            self._counts.waiting(now),
            self._service_times.estimate_s(),
            round(self._outliers.odd_share(now), 2),
        )

    def on_client(
        self, now: float, entry: TrackedConnection, segment: Segment
    ) -> None:
        """Update a connection by a segment of its client."""
        entry.seen_at = now
        if not segment.is_opening:
            entry.is_open = True
            entry.acknowledged = segment.acknowledged
        if segment.length and entry.takes_new_data(segment):
            entry.request = segment.raw
            if entry.requested_at is None or entry.is_abandoned:
                entry.requested_at = now
                self._service_times.on_aborted(now, entry)
                self._service_times.on_request(now, entry)
                self._counts.on_request(entry)
        self._counts.on_client(entry)
        if segment.flags & SegmentFlag.reset:
            self._close(now, entry)
        elif segment.flags & SegmentFlag.last:
            entry.client_closed = True
            if entry.target_closed:
                self._close(now, entry)

    def on_target(
        self, now: float, entry: TrackedConnection, segment: Segment
    ) -> None:
        """Update a connection by a segment of the target."""
        entry.seen_at = now
        self._counts.count(entry)
        entry.extend_window(segment)
        if segment.length:
            self._on_response(now, entry, segment.length)
        if segment.flags & SegmentFlag.reset:
            if entry.requested_at is not None:
                self._outliers.on_request_aborted(now)
            self._close(now, entry)
        elif segment.flags & SegmentFlag.last:
            entry.target_closed = True
            if entry.client_closed:
                self._close(now, entry)

    def forget(self, now: float) -> None:
        """Remove expired closed and idle connections."""
        expired = [
            key
            for key, entry in self._connections.items()
            if self._is_expired(now, entry)
        ]
        for key in expired:
            self.remove(now, key)

    def _on_response(
        self, now: float, entry: TrackedConnection, first_bytes: int
    ) -> None:
        if entry.requested_at is None:
            return
        taken_s = now - entry.requested_at
        entry.request = None
        entry.requested_at = None
        self._counts.on_response(entry)
        is_odd = self._outliers.on_response(now, taken_s, first_bytes)
        self._service_times.on_response(now, entry, is_odd=is_odd)

    def _close(self, now: float, entry: TrackedConnection) -> None:
        if entry.closed_at is None:
            self._end(now, entry)
            entry.closed_at = now

    def _end(self, now: float, entry: TrackedConnection) -> None:
        """Remove a connection from the counts."""
        self._service_times.on_aborted(now, entry)
        self._counts.remove(entry)
        entry.request = None
        entry.requested_at = None

    def _is_expired(self, now: float, entry: TrackedConnection) -> bool:
        if entry.closed_at is not None:
            return now - entry.closed_at >= CLOSED_RETENTION_S
        return now - entry.seen_at >= self._idle_timeout_s
