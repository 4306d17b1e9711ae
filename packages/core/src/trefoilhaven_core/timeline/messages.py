"""Timeline events, and the messages that query them."""

from typing import NamedTuple


class TimelineEvent(NamedTuple):
    """One event of a process.

    ``clock`` is a hybrid logical clock timestamp. ``flow`` is text such as
    ``17,127.0.0.1,4000,127.1.0.1,7000``. Fields that do not apply are
    empty.
    """

    clock: int
    process: str
    kind: str
    service: str = ''
    flow: str = ''
    request_key: str = ''
    host: str = ''
    detail: str = ''


class TimelineRequest(NamedTuple):
    """Asks a process for matching events; empty fields match all.

    ``since`` is the lowest timestamp of the events.
    """

    service: str = ''
    flow: str = ''
    request_key: str = ''
    host: str = ''
    since: int = 0


class TimelineReply(NamedTuple):
    """Events of one process in the order of their timestamps.

    ``overwritten`` counts the events that its ring has overwritten.
    """

    process: str
    events: tuple[TimelineEvent, ...]
    overwritten: int
