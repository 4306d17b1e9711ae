"""Cost of the membership records at several sizes, for docs/CAPACITY.md.

For example, ``measure_times(Size(12_000, 1_050))`` returns the processor
time of each operation at the size of a region. Run ``python -m
trefoilhaven_bench.models.slopes`` to print all rows as JSON lines.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import msgspec

from trefoilhaven_core.membership.detectors import FailureDetector
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.leases import AckSummary, LeaseWitness
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Changes,
    ConfigurationNotice,
    Digest,
    FenceRequest,
    Heartbeat,
    Load,
    Member,
    MemberState,
    Registration,
    Registry,
    State,
    TargetLoad,
)
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.routing.tables import build_table

MEMBERS_PER_SERVICE: Final = 16

# Number of calls over which a processor time is averaged.
REPEATS: Final = 200

_ADDRESS: Final = Address('127.100.100.100', 17_000)
_STARTED_MS: Final = 1_790_000_000_000
_LOAD: Final = Load(700, 2, 3, 0.0125, 0.0875)


class Size(NamedTuple):
    """Numbers of members and balancers that one process knows."""

    members: int
    balancers: int


SIZES: Final = (Size(1_000, 50), Size(4_000, 300), Size(12_000, 1_050))


class TimeRow(NamedTuple):
    """Mean processor time of one operation, in seconds."""

    operation: str
    members: int
    balancers: int
    processor_s: float


class MemoryRow(NamedTuple):
    """Memory of a view store with its records, in bytes."""

    members: int
    balancers: int
    total_bytes: int
    bytes_per_member: float
    bytes_per_balancer: float


class MessageRow(NamedTuple):
    """Encoded size of a typical message, in bytes without its envelope."""

    message: str
    content: str
    encoded_bytes: int


def measure_all(sizes: Iterable[Size] = SIZES) -> list[NamedTuple]:
    """Return the rows of all measurements."""
    rows: list[NamedTuple] = list(measure_messages())
    for size in sizes:
        rows.append(measure_memory(size))
        rows.extend(measure_times(size))
    return rows


def measure_times(size: Size) -> list[TimeRow]:
    """Return the processor time of each operation at a size."""
    return [
        TimeRow(
            name, size.members, size.balancers, _mean_processor_s(operation)
        )
        for name, operation in _operations(size).items()
    ]


def measure_memory(size: Size) -> MemoryRow:
    """Return the memory of a store that was filled from a peer's state.

    The records are decoded first, as in a process, so that they share no
    objects.
    """
    state = make_state(size)
    members = _traced_bytes(state._replace(balancers=()))
    balancers = _traced_bytes(State('', (), state.balancers, (), ()))
    return MemoryRow(
        size.members,
        size.balancers,
        members + balancers,
        members / size.members,
        balancers / size.balancers,
    )


def measure_messages() -> list[MessageRow]:
    """Return the encoded sizes of the messages that are sent often."""
    state = make_state(Size(MEMBERS_PER_SERVICE, 2))
    member, balancer = state.members[0], state.balancers[0]
    witness = LeaseWitness(balancer.name, -10)
    heartbeat = Heartbeat(member, 1, _LOAD, 86_400.125, 17)
    fence = FenceRequest(
        member.service, member.target, member.incarnation, 1, 'target', 86.125
    )
    loads = (TargetLoad(member.target, _LOAD, 0.25),)
    ack = witness.on_heartbeat(0, heartbeat, AckSummary(2**63, 17, loads))
    vote = witness.on_fence(0, fence)
    store = ViewStore()
    store.merge_state(state)
    versions = (store.versions(member.service),)
    root = Digest(balancer.name, 2**63)
    groups = root._replace(groups=(2**63,) * 64)
    named: list[tuple[str, NamedTuple | None]] = [
        ('all fields', heartbeat),
        ('one load', ack),
        ('all fields', fence),
        ('all fields', vote),
        ('one member', Changes(balancer.name, (member,), ())),
        ('one balancer', Changes(balancer.name, (), (balancer,))),
        ('root only', root),
        ('64 groups', groups),
        ('one mark', root._replace(covered=(7,), versions=versions)),
        ('300 bytes', ConfigurationNotice('', '', 17, bytes(300))),
        ('16 members, 2 balancers', state),
    ]
    encode = msgspec.msgpack.encode
    return [
        MessageRow(type(message).__name__, content, len(encode(message)))
        for content, message in named
    ]


def make_state(size: Size) -> State:
    """Return a region's state of a given size, with 16 members a service."""
    services = -(-size.members // MEMBERS_PER_SERVICE)
    names = [f'service-{number:04}' for number in range(services)]
    members = tuple(
        _make_member(names[number // MEMBERS_PER_SERVICE], number)
        for number in range(size.members)
    )
    registered: dict[str, list[Registration]] = {name: [] for name in names}
    for member in members:
        entry = Registration(member.target, member.incarnation)
        registered[member.service].append(entry)
    return State(
        'entry-0000',
        members,
        tuple(_make_balancer(number) for number in range(size.balancers)),
        tuple(
            Registry(name, 9, tuple(entries))
            for name, entries in registered.items()
        ),
        (),
    )


def _operations(size: Size) -> dict[str, Callable[[int], object]]:
    """Return the operations by name; each takes the number of the call."""
    state = make_state(size)
    store = ViewStore()
    store.merge_state(state)
    own = state.balancers[0]
    disseminator = Disseminator(own, store, random.Random(1))
    detector = FailureDetector(own, store, 0)
    witness = LeaseWitness(own.name, -10)
    service = state.members[0].service

    def on_heartbeat(call: int) -> None:
        member = state.members[call % len(state.members)]
        heartbeat = Heartbeat(member, 1, _LOAD, call, 17)
        witness.on_heartbeat(call, heartbeat)
        detector.on_heartbeat(call, member)
        disseminator.on_changes(call, Changes(own.name, (member,), ()))

    def change(call: int) -> None:
        member = state.members[call % len(state.members)]
        store.merge([member._replace(sequence=call + 2)])

    def relay(call: int) -> None:
        member = state.members[call % len(state.members)]
        newer = member._replace(sequence=call + 2 * REPEATS)
        disseminator.on_changes(call, Changes(own.name, (newer,), ()))

    return {
        'heartbeat': on_heartbeat,
        'merge of a known member': lambda call: store.merge(state.members[:1]),
        'merge of a changed member': change,
        'merge and relay of a changed member': relay,
        'digest of everything': lambda call: store.root_digest(),
        'digest of a service': lambda call: store.digest(service),
        'answer to an equal digest': lambda call: disseminator.on_digest(
            call, Digest('entry-0001', store.root_digest())
        ),
        'tick of the disseminator': disseminator.tick,
        'tick of the detector': lambda call: detector.tick(call / 4),
        'view of a service': lambda call: store.view(service),
        'table of a service': lambda call: _build_table(store, service),
    }


def _build_table(store: ViewStore, service: str) -> None:
    eligible = store.eligible(service)
    build_table(service, [member.target for member in eligible])


def _mean_processor_s(operation: Callable[[int], object]) -> float:
    started_at = time.process_time()
    for call in range(REPEATS):
        operation(call)
    return (time.process_time() - started_at) / REPEATS


def _traced_bytes(state: State) -> int:
    encoded = msgspec.msgpack.encode(state)
    gc.collect()
    tracemalloc.start()
    store = ViewStore()
    store.merge_state(msgspec.msgpack.decode(encoded, type=State))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _make_member(service: str, number: int) -> Member:
    return Member(
        service,
        f'{service}-{number % MEMBERS_PER_SERVICE}',
        f'host-{number:05}',
        f'tw-south-{number % 3}',
        _STARTED_MS + number,
        1,
        MemberState.alive,
        _ADDRESS,
        _ADDRESS,
        _ADDRESS,
        2,
    )


def _make_balancer(number: int) -> BalancerRecord:
    return BalancerRecord(
        f'entry-{number:04}',
        f'tw-south-{number % 3}',
        _STARTED_MS + number,
        1,
        MemberState.alive,
        _ADDRESS,
        _ADDRESS,
    )


if __name__ == '__main__':
    for row in measure_all():
        print(type(row).__name__, msgspec.json.encode(row._asdict()).decode())
