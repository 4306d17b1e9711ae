"""Tests of the measurements of membership records and messages."""

from trefoilhaven_core.membership.leases import HEARTBEAT_INTERVAL_S
from trefoilhaven_bench.models.slopes import (
    MemoryRow,
    MessageRow,
    Size,
    TimeRow,
    measure_all,
    measure_messages,
)


# Kind and clock around the message in a datagram.
_ENVELOPE_BYTES = 12

# Budget for the control traffic that a process sends at current sizes.
_BUDGET_BYTES_PER_S = 4_000

# Agents of the larger current operator, and witnesses of a service.
_AGENTS = 11
_WITNESSES = 3


class TestMessageSizes:
    """Control traffic at the sizes of messages and current numbers."""

    def test_heartbeats_keep_to_budget(self) -> None:
        """Guards against messages that outgrow the control budget."""
        sizes = {
            row.message: row.encoded_bytes + _ENVELOPE_BYTES
            for row in measure_messages()
        }
        rate = 1 / HEARTBEAT_INTERVAL_S
        by_agent = _WITNESSES * rate * sizes['Heartbeat']
        by_witness = _AGENTS * rate * sizes['HeartbeatAck']
        assert by_agent < _BUDGET_BYTES_PER_S
        assert by_witness < _BUDGET_BYTES_PER_S


class TestMeasureAll:
    """The rows from which docs/CAPACITY.md is written."""

    def test_rows_at_small_sizes(self) -> None:
        """Guards against measurements that fail or measure nothing."""
        rows = measure_all([Size(100, 10), Size(200, 20)])
        times = [row for row in rows if isinstance(row, TimeRow)]
        memory = [row for row in rows if isinstance(row, MemoryRow)]
        sizes = [row for row in rows if isinstance(row, MessageRow)]
        assert {row.members for row in times} == {100, 200}
        assert all(row.bytes_per_member > 0 for row in memory)
        assert all(row.encoded_bytes > 1 for row in sizes)
