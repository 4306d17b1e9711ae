"""Segments that wait until the holder of their connection is known."""

from collections import deque
from typing import Final

from trefoilhaven_core.connections.effects import (
    DropCause,
    DropSegment,
    Effect,
)
from trefoilhaven_core.connections.messages import Segment
from trefoilhaven_core.connections.tracked_connections import (
    is_acknowledged_near,
)

# Segments queued for one search; a client has up to 16 in flight.
MAX_QUEUED_SEGMENTS: Final = 16


class SegmentQueue:
    """Segments of one connection, from the first one of a search on."""

    def __init__(self, segment: Segment) -> None:
        self._segments: deque[Segment] = deque(
            [segment], maxlen=MAX_QUEUED_SEGMENTS
        )

    @property
    def first(self) -> Segment:
        """The segment that started the search."""
        return self._segments[0]

    @property
    def latest(self) -> Segment:
        """The segment that was added last."""
        return self._segments[-1]

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Segments queued until the holder is known."""
        return tuple(self._segments)

    def add(self, segment: Segment) -> list[Effect]:
        """Queue a segment; drop it if the queue is full."""
        if len(self._segments) == MAX_QUEUED_SEGMENTS:
            return [DropSegment(segment, DropCause.queue_full)]
        self._segments.append(segment)
        return []

    def is_same_connection(self, segment: Segment) -> bool:
        """Return whether a segment continues the connection searched for.

        The client may have opened another one on the same port, whose
        acknowledgement numbers are elsewhere.
        """
        first = self._segments[0]
        return is_acknowledged_near(segment.acknowledged, first.acknowledged)
