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
        self.hybrid = clock

    def stamp(self) -> int:
        """Return the stamp of an outgoing message."""
        return self.hybrid.tick(time.time())

    def observe(self, stamp: int) -> None:
        """Take the stamp of an incoming message."""
        self.hybrid.receive(stamp, time.time())


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

    def start_recording(self) -> None:
        """Keep and count all events, those from before included."""
        record_events(self.events, self.ring, self.clock.hybrid, time.time)
        count_events(self.events, self.metrics)
        self.events.replay()


def make_runtime(process: str, *, is_recording: bool = True) -> ProcessRuntime:
    """Return the runtime of a process that starts now.

    The incarnation is the start time in milliseconds of Unix time. A
    process that must be up quickly calls ``start_recording`` later itself.
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
