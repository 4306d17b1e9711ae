"""Ring buffer of the events of a process."""

from collections import deque

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)


class EventRing:
    """Holds the latest events; a full ring overwrites the oldest."""

    def __init__(
        self,
        process: str,
        capacity: int = defaults.TIMELINE_EVENTS,
    ) -> None:
        self.process = process
        self.overwritten = 0
        self._events: deque[TimelineEvent] = deque(maxlen=capacity)

    def add(self, event: TimelineEvent) -> None:
        """Add an event; overwrite the oldest if the ring is full."""
        if len(self._events) == self._events.maxlen:
            self.overwritten += 1
        self._events.append(event)

    def answer(self, request: TimelineRequest) -> TimelineReply:
        """Return the events that match a request."""
        found = tuple(
            event for event in self._events if matches(event, request)
        )
        return TimelineReply(self.process, found, self.overwritten)


def matches(event: TimelineEvent, request: TimelineRequest) -> bool:
    """Tell whether an event matches all fields of a request."""
    filters = (
        (request.service, event.service),
        (request.flow, event.flow),
        (request.request_key, event.request_key),
        (request.host, event.host),
    )
    return event.clock >= request.since and all(
        not expected or expected == found for expected, found in filters
    )
