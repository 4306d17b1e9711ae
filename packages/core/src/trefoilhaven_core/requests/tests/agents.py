"""Simulated agents: a request table with its calls, lease and target."""

from collections.abc import Callable
from typing import Final

from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.requests.decisions import (
    Conclude,
    Decision,
    Follow,
    KeyOwnership,
    Outcome,
    RelayTo,
    Replay,
    Request,
    RunHere,
    Settled,
    unknown,
)
from trefoilhaven_core.requests.records import RequestTable
from trefoilhaven_core.requests.refusals import RefusalTable
from trefoilhaven_core.requests.stores import RecordStore, StoreLimits
from trefoilhaven_core.requests.tests.simulation import (
    CLOCK_OFFSET_S,
    SERVICE,
    Reply,
    Simulation,
)
from trefoilhaven_core.routing.tables import bucket_of, hash_item

LEASE_S: Final = 2.0

# The retention is short, so that records expire within a schedule; the tables
# are small, so that they fill up.
LIMITS: Final = StoreLimits(retention_s=6, records=6, refusals=12)


class _ForgetfulRefusals(RefusalTable):
    def add(
        self,
        key_hash: int,
        attempt: int,
        issued_at: float,
        placed: bool,
    ) -> bool:
        return True


class _BreakableTable(RequestTable):
    def forget_refusals(self) -> None:
        self._refusals = _ForgetfulRefusals()
        self._store.refusals = self._refusals

    def drop_records(self) -> None:
        self._store = RecordStore(self._agent, LIMITS)
        self._store.refusals = self._refusals


