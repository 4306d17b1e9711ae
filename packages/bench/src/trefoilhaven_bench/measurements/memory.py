"""Memory that an agent's flows and request records take."""

import sys
from typing import Final, NamedTuple

import psutil

from trefoilhaven_bench.measurements.costs import (
    SERVICE,
    make_member,
    make_owner,
    make_packet,
)
from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_core.configuration.versions import ConfigurationStore
from trefoilhaven_core.flows.messages import FlowFlag
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.requests.decisions import KeyOwnership, Request
from trefoilhaven_core.requests.records import RequestTable
from trefoilhaven_core.routing.routes import FlowRoutes

FLOWS: Final = 2_000
RECORDS: Final = 10_000

# Services, and targets per service, in one of four regions of the intended
# size.
SERVICES: Final = 750
TARGETS: Final = 16
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
    """Fill the tables of an agent and a balancer and measure the memory.

    Call it before other measurements in a process: memory that they freed
    would hide what the tables take.
    """
    target = f'{SERVICE}-1'
    start = _resident_bytes()
    ownership = make_owner(target, _NOW)
    flows = FlowTable(SERVICE, target, 1_790_000_000_000)
    requests = RequestTable(SERVICE, target, 1_790_000_000_000)
    rows = [_row('bucket ownership of an agent', 1, start)]
    before = _resident_bytes()
    for number in range(FLOWS):
        packet = make_packet(number, FlowFlag.first)
        flows.on_packet(_NOW, packet, ownership, {})
    rows.append(_row('open flows in the table', FLOWS, before))
    before = _resident_bytes()
    key_ownership = KeyOwnership(is_owner=True, lease_valid=True, horizon=0)
    for number in range(RECORDS):
        key = f'attendance-note-{number}'
        req = Request(SERVICE, key, 1, _NOW)
        requests.on_decide(_NOW, _NOW, req, key_ownership)
        requests.on_started(key, lease_valid=True)
        requests.on_finished(key, bytes(ANSWER_BYTES))
    title = f'request records with answers of {ANSWER_BYTES} bytes'
    rows.append(_row(title, RECORDS, before))
    rows.extend(_measure_balancer())
    return table_of('memory', 'Memory of the tables of an agent', rows)


def _measure_balancer() -> list[MemoryRow]:
    """Fill tables and configurations for a region of the intended size."""
    before = _resident_bytes()
    routes = FlowRoutes()
    for number in range(SERVICES):
        names = [f'service-{number}-{index}' for index in range(TARGETS)]
        routes.set_members(
            f'service-{number}',
            [make_member(name, index) for index, name in enumerate(names)],
        )
    rows = [_row(f'bucket tables of {TARGETS} targets', SERVICES, before)]
    before = _resident_bytes()
    store = ConfigurationStore()
    for number in range(SERVICES):
        name = f'service-{number}'
        address = f'127.{number // 250 + 10}.{number % 250}.1:7000'
        file = {'service': name, 'address': address, 'operator': 'lin'}
        content = {'address_since': number, 'file': file}
        if not store.offer(name, 1, content):
            raise ValueError(f'{name}: {store.findings}')
    rows.append(_row('service configurations', SERVICES, before))
    return rows


def _resident_bytes() -> int:
    return int(psutil.Process().memory_info().rss)


def _row(entries: str, count: int, before: int) -> MemoryRow:
    grown = _resident_bytes() - before
    return MemoryRow(entries, count, grown / _MIB, grown / count)


if __name__ == '__main__':
    sys.stdout.write(repr(measure_memory()))
