"""Merges the events of several processes in causal order."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Final

from trefoilhaven_core.timeline.clocks import stamp_counter, stamp_time_s
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)
from trefoilhaven_core.timeline.rings import matches

# The end of year 9999, the last year that ``datetime`` supports.
_LATEST_S: Final = 253_402_300_799.0


def merge_events(
    replies: Iterable[TimelineReply],
    request: TimelineRequest,
) -> tuple[TimelineEvent, ...]:
    """Return the matching events of all replies in causal order.

    Events with equal timestamps did not cause each other and are sorted by the
    name of their process. Duplicate events are removed.
    """
    found = {
        event
        for reply in replies
        for event in reply.events
        if matches(event, request)
    }
    return tuple(sorted(found))


def format_event(event: TimelineEvent) -> str:
    """Return an event as one line of text."""
    labelled = (
        ('service', event.service),
        ('flow', event.flow),
        ('key', event.request_key),
        ('host', event.host),
    )
    fields = [f'{name}={text}' for name, text in labelled if text]
    parts = [format_stamp(event.clock), event.process, event.kind, *fields]
    if event.detail:
        parts.append(event.detail)
    return ' '.join(parts)


def format_stamp(stamp: int) -> str:
    """Return a timestamp as ``2026-12-04T07:00:00.125Z+3``."""
    moment = datetime.fromtimestamp(min(stamp_time_s(stamp), _LATEST_S), UTC)
    text = moment.isoformat(timespec='milliseconds')
    return f'{text.removesuffix("+00:00")}Z+{stamp_counter(stamp)}'
