"""Bounded ring of a process's events."""

from collections import deque

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)


class EventRing:
    """Keeps the latest events; the oldest is overwritten when full."""

    def __init__(
        self,
        process: str,
        capacity: int = defaults.TIMELINE_EVENTS,
    ) -> None:
        """Start empty; ``capacity`` is a number of events."""
        self.process = process
        self.overwritten = 0
        self._events: deque[TimelineEvent] = deque(maxlen=capacity)

    def add(self, event: TimelineEvent) -> None:
        """Add an event."""
        if len(self._events) == self._events.maxlen:
            self.overwritten += 1
        self._events.append(event)

    def answer(self, request: TimelineRequest) -> TimelineReply:
        """Return the events that a request asks for."""
        found = tuple(
            event for event in self._events if matches(event, request)
        )
        return TimelineReply(self.process, found, self.overwritten)


def matches(event: TimelineEvent, request: TimelineRequest) -> bool:
    """Tell whether an event matches all fields of a request."""
    wanted = (
        (request.service, event.service),
        (request.flow, event.flow),
        (request.request_key, event.request_key),
        (request.host, event.host),
    )
    return event.clock >= request.since and all(
        not asked or asked == found for asked, found in wanted
    )
