"""Comparison of flow routers in one seeded run.

Targets join, drain and die and a balancer is replaced. Balancers and agents
learn of each change after different delays. Every router gets the same
changes at the same times.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import Final, NamedTuple

from trefoilhaven_bench.models.routers import (
    Arrival,
    FlowRouter,
    ModuloRouter,
    RendezvousRouter,
    TableRouter,
)
from trefoilhaven_core.flows.messages import FlowKey
from trefoilhaven_bench.models.owned_routers import OwnershipRouter
from trefoilhaven_core.membership.messages import MemberState

# Offset between the flow keys of successive seeds, so that none is shared.
_FLOWS_PER_SEED: Final = 1_000_000

_SERVICE: Final = 'classroom-desk'

# Simulated time of one step, in seconds.
_STEP_S: Final = 0.1

# Time until a dead target is reported, in seconds.
_DEATH_DETECTION_S: Final = 2.5

# Longest delay until a balancer or an agent learns of a change, in seconds.
_MAX_VIEW_DELAY_S: Final = 2.0

# Callers open all flows within ``_OPENING_S``. The steady imbalance is the last
# one up to ``_STEADY_UNTIL_S``, before the first change; times in seconds.
_OPENING_S: Final = 20.0
_STEADY_UNTIL_S: Final = 24.0


class Scale(NamedTuple):
    """Size of a comparison; times are in seconds.

    ``packet_s`` is the mean time between packets of a flow.
    """

    targets: int = 7
    balancers: int = 4
    flows: int = 3500
    packet_s: float = 5.0
    duration_s: float = 80.0


class ComparisonRow(NamedTuple):
    """Result of one router.

    ``broken`` counts flows that were reset or reached another target while
    their own target was alive, ``ended_by_death`` flows whose target died.
    ``steady_imbalance`` is the largest number of open flows per target over
    the mean before any change, ``final_imbalance`` the same ratio at the end
    over the targets that take new flows.
    """

    router: str
    opened: int
    broken: int
    ended_by_death: int
    steady_imbalance: float
    final_imbalance: float


_ViewUpdate = Callable[[FlowRouter, float], None]


class _ScheduledUpdate(NamedTuple):
    at: float
    update: _ViewUpdate


class _Change(NamedTuple):
    at: float
    kind: str
    target: str


def compare_routers(
    seed: int, scale: Scale | None = None
) -> tuple[ComparisonRow, ...]:
    """Return one row for each router.

    For example, ``compare_routers(1)[0].broken`` is the number of flows
    that bucket ownership broke in the run of seed 1.
    """
    size = Scale() if scale is None else scale
    makers: dict[str, Callable[[], FlowRouter]] = {
        'bucket ownership': lambda: OwnershipRouter(_SERVICE),
        'flow table per balancer': lambda: TableRouter(
            _SERVICE, random.Random(seed)
        ),
        'hash modulo targets': lambda: ModuloRouter(_SERVICE),
        'rendezvous hash': lambda: RendezvousRouter(_SERVICE),
    }
    return tuple(
        _Run(seed, size, make()).result(name) for name, make in makers.items()
    )


def _changes(size: Scale) -> tuple[_Change, ...]:
    start = _STEADY_UNTIL_S
    part = (size.duration_s - start) / 6
    return (
        _Change(start + part, 'join', f'target-{size.targets}'),
        _Change(start + part * 2, 'drain', 'target-1'),
        _Change(start + part * 3, 'die', 'target-2'),
        _Change(start + part * 4, 'replace', ''),
        _Change(start + part * 4.5, 'join', f'target-{size.targets + 1}'),
    )


class _Run:
    """One router under the changes and flows of a seed."""

    def __init__(self, seed: int, size: Scale, router: FlowRouter) -> None:
        # One generator per purpose, so that a router's behaviour changes
        # neither the delays of view updates nor the times of packets.
        self._delays = random.Random(f'{seed} delays')
        self._times = random.Random(f'{seed} times')
        self._balancers = random.Random(f'{seed} balancers')
        self._size = size
        self._router = router
        self._states: dict[str, MemberState] = {}
        self._updates: list[_ScheduledUpdate] = []
        self._holders: dict[FlowKey, str] = {}
        self._callers: list[FlowKey] = []
        self._ports = count(seed * _FLOWS_PER_SEED)
        self._steady = float(0)
        self._counts: Counter[str] = Counter()
        self._now = float(0)

    def result(self, name: str) -> ComparisonRow:
        for number in range(self._size.targets):
            self._join(f'target-{number}')
        self._apply_due_updates(_MAX_VIEW_DELAY_S)
        changes = list(_changes(self._size))
        for step in range(int(self._size.duration_s / _STEP_S)):
            self._now = step * _STEP_S
            while changes and changes[0].at <= self._now:
                self._apply(changes.pop(0))
            self._step()
        return ComparisonRow(
            name,
            self._counts['opened'],
            self._counts['broken'],
            self._counts['ended'],
            self._steady,
            self._imbalance(),
        )

    def _step(self) -> None:
        self._apply_due_updates(self._now)
        self._record_arrivals(self._router.advance(self._now))
        self._open_callers()
        if self._now <= _STEADY_UNTIL_S:
            self._steady = self._imbalance()
        for caller in self._sending_callers():
            self._send(caller)

    def _apply(self, change: _Change) -> None:
        if change.kind == 'join':
            self._join(change.target)
        elif change.kind == 'drain':
            self._states[change.target] = MemberState.draining
            self._schedule_updates(0)
        elif change.kind == 'die':
            self._die(change.target)
        else:
            self._router.restart_balancer(0)

    def _join(self, target: str) -> None:
        self._states[target] = MemberState.alive
        self._router.start_target(self._now, target)
        self._schedule_updates(0)

    def _die(self, target: str) -> None:
        self._states[target] = MemberState.dead
        self._router.kill_target(self._now, target)
        ended = [flow for flow, held in self._holders.items() if held == target]
        self._counts['ended'] += len(ended)
        for flow in ended:
            self._replace_flow(flow)
        self._schedule_updates(_DEATH_DETECTION_S)

    def _schedule_updates(self, after: float) -> None:
        """Schedule the current view for every balancer and agent.

        Each gets it after a random delay of its own.
        """
        states = dict(self._states)
        eligible = tuple(
            sorted(
                name
                for name, state in states.items()
                if state is MemberState.alive
            )
        )
        for balancer in range(self._size.balancers):
            self._schedule_update(after, _balancer_update(balancer, eligible))
        for target in states:
            self._schedule_update(after, _agent_update(target, states))

    def _schedule_update(self, after: float, update: _ViewUpdate) -> None:
        at = self._now + after + self._delays.uniform(0, _MAX_VIEW_DELAY_S)
        self._updates.append(_ScheduledUpdate(at, update))

    def _apply_due_updates(self, until: float) -> None:
        due = [update for update in self._updates if update.at <= until]
        self._updates = [
            update for update in self._updates if update.at > until
        ]
        for _, update in due:
            update(self._router, self._now)

    def _open_callers(self) -> None:
        share = min(1, self._now / _OPENING_S)
        while len(self._callers) < int(self._size.flows * share):
            self._callers.append(self._new_flow())

    def _new_flow(self) -> FlowKey:
        port = next(self._ports)
        return FlowKey(17, '127.0.0.1', port, '127.1.0.1', 7000)

    def _sending_callers(self) -> Iterator[int]:
        share = _STEP_S / self._size.packet_s
        for caller, flow in enumerate(self._callers):
            chance = self._times.random()
            if flow not in self._holders or chance < share:
                yield caller

    def _send(self, caller: int) -> None:
        flow = self._callers[caller]
        balancer = self._balancers.randrange(self._size.balancers)
        is_first = flow not in self._holders
        self._record_arrivals(
            self._router.route(self._now, balancer, flow, is_first)
        )

    def _record_arrivals(self, arrivals: list[Arrival]) -> None:
        for flow, target in arrivals:
            holder = self._holders.get(flow)
            alive = target is None or (
                self._states[target] is not MemberState.dead
            )
            if not alive or target == holder:
                continue
            if holder is not None:
                self._counts['broken'] += 1
                self._replace_flow(flow)
            elif target is not None:
                self._holders[flow] = target
                self._counts['opened'] += 1

    def _replace_flow(self, flow: FlowKey) -> None:
        """Open a new flow for the caller of a flow that ended."""
        self._holders.pop(flow)
        self._callers[self._callers.index(flow)] = self._new_flow()

    def _imbalance(self) -> float:
        counts = Counter(self._holders.values())
        flows = [
            counts[name]
            for name, state in self._states.items()
            if state is MemberState.alive
        ]
        return max(flows) * len(flows) / max(1, sum(flows))


def _balancer_update(balancer: int, eligible: tuple[str, ...]) -> _ViewUpdate:
    def apply(router: FlowRouter, now: float) -> None:
        router.set_targets(balancer, eligible)

    return apply


def _agent_update(target: str, states: dict[str, MemberState]) -> _ViewUpdate:
    def apply(router: FlowRouter, now: float) -> None:
        router.set_states(now, target, states)

    return apply
