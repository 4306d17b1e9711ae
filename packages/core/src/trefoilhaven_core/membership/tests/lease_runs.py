"""Simulation of a lease holder, its witnesses and a claimant with faults."""

import random
from typing import NamedTuple

from trefoilhaven_core.membership.fencing import VOTE_LIFE_S, FenceTally
from trefoilhaven_core.membership.leases import LeaseHolder, LeaseWitness
from trefoilhaven_core.membership.messages import (
    FenceRequest,
    FenceVote,
    Heartbeat,
    HeartbeatAck,
    HeartbeatRefused,
)
from trefoilhaven_core.membership.tests.networks import (
    Delivery,
    Faults,
    MessageNetwork,
)
from trefoilhaven_core.membership.tests.support import (
    NO_LOAD,
    SERVICE,
    WITNESSES,
    make_member,
)

STEP_S = 0.05
RUN_S = 40.0

_HOLDER = 'desk-1'
_REPLACED = 'desk-1-replaced'
_CLAIMANT = 'desk-2'


class Agreement(NamedTuple):
    """A witness that agreed to fence a term and all terms below it."""

    witness: str
    incarnation: int
    term: int


class Vote(NamedTuple):
    """When a witness last agreed, and whether a restart lost its vote."""

    cast_at: float
    is_forgotten: bool


