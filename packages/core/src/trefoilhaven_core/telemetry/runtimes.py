"""Clock, events, timeline and metrics of one process, made together."""

import time
from typing import NamedTuple

from trefoilhaven_core.telemetry.events import (
    EventStream,
    ProcessEvent,
    count_events,
    record_events,
)
from trefoilhaven_core.telemetry.metrics import Metrics
from trefoilhaven_core.timeline.clocks import HybridClock
from trefoilhaven_core.timeline.rings import EventRing


class ProcessClock:
    """The hybrid logical clock of a process, driven by its wall clock."""

    def __init__(self, clock: HybridClock) -> None:
        """Wrap a clock."""
        self._clock = clock

    def stamp(self) -> int:
        """Return the stamp of an outgoing message."""
        return self._clock.tick(time.time())

    def observe(self, stamp: int) -> None:
        """Take the stamp of an incoming message."""
        self._clock.receive(stamp, time.time())


class ProcessRuntime(NamedTuple):
    """What all tasks of a process share."""

    process: str
    incarnation: int
    clock: ProcessClock
    events: EventStream
    ring: EventRing
    metrics: Metrics

    def publish(
        self,
        kind: str,
        service: str = '',
        *,
        flow: str = '',
        request_key: str = '',
        host: str = '',
        detail: str = '',
    ) -> None:
        """Publish an event of this process."""
        self.events.publish(
            ProcessEvent(kind, service, flow, request_key, host, detail),
        )


def make_runtime(process: str) -> ProcessRuntime:
    """Return the runtime of a process that starts now.

    The incarnation is the start time in milliseconds of Unix time.
    """
    clock = HybridClock()
    events = EventStream()
    ring = EventRing(process)
    metrics = Metrics()
    record_events(events, ring, clock, time.time)
    count_events(events, metrics)
    return ProcessRuntime(
        process,
        time.time_ns() // 1_000_000,
        ProcessClock(clock),
        events,
        ring,
        metrics,
    )
