"""Memory that an agent's flows and request records take."""

import sys
from typing import Final, NamedTuple

import psutil

from trefoilhaven_bench.measurements.costs import (
    SERVICE,
    make_owner,
    make_packet,
)
from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_core.flows.messages import FlowMark
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.requests.decisions import Request, Standing
from trefoilhaven_core.requests.records import RequestTable

FLOWS: Final = 2_000
RECORDS: Final = 10_000
ANSWER_BYTES: Final = 512

_NOW: Final = 1000.0
_MIB: Final = 1024 * 1024


class MemoryRow(NamedTuple):
    """Resident memory that a number of entries added to this process."""

    entries: str
    number: int
    mib: float
    bytes_per_entry: float


def measure_memory() -> Table:
    """Fill both tables of an agent and watch the resident memory.

    It runs in a process of its own, so that memory freed by earlier
    measurements does not hide what the tables take.
    """
    target = f'{SERVICE}-1'
    ownership = make_owner(target, _NOW)
    flows = FlowTable(SERVICE, target, 1_790_000_000_000)
    requests = RequestTable(SERVICE, target, 1_790_000_000_000)
    rows = []
    before = _resident()
    for number in range(FLOWS):
        packet = make_packet(number, FlowMark.first)
        flows.on_packet(_NOW, packet, ownership, {})
    rows.append(_row('open flows in the table', FLOWS, before))
    before = _resident()
    standing = Standing(is_owner=True, lease_valid=True, horizon=0)
    for number in range(RECORDS):
        key = f'attendance-note-{number}'
        req = Request(SERVICE, key, 1, _NOW)
        requests.on_decide(_NOW, _NOW, req, standing)
        requests.on_started(key, lease_valid=True)
        requests.on_finished(key, bytes(ANSWER_BYTES))
    title = f'request records with answers of {ANSWER_BYTES} bytes'
    rows.append(_row(title, RECORDS, before))
    return table_of('memory', 'Memory of the tables of an agent', rows)


def _resident() -> int:
    return int(psutil.Process().memory_info().rss)


def _row(entries: str, count: int, before: int) -> MemoryRow:
    grown = _resident() - before
    return MemoryRow(entries, count, grown / _MIB, grown / count)


if __name__ == '__main__':
    sys.stdout.write(repr(measure_memory()))