class LeaseRun:
    """Checks that no fenced term has a valid lease.

    The target may be restarted while its old process is paused. Each process
    has its own clock, whose rate is off by up to 10%.
    """

    holder_class = LeaseHolder
    witness_class = LeaseWitness

    def __init__(self, seed: int, clock_error: float = 0.1) -> None:
        """Start all processes, with a random clock rate for each."""
        self.rng = random.Random(seed)
        self.network = MessageNetwork(self.rng)
        self.violations: list[str] = []
        self.fence_count = 0
        self.valid_count = 0
        names = (_HOLDER, _REPLACED, _CLAIMANT, *WITNESSES)
        self._rates = {
            name: 1 + self.rng.uniform(-clock_error, clock_error)
            for name in names
        }
        self._rates[_REPLACED] = self._rates[_HOLDER]
        self._paused_until = dict.fromkeys(names, 0.0)
        self._cut_until: dict[frozenset[str], float] = {}
        self._inbox: dict[str, list[Delivery]] = {name: [] for name in names}
        self._incarnation = 0
        self._holders: dict[str, LeaseHolder] = {}
        self._start_holder()
        self._witnesses = {
            name: self.witness_class(name, 0) for name in WITNESSES
        }
        self._tally = self._make_tally()
        self._next_tally_at = 0.0
        self._votes: dict[Agreement, Vote] = {}
        self._fenced: dict[int, int] = {}

    def run(self) -> None:
        """Run for ``RUN_S``, with faults of several kinds at random times."""
        for step in range(int(RUN_S / STEP_S)):
            now = step * STEP_S
            self._inject(now)
            for name in self._holders:
                self._check(now, name)
            for delivery in self.network.due(now):
                self._inbox[delivery.receiver].append(delivery)
            for name, inbox in self._inbox.items():
                if now >= self._paused_until[name]:
                    self._inbox[name] = []
                    for delivery in inbox:
                        self._deliver(now, delivery)
            self._send(now)

    def _clock(self, name: str, now: float) -> float:
        return now * self._rates[name]

    def _make_tally(self) -> FenceTally:
        holder = self.rng.choice(list(self._holders.values()))
        term = max(1, holder.term - self.rng.randrange(2))
        request = FenceRequest(
            SERVICE, _HOLDER, holder.incarnation, term, _CLAIMANT
        )
        return FenceTally(request, WITNESSES)

    def _start_holder(self) -> None:
        self._incarnation += 1
        self._holders[_HOLDER] = self.holder_class(
            SERVICE, _HOLDER, self._incarnation, WITNESSES
        )

    def _inject(self, now: float) -> None:
        if self.rng.random() < 0.005:
            name = self.rng.choice(list(self._paused_until))
            self._paused_until[name] = now + self.rng.uniform(0.5, 6)
        if self.rng.random() < 0.005:
            count = self.rng.choice((1, 1, 3))
            for name in self.rng.sample(WITNESSES, count):
                self._restart(now, name)
        if self.rng.random() < 0.002:
            self._holders[_REPLACED] = self._holders[_HOLDER]
            self._paused_until[_REPLACED] = now + self.rng.uniform(0, 6)
            self._start_holder()
        if self.rng.random() < 0.01:
            count = self.rng.choice((1, 1, 2, 3))
            for witness in self.rng.sample(WITNESSES, count):
                until = now + self.rng.uniform(0.5, 6)
                for name in self._holders:
                    self._cut_until[frozenset((name, witness))] = until
        self.network.cut = {
            pair for pair, until in self._cut_until.items() if now < until
        }
        if self.rng.random() < 0.02:
            self.network.faults = Faults(
                self.rng.choice((0, 0.1, 0.4)),
                self.rng.choice((0, 0.2)),
                self.rng.choice((0.01, 0.3, 3)),
            )

    def _restart(self, now: float, name: str) -> None:
        started_at = self._clock(name, now)
        self._witnesses[name] = self.witness_class(name, started_at)
        self._inbox[name] = []
        for key, vote in self._votes.items():
            if key.witness == name:
                self._votes[key] = vote._replace(is_forgotten=True)

    def _check(self, now: float, name: str) -> None:
        if now < self._paused_until[name]:
            return
        holder = self._holders[name]
        if not holder.lease_valid(self._clock(name, now)):
            return
        self.valid_count += 1
        if holder.term <= self._fenced.get(holder.incarnation, 0):
            self.violations.append(
                f'{now:.2f} s: {holder.incarnation}, {holder.term}'
            )

    def _send(self, now: float) -> None:
        for name, holder in self._holders.items():
            if now < self._paused_until[name]:
                continue
            member = make_member(_HOLDER, incarnation=holder.incarnation)
            for witness, heartbeat in holder.heartbeats(
                self._clock(name, now), member, NO_LOAD, 0
            ):
                self.network.send(now, name, witness, heartbeat)
        if now >= self._paused_until[_CLAIMANT]:
            if now >= self._next_tally_at:
                self._next_tally_at = now + self.rng.uniform(1, 8)
                self._tally = self._make_tally()
            request = self._tally.due_request(self._clock(_CLAIMANT, now))
            for witness in WITNESSES if request else ():
                self.network.send(now, _CLAIMANT, witness, request)

    def _deliver(self, now: float, delivery: Delivery) -> None:
        clock = self._clock(delivery.receiver, now)
        answer: object = None
        match delivery.message:
            case Heartbeat() as heartbeat:
                witness = self._witnesses[delivery.receiver]
                answer = witness.on_heartbeat(clock, heartbeat)
            case FenceRequest() as request:
                witness = self._witnesses[delivery.receiver]
                answer = witness.on_fence(clock, request)
                self._record_vote(now, answer)
            case HeartbeatAck() as ack:
                self._holders[delivery.receiver].on_ack(clock, ack)
            case HeartbeatRefused() as refused:
                self._holders[delivery.receiver].on_refused(clock, refused)
            case FenceVote() as vote:
                if self._tally.on_vote(clock, vote):
                    wanted = self._tally.request
                    self._fence(wanted.incarnation, wanted.term)
        if answer is not None:
            sender, receiver = delivery.receiver, delivery.sender
            self.network.send(now, sender, receiver, answer)

    def _record_vote(self, now: float, vote: FenceVote) -> None:
        """Treat a term as fenced once a majority has cast its votes."""
        if not vote.agreed:
            return
        pair = (vote.incarnation, vote.term)
        key = Agreement(vote.witness, *pair)
        self._votes[key] = Vote(now, is_forgotten=False)
        agreeing = {
            key.witness
            for key, other in self._votes.items()
            if (key.incarnation, key.term) >= pair
            and (not other.is_forgotten or now - other.cast_at <= VOTE_LIFE_S)
        }
        if len(agreeing) > len(WITNESSES) // 2:
            self._fence(*pair)

    def _fence(self, incarnation: int, term: int) -> None:
        self.fence_count += 1
        known = self._fenced.get(incarnation, 0)
        self._fenced[incarnation] = max(known, term)
        for holder in self._holders.values():
            if holder.incarnation < incarnation:
                known = self._fenced.get(holder.incarnation, 0)
                self._fenced[holder.incarnation] = max(known, holder.term)
