"""Tests of the load that an agent counts for its target."""

import pytest
from trefoilhaven_core.connections.messages import SegmentFlag
from trefoilhaven_core.connections.tables import ConnectionTable
from trefoilhaven_core.connections.tests.support import key_of, make_segment

CONNECTIONS = 8


class TestServiceTime:
    """Service time of a target from the segments that pass its agent."""

    @pytest.mark.parametrize('slots', [1, 2])
    def test_queue(self, slots: int) -> None:
        """Guards against a target with a queue that seems slow."""
        table = ConnectionTable(60.0)
        table.set_slots(slots)
        entries = []
        for number in range(CONNECTIONS):
            key = key_of(number)
            entry = table.add(0.0, key, None)
            request = make_segment(key, sequence=1, length=100)
            table.on_client(0.0, entry, request)
            entries.append((key, entry))
        for number, (key, entry) in enumerate(entries):
            answered_at = 0.02 * (number // slots + 1)
            response = make_segment(key, sequence=1, length=500)
            table.on_target(answered_at, entry, response)
        assert abs(table.load(1.0).service_time_s - 0.02) < 1e-9

    def test_removed(self) -> None:
        """Guards against a removed connection that keeps the slot."""
        table = ConnectionTable(60.0)
        first, second = key_of(1), key_of(2)
        for key in (first, second):
            entry = table.add(0.0, key, None)
            request = make_segment(key, sequence=1, length=100)
            table.on_client(0.0, entry, request)
        table.remove(1.0, first)
        entry = table.get(second) or table.add(0.0, second, None)
        response = make_segment(second, SegmentFlag.last, 1, 0, 500)
        table.on_target(1.02, entry, response)
        assert abs(table.load(2.0).service_time_s - 0.02) < 1e-9