class Agent:
    """One incarnation of an agent; ``peers`` has the current ones by name."""

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        incarnation: int,
        peers: dict[str, 'Agent'],
    ) -> None:
        """Start with an empty table, no lease and no bucket."""
        self.name = name
        self.incarnation = incarnation
        self.owned: dict[int, float] = {}
        self.directory = Directory()
        self.lease_until = 0.0
        self.fenced = False
        self.crashed = False
        self.paused_until = 0.0
        self.cut_until = 0.0
        self._simulation = simulation
        self._peers = peers
        self._offset_s = simulation.random.uniform(
            -CLOCK_OFFSET_S, CLOCK_OFFSET_S
        )
        self._waiters: dict[int, Reply] = {}
        self.table = _BreakableTable(SERVICE, name, incarnation, LIMITS)
        if simulation.broken.forget_refusals:
            self.table.forget_refusals()
        self._maintain()

    @property
    def wall(self) -> float:
        """Unix time in seconds of the agent's own clock."""
        return self._simulation.wall(self._offset_s)

    def act(self, event: Callable[[], None]) -> None:
        """Run an event after a pause, if any; drop it after a crash."""
        if self.crashed:
            return
        if self._simulation.now < self.paused_until:
            delay_s = self.paused_until - self._simulation.now
            self._simulation.schedule(delay_s, lambda: self.act(event))
        else:
            event()

    def decide(self, request: Request, reply: Reply) -> None:
        """Handle a call of a balancer."""
        decision = self.table.on_decide(
            self._simulation.now,
            self.wall,
            request,
            self._key_ownership(request.key),
        )
        self._follow_up(request, decision, reply, may_place=True)

    def run(
        self,
        request: Request,
        follow_only: bool,
        incarnation: int,
        reply: Reply,
    ) -> None:
        """Handle a placement or a relayed request."""
        if self._simulation.broken.ignore_follow_only and follow_only:
            follow_only, incarnation = False, self.incarnation
        decision = self.table.on_run(
            self._simulation.now,
            self.wall,
            request,
            follow_only,
            incarnation,
        )
        self._follow_up(request, decision, reply, may_place=False)

    def _later(self, longest_s: float, event: Callable[[], None]) -> None:
        delay_s = self._simulation.random.uniform(0, longest_s)
        self._simulation.schedule(delay_s, lambda: self.act(event))

    def _maintain(self) -> None:
        simulation = self._simulation
        if simulation.now >= self.cut_until:
            self._renew_lease()
        self.table.tick(simulation.now, self.wall)
        self.directory.expire(self.wall - LIMITS.retention_s)
        if simulation.broken.drop_early and simulation.chance(0.1):
            self.table.drop_records()
        simulation.schedule(0.5, lambda: self.act(self._maintain))

    def _renew_lease(self) -> None:
        if self.fenced:
            self.owned.clear()
            self.fenced = False
        else:
            self.lease_until = self._simulation.now + LEASE_S

    def _key_ownership(self, key: str) -> KeyOwnership:
        key_hash = hash_item(SERVICE, key.encode())
        bucket = bucket_of(key_hash)
        broken = self._simulation.broken
        horizon = self.owned.get(bucket, 0)
        return KeyOwnership(
            bucket in self.owned,
            broken.ignore_lease or self._simulation.now < self.lease_until,
            0 if broken.ignore_horizon else horizon,
            self.directory.find(bucket, key_hash),
        )

    def _follow_up(
        self,
        request: Request,
        decision: Decision,
        reply: Reply,
        may_place: bool,
    ) -> None:
        if isinstance(decision, Conclude | Replay):
            reply(decision)
            return
        if isinstance(decision, RunHere) and not decision.recorded:
            answer = self._simulation.record_run(request)
            self._later(1, lambda: reply(Replay(answer)))
            return
        self._waiters[request.waiter] = reply
        if isinstance(decision, Follow):
            self._answer(decision.superseded, unknown('superseded'))
        elif isinstance(decision, RelayTo):
            self._relay(request, decision)
        else:
            self._place(request, may_place)

    def _answer(self, waiter: int, answer: Replay | Conclude) -> None:
        reply = self._waiters.pop(waiter, None)
        if reply is not None:
            reply(answer)

    def _settle(self, settled: Settled) -> None:
        self._answer(settled.waiter, settled.answer)

    def _place(self, request: Request, may_place: bool) -> None:
        drawn = self._simulation.random.random()
        if drawn < 0.25:
            self._later(1, lambda: self._refuse(request))
        elif drawn < 0.55 and may_place:
            self._later(0.1, lambda: self._hand_off(request, (self.name,)))
        else:
            self._later(1.5, lambda: self._start(request))

    def _refuse(self, request: Request) -> None:
        key, attempt = request.key, request.attempt
        self._settle(self.table.on_refused(key, attempt, 'queue is full'))

    def _start(self, request: Request) -> None:
        broken = self._simulation.broken
        leased = broken.ignore_lease or self._simulation.now < self.lease_until
        if not self.table.on_started(request.key, leased):
            self._refuse(request)
            return
        answer = self._simulation.record_run(request)
        if self._simulation.chance(0.1):
            self._later(1, lambda: self._lose(request))
        else:
            self._later(1, lambda: self._finish(request, answer))

    def _finish(self, request: Request, answer: bytes) -> None:
        self._settle(self.table.on_finished(request.key, answer))

    def _lose(self, request: Request) -> None:
        self._settle(self.table.on_lost(request.key))

    def _hand_off(self, request: Request, tried: tuple[str, ...]) -> None:
        untried = sorted(set(self._peers) - set(tried))
        if not untried:
            self._refuse(request)
            return
        holder = self._simulation.random.choice(untried)
        incarnation = self._peers[holder].incarnation
        ownership = self._key_ownership(request.key)
        key = request.key
        if not self.table.on_handed_off(key, holder, incarnation, ownership):
            self._refuse(request)
            return

        def on_reply(reply: Replay | Conclude | None) -> None:
            refused = (
                isinstance(reply, Conclude) and reply.outcome == Outcome.not_run
            )
            if refused and self._simulation.chance(0.5):
                self._hand_off(request, (*tried, holder))
            else:
                self._on_reply(request, reply)

        relay = RelayTo(holder, incarnation, request.attempt, False)
        self._call(request, relay, on_reply)

    def _relay(self, request: Request, relay: RelayTo) -> None:
        self._call(
            request,
            relay,
            lambda reply: self._on_reply(request, reply),
        )

    def _call(self, request: Request, relay: RelayTo, on_reply: Reply) -> None:
        attempt = relay.attempt
        if self._simulation.broken.relay_with_own_attempt:
            attempt = request.attempt

        def deliver(answer: Reply) -> None:
            holder = self._peers[relay.holder]
            copy = request._replace(
                waiter=self._simulation.number(),
                attempt=attempt,
            )
            holder.act(
                lambda: holder.run(
                    copy,
                    relay.follow_only,
                    relay.incarnation,
                    answer,
                ),
            )

        self._simulation.call(
            deliver,
            lambda reply: self.act(lambda: on_reply(reply)),
        )

    def _on_reply(
        self,
        request: Request,
        reply: Replay | Conclude | None,
    ) -> None:
        if isinstance(reply, Replay):
            self._finish(request, reply.answer)
        elif reply is not None and reply.outcome == Outcome.not_run:
            self._refuse(request)
        elif reply is not None and reply.outcome == Outcome.unknown:
            self._lose(request)
        else:
            self._settle(self.table.on_unreachable(request.key))
