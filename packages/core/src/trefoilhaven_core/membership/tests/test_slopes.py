"""Tests of the measurements."""

from trefoilhaven_core.membership.slopes import (
    MemoryRow,
    MessageRow,
    Size,
    TimeRow,
    measure_all,
)


class TestMeasureAll:
    """The rows that the capacity page is written from."""

    def test_rows_at_small_sizes(self) -> None:
        """Guards against measurements that fail or measure nothing."""
        rows = measure_all([Size(100, 10), Size(200, 20)])
        times = [row for row in rows if isinstance(row, TimeRow)]
        memory = [row for row in rows if isinstance(row, MemoryRow)]
        sizes = [row for row in rows if isinstance(row, MessageRow)]
        assert {row.members for row in times} == {100, 200}
        assert all(row.bytes_per_member > 0 for row in memory)
        assert all(row.encoded_bytes > 1 for row in sizes)
