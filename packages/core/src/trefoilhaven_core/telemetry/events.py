"""Named events inside a process.

Slices publish what happened; the timeline ring, the metrics and others
subscribe. Events are for changes of state, never one for each packet.
"""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from reactivex.abc import DisposableBase
    from reactivex.subject import Subject

from trefoilhaven_core.telemetry.metrics import Metrics
from trefoilhaven_core.timeline.clocks import HybridClock
from trefoilhaven_core.timeline.messages import TimelineEvent
from trefoilhaven_core.timeline.rings import EventRing

logger = logging.getLogger(__name__)

# Events that are kept until the first subscription.
MAX_BUFFERED_EVENTS: Final = 256


class ProcessEvent(NamedTuple):
    """Something that happened; fields that do not apply are empty."""

    kind: str
    service: str = ''
    flow: str = ''
    request_key: str = ''
    host: str = ''
    detail: str = ''


Handler = Callable[[ProcessEvent], None]


class EventStream:
    """Delivers events to the subscribers in the publisher's task.

    ``reactivex`` is imported with the first subscription, since it takes
    a tenth of the time until a process on a small host is up. Events from
    before are kept for ``replay``.
    """

    def __init__(self) -> None:
        """Start without subscribers."""
        self._subject: Subject[ProcessEvent] | None = None
        self._buffered: list[ProcessEvent] = []

    def publish(self, event: ProcessEvent) -> None:
        """Deliver an event to all subscribers of its kind."""
        if self._subject is not None:
            self._subject.on_next(event)
        elif len(self._buffered) < MAX_BUFFERED_EVENTS:
            self._buffered.append(event)

    def replay(self) -> None:
        """Deliver the events from before the first subscription."""
        buffered = self._buffered
        self._buffered = []
        for event in buffered:
            self.publish(event)

    def subscribe(self, kind: str, handler: Handler) -> 'DisposableBase':
        """Call a handler for each event of a kind, until disposed."""
        from reactivex import operators  # noqa: PLC0415

        def is_of_kind(event: ProcessEvent) -> bool:
            return event.kind == kind

        of_kind = self._open().pipe(operators.filter(is_of_kind))
        return of_kind.subscribe(on_next=_guarded(handler))

    def subscribe_all(self, handler: Handler) -> 'DisposableBase':
        """Call a handler for each event, until disposed."""
        return self._open().subscribe(on_next=_guarded(handler))

    def _open(self) -> 'Subject[ProcessEvent]':
        if self._subject is None:
            from reactivex.subject import Subject  # noqa: PLC0415

            self._subject = Subject()
        return self._subject


def record_events(
    stream: EventStream,
    ring: EventRing,
    clock: HybridClock,
    wall_time: Callable[[], float],
) -> 'DisposableBase':
    """Stamp all events of a stream and keep them in a ring."""

    def record(event: ProcessEvent) -> None:
        stamp = clock.tick(wall_time())
        ring.add(TimelineEvent(stamp, ring.process, *event))

    return stream.subscribe_all(record)


def count_events(stream: EventStream, metrics: Metrics) -> 'DisposableBase':
    """Count all events of a stream by kind and service."""

    def count(event: ProcessEvent) -> None:
        counter = metrics.counter(
            'events',
            kind=event.kind,
            service=event.service,
        )
        counter.add()

    return stream.subscribe_all(count)


def _guarded(handler: Handler) -> Handler:
    # An exception would end the subscription and reach the publisher,
    # whose work does not depend on its subscribers.
    def call(event: ProcessEvent) -> None:
        try:
            handler(event)
        except Exception:  # noqa: BLE001
            logger.exception('a subscriber of "%s" events failed', event.kind)

    return call
