"""Tests of logs, metrics, events and the telemetry endpoint."""

import io
import json
import logging
import os
import sys
from collections.abc import Iterator

import aiohttp
import pytest

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.endpoints import TelemetryEndpoint
from trefoilhaven_core.telemetry.events import (
    EventStream,
    ProcessEvent,
    count_events,
    record_events,
)
from trefoilhaven_core.telemetry.logs import (
    MAX_LIMITED_KEYS,
    DroppingHandler,
    LineBudget,
    RateLimitedLog,
    configure_logging,
)
from trefoilhaven_core.telemetry.messages import StatusReply
from trefoilhaven_core.telemetry.metrics import QUANTILES, Histogram, Metrics
from trefoilhaven_core.timeline.clocks import HybridClock
from trefoilhaven_core.timeline.messages import TimelineRequest
from trefoilhaven_core.timeline.rings import EventRing
from trefoilhaven_core.wire.codec import make_codec


@pytest.fixture(name='lines')
def _lines() -> Iterator[io.StringIO]:
    root = logging.getLogger()
    saved = root.handlers, root.level
    hook = sys.excepthook
    stream = io.StringIO()
    configure_logging('entry-1', 'tainan-a', 'info', stream)
    yield stream
    root.handlers = saved[0]
    root.setLevel(saved[1])
    sys.excepthook = hook


class TestLineBudget:
    """Rate limit of all log lines."""

    def test_burst(self) -> None:
        """Guards against a flood of lines that saturates the processor."""
        now = 0.0
        budget = LineBudget(10, 20, lambda: now)
        record = logging.makeLogRecord({'levelno': logging.INFO})
        passed = sum(budget.filter(record) for _ in range(100))
        assert passed == 20
        now = 1.0
        passed = sum(budget.filter(record) for _ in range(100))
        assert passed == 10
        assert vars(record)['suppressed_lines'] == 80

    def test_errors_pass(self) -> None:
        """Guards against an error that is dropped in a flood of lines."""
        budget = LineBudget(1, 1, float)
        line = logging.makeLogRecord({'levelno': logging.INFO})
        error = logging.makeLogRecord({'levelno': logging.ERROR})
        assert [budget.filter(line) for _ in range(3)] == [True, False, False]
        assert budget.filter(error)


class TestDroppingHandler:
    """Writing to a pipe that is not read."""

    def test_never_blocks(self) -> None:
        """Guards against a process that blocks when its logs are not read."""
        reader, writer = os.pipe()
        with os.fdopen(reader, 'rb') as source, os.fdopen(writer, 'w') as sink:
            handler = DroppingHandler(sink)
            record = logging.makeLogRecord({'msg': 'x' * 1000})
            for _ in range(200):
                handler.emit(record)
            assert handler.dropped
            os.read(source.fileno(), 1_000_000)
            handler.emit(record)
            assert handler.dropped == 0
            assert vars(record)['dropped_lines']


class TestLogs:
    """JSON lines and the rate limit."""

    def test_fields(self, lines: io.StringIO) -> None:
        """Guards against a line without the fields to search for it."""
        fields = {'service': 'certify', 'request_key': 'r-1'}
        logging.getLogger('x').info('refused\nqueue full', extra=fields)
        line = json.loads(lines.getvalue())
        assert line.pop('time')
        assert line == {
            'level': 'INFO',
            'logger': 'x',
            'message': 'refused\nqueue full',
            'process': 'entry-1',
            'failure_domain': 'tainan-a',
            **fields,
        }

    def test_uncaught_exception(self, lines: io.StringIO) -> None:
        """Guards against a process that ends without a log line."""
        error = ValueError('no such key')
        sys.excepthook(ValueError, error, None)
        line = json.loads(lines.getvalue())
        assert line['level'] == 'CRITICAL'
        assert 'no such key' in line['exc_info']

    def test_rate_limit(self, lines: io.StringIO) -> None:
        """Guards against a sender that floods the logs."""
        limited = RateLimitedLog(logging.getLogger('x'), lines_per_s=1)
        for step in range(20):
            limited.warn(100 + step / 10, 'sender', 'malformed')
        counts = [
            json.loads(line)['suppressed']
            for line in lines.getvalue().splitlines()
        ]
        assert counts == [0, 9]

    def test_many_keys(self, lines: io.StringIO) -> None:
        """Guards against memory that grows with forged senders."""
        limited = RateLimitedLog(logging.getLogger('x'))
        for sender in range(MAX_LIMITED_KEYS * 2):
            limited.warn(100, str(sender), 'malformed')
        assert len(lines.getvalue().splitlines()) <= MAX_LIMITED_KEYS + 1
        lines.truncate(0)
        limited.warn(200, 'new', 'malformed')
        limited.warn(200, 'newer', 'malformed')
        assert len(lines.getvalue().splitlines()) == 2


