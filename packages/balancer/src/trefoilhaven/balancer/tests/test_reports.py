"""Tests of the events about a balancer's detections."""

from trefoilhaven.balancer.reports import publish_detections
from trefoilhaven_core.membership.detectors import (
    SUSPECT_AFTER_S,
    TICK_INTERVAL_S,
    FailureDetector,
)
from trefoilhaven_core.membership.tests.support import (
    SERVICE,
    make_balancer,
    make_member,
)
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.timeline.messages import TimelineRequest


class TestReports:
    """Events about members that are silent."""

    def test_silent_domain(self) -> None:
        """Guards against targets that are found dead with no event before.

        The members of a silent failure domain are suspected together, in
        one report.
        """
        members = [make_member('desk-1'), make_member('desk-2')]
        store = ViewStore()
        store.merge(members)
        detector = FailureDetector(make_balancer(), store, 0)
        for member in members:
            detector.on_heartbeat(0, member)
        runtime = make_runtime('entry-1')
        for tick in range(1, round(SUSPECT_AFTER_S / TICK_INTERVAL_S) + 1):
            found = detector.tick(tick * TICK_INTERVAL_S)
            publish_detections(runtime, found)
        events = runtime.ring.answer(TimelineRequest()).events
        assert [(each.kind, each.service, each.detail) for each in events] == [
            ('failure domain silent', SERVICE, 'tainan-a'),
        ]

    def test_silent_member(self) -> None:
        """Guards against a suspected member without an event."""
        members = [make_member('desk-1'), make_member('desk-2')]
        store = ViewStore()
        store.merge(members)
        detector = FailureDetector(make_balancer(), store, 0)
        runtime = make_runtime('entry-1')
        detector.on_heartbeat(0, members[0])
        for tick in range(1, round(SUSPECT_AFTER_S / TICK_INTERVAL_S) + 1):
            now = tick * TICK_INTERVAL_S
            detector.on_heartbeat(now, members[1])
            publish_detections(runtime, detector.tick(now))
        events = runtime.ring.answer(TimelineRequest()).events
        assert [(each.kind, each.host) for each in events] == [
            ('target suspect', 'desk-1'),
        ]
