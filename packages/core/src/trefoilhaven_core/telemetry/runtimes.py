"""Clock, events, timeline and metrics of one process."""

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
    """The hybrid logical clock of a process, on top of its wall clock."""

    def __init__(self, clock: HybridClock) -> None:
        self.hybrid = clock

    def stamp(self) -> int:
        """Return the timestamp for an outgoing message."""
        return self.hybrid.tick(time.time())

    def observe(self, stamp: int) -> None:
        """Advance the clock by the timestamp of an incoming message."""
        self.hybrid.receive(stamp, time.time())


class ProcessRuntime(NamedTuple):
    """State that all tasks of a process share."""

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

    def start_recording(self) -> None:
        """Record and count all events, including those buffered so far."""
        record_events(self.events, self.ring, self.clock.hybrid, time.time)
        count_events(self.events, self.metrics)
        self.events.replay()


def make_runtime(process: str, *, is_recording: bool = True) -> ProcessRuntime:
    """Return the runtime of a process that starts now.

    The incarnation is the start time in milliseconds of Unix time. A
    process that must start quickly passes ``is_recording=False`` and calls
    ``start_recording`` later.
    """
    runtime = ProcessRuntime(
        process,
        time.time_ns() // 1_000_000,
        ProcessClock(HybridClock()),
        EventStream(),
        EventRing(process),
        Metrics(),
    )
    if is_recording:
        runtime.start_recording()
    return runtime
