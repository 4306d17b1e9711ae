"""Processor time of single decisions, as the processes make them."""

import gc
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.membership.leases import AckSummary, LeaseWitness
from trefoilhaven_core.membership.loads import LoadTable
from trefoilhaven_core.membership.messages import (
    Address,
    Heartbeat,
    Load,
    Member,
    MemberState,
    Registration,
    ServiceView,
)
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.requests.decisions import KeyOwnership, Request
from trefoilhaven_core.requests.records import RequestTable
from trefoilhaven_core.routing.routes import FlowRoutes, Route
from trefoilhaven_core.routing.tables import build_table
from trefoilhaven_core.wire.codec import make_codec

SERVICE: Final = 'classroom-desk'
SERVICE_ADDRESS: Final = Address('127.1.0.1', 7000)

# Each cost is the minimum of this many repetitions, which leaves out
# interference by other processes.
REPETITIONS: Final = 3

TABLE_SIZES: Final = (3, 16, 64, 256)


class CostRow(NamedTuple):
    """Processor time of one operation in microseconds."""

    operation: str
    size: str
    microseconds: float


def measure_costs() -> Table:
    """Measure the decisions that are made for each packet and request."""
    rows = [
        CostRow('balancer: decode, route, encode', '7 targets', _route_cost()),
        CostRow('witness: heartbeat to reply', '16 agents', _heartbeat_cost()),
        *_flow_costs(),
        CostRow('agent: decide about a new request', '', _request_cost()),
        *[
            CostRow(
                'table: compute',
                f'{size} targets',
                time_operation(
                    lambda _: build_table(SERVICE, _names(size)), 20
                ),
            )
            for size in TABLE_SIZES
        ],
    ]
    return table_of('costs', 'Processor time of a decision', rows)


def make_member(target: str, number: int = 1) -> Member:
    """Return an alive member with addresses of its own."""
    host = f'127.0.{number // 250}.{number % 250 + 1}'
    return Member(
        SERVICE,
        target,
        f'host-{target}',
        'tainan-a',
        1_790_000_000_000,
        1,
        MemberState.alive,
        Address(host, 9000),
        Address(host, 9001),
        Address(host, 9002),
        2,
    )


def make_packet(number: int, flags: FlowFlag) -> FlowPacket:
    """Return a packet of a flow of its own, with 64 bytes of payload."""
    flow = FlowKey(
        17,
        f'10.0.{number // 50_000}.1',
        1024 + number % 50_000,
        *SERVICE_ADDRESS,
    )
    return FlowPacket(SERVICE, flow, flags, 0, 0, bytes(64))


def make_owner(target: str, now: float) -> BucketOwnership:
    """Return the ownership of a service's only target."""
    member = make_member(target)
    ownership = BucketOwnership(SERVICE, target, member.incarnation)
    view = ServiceView(
        SERVICE,
        1,
        (Registration(target, member.incarnation),),
        (member,),
    )
    ownership.on_lease(now + 1_000_000)
    ownership.on_view(now, view)
    ownership.tick(now, now)
    return ownership


def _names(count: int) -> list[str]:
    return [f'{SERVICE}-{number}' for number in range(1, count + 1)]


def time_operation(operation: Callable[[int], object], count: int) -> float:
    """Return the mean processor time of a call in microseconds.

    It is the smallest mean of ``REPETITIONS`` repetitions of ``count`` calls.
    """
    best = float('inf')
    for repetition in range(REPETITIONS):
        gc.collect()
        started = time.process_time()
        for number in range(count):
            operation(repetition * count + number)
        best = min(best, time.process_time() - started)
    return best / count * 1_000_000


def _route_cost() -> float:
    codec = make_codec()
    routes = FlowRoutes()
    routes.set_services({SERVICE_ADDRESS: SERVICE})
    routes.set_members(
        SERVICE,
        [make_member(name, number) for number, name in enumerate(_names(7), 1)],
    )
    raw = [
        codec.encode(make_packet(number, FlowFlag.first)._replace(service=''))
        for number in range(1000)
    ]

    def forward(number: int) -> None:
        packet = codec.decode(raw[number % 1000]).ok.message
        assert isinstance(packet, FlowPacket)
        route = routes.route(packet)
        assert isinstance(route, Route)
        codec.encode(route.packet)

    return time_operation(forward, 10_000)


def _heartbeat_cost() -> float:
    """Return the time from a heartbeat's datagram to that of its reply."""
    codec = make_codec()
    witness = LeaseWitness('balancer-1', 0)
    loads = LoadTable('balancer-1')
    raw = [
        codec.encode(
            Heartbeat(make_member(name, number), 1, Load(), 1000.0, 1),
        )
        for number, name in enumerate(_names(16), 1)
    ]

    def answer(number: int) -> None:
        now = 1000 + number / 1000
        heartbeat = codec.decode(raw[number % len(raw)]).ok.message
        assert isinstance(heartbeat, Heartbeat)
        target = heartbeat.member.target
        loads.record(now, SERVICE, target, heartbeat.load)
        summary = AckSummary(1, 1, loads.loads(now, SERVICE, target))
        reply = witness.on_heartbeat(now, heartbeat, summary)
        assert reply is not None
        codec.encode(reply)

    return time_operation(answer, 5000)


def _flow_costs() -> list[CostRow]:
    now = 1000.0
    ownership = make_owner(_names(1)[0], now)
    table = FlowTable(SERVICE, _names(1)[0], 1_790_000_000_000)
    table.set_limits(1_000_000, 3600)
    first = time_operation(
        lambda number: table.on_packet(
            now,
            make_packet(number, FlowFlag.first),
            ownership,
            {},
        ),
        2000,
    )
    known = time_operation(
        lambda number: table.on_packet(
            now,
            make_packet(number % 2000, FlowFlag.none),
            ownership,
            {},
        ),
        10_000,
    )
    return [
        CostRow('agent: admit a new flow', '', first),
        CostRow('agent: packet of a known flow', '6,000 flows', known),
    ]


def _request_cost() -> float:
    table = RequestTable(SERVICE, _names(1)[0], 1_790_000_000_000)
    ownership = KeyOwnership(is_owner=True, lease_valid=True, horizon=0)
    return time_operation(
        lambda number: table.on_decide(
            1000.0,
            2000.0,
            Request(SERVICE, f'note-{number}', 1, 2000.0),
            ownership,
        ),
        2000,
    )