class TestMetrics:
    """Values and their export."""

    def test_export(self) -> None:
        """Guards against changed metric names, which dashboards rely on."""
        metrics = Metrics()
        metrics.counter('dropped_packets', reason='malformed').add()
        metrics.counter('dropped_packets', reason='malformed').add(2)
        metrics.gauge('members', lambda: 7, service='certify')
        metrics.observable_counter('flows_broken', lambda: 2)
        metrics.histogram('queue_wait').observe(0.25)
        text = metrics.export().decode()
        for expected in (
            'trefoilhaven_dropped_packets_total{reason="malformed"} 3.0',
            'trefoilhaven_members{service="certify"} 7.0',
            'trefoilhaven_flows_broken_total 2.0',
            'trefoilhaven_queue_wait_seconds_count 1.0',
        ):
            assert expected in text
        assert metrics.counts() == {
            'dropped_packets{reason=malformed}': 3,
            'flows_broken': 2,
        }

    def test_quantiles(self) -> None:
        """Guards against quantiles with less than 2 significant digits."""
        histogram = Histogram()
        for milliseconds in range(1, 1001):
            histogram.observe(milliseconds / 1000)
        expected = {each: each for each in QUANTILES}
        assert histogram.quantiles_s() == pytest.approx(expected, rel=0.02)

    @pytest.mark.parametrize('time_s', [-1, 0, 1e9])
    def test_time_out_of_range(self, time_s: float) -> None:
        """Guards against a clock step that makes a histogram raise."""
        histogram = Histogram()
        histogram.observe(time_s)
        assert histogram.count == 1


def _fail(event: ProcessEvent) -> None:
    raise ValueError(event.kind)


class TestEvents:
    """Subscriptions, the ring and the counters."""

    def test_ring_and_counters(self) -> None:
        """Guards against events missing from the timeline or the counters."""
        stream, ring, metrics = EventStream(), EventRing('entry-1'), Metrics()
        record_events(stream, ring, HybridClock(), lambda: 1000.0)
        count_events(stream, metrics)
        stream.publish(ProcessEvent('fenced', 'certify', detail='term 3'))
        event = ring.answer(TimelineRequest()).events[0]
        assert event[1:4] == ('entry-1', 'fenced', 'certify')
        assert event.detail == 'term 3'
        assert metrics.counts() == {'events{kind=fenced,service=certify}': 1}

    def test_kinds_and_disposal(self) -> None:
        """Guards against calls for other kinds or after disposal."""
        stream, seen = EventStream(), list[ProcessEvent]()
        subscription = stream.subscribe('drain', seen.append)
        stream.publish(ProcessEvent('fenced'))
        stream.publish(ProcessEvent('drain'))
        subscription.dispose()
        stream.publish(ProcessEvent('drain'))
        assert seen == [ProcessEvent('drain')]

    def test_failing_subscriber(self) -> None:
        """Guards against a subscriber that stops the publisher."""
        stream, seen = EventStream(), list[ProcessEvent]()
        stream.subscribe_all(_fail)
        stream.subscribe_all(seen.append)
        stream.publish(ProcessEvent('drain'))
        stream.publish(ProcessEvent('drain'))
        assert len(seen) == 2


class TestEndpoint:
    """HTTP answers."""

    async def test_paths(self, unused_tcp_port: int) -> None:
        """Guards against a process that is ready before it can route."""
        obstacles = ['no view yet']
        metrics = Metrics()
        metrics.counter('events').add()
        endpoint = TelemetryEndpoint(metrics, lambda: ''.join(obstacles))
        await endpoint.start(Address('127.0.0.1', unused_tcp_port))
        answers = []
        async with aiohttp.ClientSession(
            f'http://127.0.0.1:{unused_tcp_port}',
        ) as session:
            for path in ('/live', '/metrics', '/ready', '/ready'):
                async with session.get(path) as response:
                    answers.append((response.status, await response.text()))
                if len(answers) == 3:
                    obstacles.clear()
        await endpoint.stop()
        assert [status for status, _ in answers] == [200, 200, 503, 200]
        assert 'trefoilhaven_events_total 1.0' in answers[1][1]
        assert 'no view yet' in answers[2][1]


class TestMessages:
    """Operator messages in the codec."""

    def test_status_round_trip(self) -> None:
        """Guards against a status reply that the codec can't encode."""
        reply = StatusReply(
            'entry-1',
            'balancer',
            'tainan-a',
            7,
            {'certify': 3},
            {'certify': ('certify-1',)},
            (),
            (),
            {'events': 1.0},
        )
        codec = make_codec()
        assert codec.decode(codec.encode(reply)).ok.message == reply
