"""Tests of the clock, the ring, the merge and the picture."""

from random import Random
from xml.etree import ElementTree

from trefoilhaven_core.timeline.clocks import (
    MAX_AHEAD_S,
    HybridClock,
    pack_stamp,
    stamp_time_s,
)
from trefoilhaven_core.timeline.merges import format_event, merge_events
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)
from trefoilhaven_core.timeline.pictures import draw_timeline
from trefoilhaven_core.timeline.rings import EventRing

_ALL = TimelineRequest()


def _event(clock: int, process: str = 'a', **fields: str) -> TimelineEvent:
    return TimelineEvent(clock, process, fields.pop('kind', 'claim'), **fields)


class TestHybridClock:
    """Order of stamps."""

    def test_effect_after_cause(self) -> None:
        """Guards against a reply that sorts before its request."""
        rng = Random(5)
        clocks = [HybridClock() for _ in range(3)]
        skews = (0.0, -3.0, 2.0)
        stamp = 0
        for step in range(500):
            index = rng.randrange(3)
            now_s = 1000 + step / 1000 + skews[index]
            arrival = clocks[index].receive(stamp, now_s)
            assert arrival > stamp
            stamp = clocks[index].tick(now_s)
            assert stamp > arrival

    def test_clock_that_goes_back(self) -> None:
        """Guards against stamps that repeat after a clock adjustment."""
        clock = HybridClock()
        first = clock.tick(1000)
        assert clock.tick(990) == first + 1

    def test_full_counter(self) -> None:
        """Guards against a counter that wraps within a millisecond."""
        clock = HybridClock()
        clock.receive(pack_stamp(1000, 0xFFFF), 1000)
        assert clock.last == pack_stamp(1000.001)

    def test_broken_remote_clock(self) -> None:
        """Guards against one broken clock that advances all others."""
        clock = HybridClock()
        for remote in (pack_stamp(1001 + MAX_AHEAD_S), 1 << 70, -1):
            assert stamp_time_s(clock.receive(remote, 1000)) == 1000
        assert clock.rejected == 3


class TestRing:
    """Bound and filters."""

    def test_oldest_is_overwritten(self) -> None:
        """Guards against memory that grows with the number of events."""
        ring = EventRing('a', capacity=3)
        for clock in range(5):
            ring.add(_event(clock))
        reply = ring.answer(_ALL)
        assert [event.clock for event in reply.events] == [2, 3, 4]
        assert reply.overwritten == 2

    def test_filters(self) -> None:
        """Guards against events of other services or keys in a reply."""
        ring = EventRing('a')
        ring.add(_event(1, service='certify', request_key='k'))
        ring.add(_event(2, service='collect', request_key='k'))
        ring.add(_event(3, service='certify', request_key='other'))
        request = TimelineRequest(service='certify', request_key='k')
        assert [each.clock for each in ring.answer(request).events] == [1]
        assert not ring.answer(request._replace(since=2)).events


class TestMerge:
    """Causal order of several processes."""

    def test_order_and_repeats(self) -> None:
        """Guards against an effect before its cause, and duplicates."""
        first = TimelineReply('a', (_event(1), _event(4)), 0)
        second = TimelineReply('b', (_event(2, 'b'), _event(4, 'b')), 0)
        merged = merge_events([second, first, second], _ALL)
        assert [(each.clock, each.process) for each in merged] == [
            (1, 'a'),
            (2, 'b'),
            (4, 'a'),
            (4, 'b'),
        ]

    def test_line(self) -> None:
        """Guards against a line that lacks the time or the fields."""
        event = _event(pack_stamp(1.5, 2), service='certify', detail='7 left')
        assert format_event(event) == (
            '1970-01-01T00:00:01.500Z+2 a claim service=certify 7 left'
        )

    def test_huge_stamp(self) -> None:
        """Guards against an error for a stamp after year 9999."""
        assert format_event(_event((1 << 64) - 1)).startswith('9999-')


class TestPicture:
    """SVG output."""

    def test_markup_in_events(self) -> None:
        """Guards against event text that breaks the picture's markup."""
        events = [_event(1, detail='<b>&\x00'), _event(2, 'b', kind='"<')]
        root = ElementTree.fromstring(draw_timeline(events))
        circles = [each for each in root if each.tag.endswith('circle')]
        assert len(circles) == len(events)
        assert 'no events' in draw_timeline([])

    def test_full_rings(self) -> None:
        """Guards against a picture too wide for the canvas of a browser."""
        root = ElementTree.fromstring(
            draw_timeline([_event(clock) for clock in range(20_000)]),
        )
        assert int(root.get('width', '0')) <= 32_767
