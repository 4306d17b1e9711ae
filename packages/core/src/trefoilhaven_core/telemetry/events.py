"""Publication and subscription of named events within a process.

The timeline ring, the metrics and others subscribe to events. Events are
for changes of state and are never published per packet.
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

# Limit of events buffered until the first subscription; later ones are lost.
MAX_BUFFERED_EVENTS: Final = 256


class ProcessEvent(NamedTuple):
    """An event of a process; fields that do not apply are empty."""

    kind: str
    service: str = ''
    flow: str = ''
    request_key: str = ''
    host: str = ''
    detail: str = ''


Handler = Callable[[ProcessEvent], None]


class EventStream:
    """Delivers events to the subscribers in the publisher's task.

    ``reactivex`` is imported at the first subscription, because its import
    takes a tenth of the start time of a process on a small host. Earlier
    events are buffered for ``replay``.
    """

    def __init__(self) -> None:
        self._subject: Subject[ProcessEvent] | None = None
        self._buffered: list[ProcessEvent] = []

    def publish(self, event: ProcessEvent) -> None:
        """Deliver an event, or buffer it before the first subscription."""
        if self._subject is not None:
            self._subject.on_next(event)
        elif len(self._buffered) < MAX_BUFFERED_EVENTS:
            self._buffered.append(event)

    def replay(self) -> None:
        """Deliver the events buffered before the first subscription."""
        buffered = self._buffered
        self._buffered = []
        for event in buffered:
            self.publish(event)

    def subscribe(self, kind: str, handler: Handler) -> 'DisposableBase':
        """Call a handler for each event of a kind until disposed."""
        from reactivex import operators  # noqa: PLC0415

        def is_of_kind(event: ProcessEvent) -> bool:
            return event.kind == kind

        of_kind = self._ensure_subject().pipe(operators.filter(is_of_kind))
        return of_kind.subscribe(on_next=_log_exceptions(handler))

    def subscribe_all(self, handler: Handler) -> 'DisposableBase':
        """Call a handler for each event until disposed."""
        return self._ensure_subject().subscribe(
            on_next=_log_exceptions(handler)
        )

    def _ensure_subject(self) -> 'Subject[ProcessEvent]':
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
    """Timestamp all events of a stream and add them to a ring."""

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


def _log_exceptions(handler: Handler) -> Handler:
    # An exception would end the subscription and propagate to the
    # publisher, whose work must not depend on its subscribers.
    def call(event: ProcessEvent) -> None:
        try:
            handler(event)
        except Exception:  # noqa: BLE001
            logger.exception('a handler of "%s" events failed', event.kind)

    return call
