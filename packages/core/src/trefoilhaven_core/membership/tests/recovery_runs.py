"""Simulation of balancers that restart at once while the store is down."""

import heapq
import random
from collections import Counter
from typing import Final, NamedTuple

from trefoilhaven_core.connections.pacing import report_interval_s
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.gossip import Send
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Changes,
    Digest,
    MemberState,
    State,
)
from trefoilhaven_core.membership.offers import (
    COMPLETE_SEQUENCE_STEP,
    OfferSchedule,
)
from trefoilhaven_core.membership.sources import (
    Source,
    StateSources,
    agent_sender,
    is_whole,
)
from trefoilhaven_core.membership.tests.support import make_member
from trefoilhaven_core.membership.views import ViewStore

STEP_S: Final = 0.005
DELAY_S: Final = 0.0035
GOSSIP_TICK_S: Final = 0.25
OFFER_TICK_S: Final = 0.05
DOMAINS: Final = 3

# Time until the gossip of the first start has ended, in seconds.
WARM_UP_S: Final = 5.0

# Balancers restart within this time, in seconds.
START_SPREAD_S: Final = 0.5


class Setup(NamedTuple):
    """Size of a deployment and what happens to it."""

    balancers: int = 27
    restarted: int = 16
    agents: int = 65
    agents_with_copy: int = 65
    loss: float = 0.0


class Delivery(NamedTuple):
    """A message that arrives at a time; ``order`` breaks ties."""

    at: float
    order: int
    receiver: str
    kind: str
    content: object


class Balancer:
    """Decision code of a balancer; ``started_at`` is its latest start."""

    def __init__(
        self, record: BalancerRecord, now: float, rng: random.Random
    ) -> None:
        """Start without records."""
        self.name = record.name
        self.domain = record.failure_domain
        self.store = ViewStore()
        self.disseminator = Disseminator(record, self.store, rng)
        self.schedule = OfferSchedule(record.name, rng)
        self.sources = StateSources(record.name, rng)
        self.started_at = now
        self.usable_at: float | None = None
        self.complete_at: float | None = None
        self.fetch_until = now
        self.phase_s = rng.uniform(0, GOSSIP_TICK_S)

    def use(self, now: float, state: State) -> list[Send]:
        """Merge a fetched state."""
        effects = self.disseminator.on_state(now, state)
        if self.usable_at is None:
            self.usable_at = now
        if is_whole(state) and self.complete_at is None:
            self.complete_at = now
            self.sources.on_complete()
            effects += self.disseminator.announce(
                now, MemberState.alive, COMPLETE_SEQUENCE_STEP
            )
        return [each for each in effects if isinstance(each, Send)]


class RecoveryRun:
    """A run in steps of ``STEP_S``; ``sent`` counts messages by kind."""

    def __init__(self, setup: Setup, seed: int) -> None:
        """Start with balancers that know everything, and restart some."""
        self.sent: Counter[str] = Counter()
        self.offers: dict[str, list[float]] = {}
        self.now = 0.0
        self._setup = setup
        self._rng = random.Random(seed)
        self._queue: list[Delivery] = []
        self._records = [
            _make_record(number, 1) for number in range(setup.balancers)
        ]
        members = [
            make_member(f't{number}', failure_domain=_domain(number))
            for number in range(setup.agents)
        ]
        whole = State('g0', tuple(members), tuple(self._records), (), ())
        self._copy = whole._replace(sender=agent_sender('s0'))
        self.balancers = [
            self._make_informed(record, whole) for record in self._records
        ]
        self.restarted: list[Balancer] = []
        self._by_name = {each.name: each for each in self.balancers}
        interval_s = report_interval_s(setup.balancers)
        self._reports = [
            (self._rng.uniform(0, interval_s), 0) for _ in range(setup.agents)
        ]
        self._interval_s = interval_s
        self.run(WARM_UP_S)
        self._restart()
        self.sent.clear()

    def run(self, duration_s: float) -> None:
        """Run for a time, in seconds."""
        until_s = self.now + duration_s
        while self.now < until_s:
            self.now += STEP_S
            self._send_reports()
            while self._queue and self._queue[0].at <= self.now:
                self._receive(heapq.heappop(self._queue))
            for balancer in self.balancers:
                if balancer.started_at <= self.now:
                    self._tick(balancer)

    def _restart(self) -> None:
        numbers = range(len(self.balancers))
        for number in self._rng.sample(numbers, self._setup.restarted):
            start = self.now + self._rng.uniform(0, START_SPREAD_S)
            restarted = Balancer(_make_record(number, 2), start, self._rng)
            self.restarted.append(restarted)
            self.balancers[number] = restarted
        self._by_name = {each.name: each for each in self.balancers}

    def _make_informed(self, record: BalancerRecord, state: State) -> Balancer:
        balancer = Balancer(record, 0.0, self._rng)
        balancer.use(0.0, state)
        balancer.schedule.observe(0.0, balancer.store.balancers)
        return balancer

    def _send(self, receiver: str, kind: str, content: object) -> None:
        self.sent[kind] += 1
        if self._rng.random() < self._setup.loss:
            return
        at = self.now + DELAY_S * self._rng.uniform(0.5, 1.5)
        order = self._rng.getrandbits(32)
        heapq.heappush(
            self._queue, Delivery(at, order, receiver, kind, content)
        )

    def _send_reports(self) -> None:
        for agent, (due, count) in enumerate(self._reports):
            if due > self.now:
                continue
            self._reports[agent] = (due + self._interval_s, count + 1)
            for balancer in self.balancers:
                is_near = balancer.domain == _domain(agent)
                if is_near or count % 2 == 0:
                    self._send(balancer.name, 'report', agent)

    def _tick(self, balancer: Balancer) -> None:
        if self._is_tick(balancer, GOSSIP_TICK_S):
            for effect in balancer.disseminator.tick(self.now):
                if isinstance(effect, Send):
                    self._send(effect.peer, 'gossip', effect.message)
        if self._is_tick(balancer, OFFER_TICK_S):
            self._offer(balancer)
        if balancer.fetch_until <= self.now:
            self._fetch(balancer)

    def _is_tick(self, balancer: Balancer, interval_s: float) -> bool:
        since_s = self.now + balancer.phase_s
        return since_s % interval_s < STEP_S

    def _offer(self, balancer: Balancer) -> None:
        records = balancer.store.balancers
        balancer.schedule.observe(self.now, records)
        if balancer.complete_at is None:
            return
        for peer in balancer.schedule.due(self.now, records):
            self.offers.setdefault(balancer.name, []).append(self.now)
            self._send(peer, 'offer', balancer.name)

    def _fetch(self, balancer: Balancer) -> None:
        """Fetch a state in one step; the time of the call passes after it."""
        source = balancer.sources.next_source(
            self.now, balancer.store.balancers
        )
        if source is None:
            return
        state = self._state_of(source)
        self.sent['fetch'] += 1
        if state is None:
            timeout_s = balancer.sources.timeout_s(source)
            balancer.sources.on_failure(self.now, source)
            peer = self._by_name.get(source.name)
            is_off = peer is not None and peer.started_at > self.now
            wait_s = timeout_s if is_off else DELAY_S
            balancer.fetch_until = self.now + 2 * DELAY_S + wait_s
            return
        balancer.fetch_until = self.now + 4 * DELAY_S
        if source.is_agent:
            balancer.sources.on_copy(source)
        for effect in balancer.use(balancer.fetch_until, state):
            self._send(effect.peer, 'gossip', effect.message)

    def _state_of(self, source: Source) -> State | None:
        if source.is_agent:
            return self._copy._replace(sender=source.name)
        peer = self._by_name[source.name]
        if peer.started_at > self.now or peer.complete_at is None:
            return None
        return peer.store.state(peer.name)

    def _receive(self, delivery: Delivery) -> None:
        receiver, content = delivery.receiver, delivery.content
        if delivery.kind == 'hello':
            self._on_hello(int(receiver), str(content))
            return
        balancer = self._by_name[receiver]
        if balancer.started_at > self.now:
            return
        if delivery.kind == 'report':
            if balancer.sources.should_ask(self.now):
                self._send(str(content), 'hello', balancer.name)
        elif delivery.kind == 'complete':
            balancer.schedule.on_complete(self.now, str(content))
        elif delivery.kind == 'gossip':
            self._on_gossip(balancer, content)
        elif balancer.complete_at is not None:
            if delivery.kind == 'offer':
                self._send(str(content), 'complete', balancer.name)
        else:
            name = str(content)
            balancer.sources.on_offer(name, _address(name))

    def _on_gossip(self, balancer: Balancer, message: object) -> None:
        effects = []
        if isinstance(message, Digest):
            balancer.schedule.on_digest(self.now, message)
            effects = balancer.disseminator.on_digest(self.now, message)
        elif isinstance(message, Changes):
            effects = balancer.disseminator.on_changes(self.now, message)
        for effect in effects:
            if isinstance(effect, Send) and effect.peer in self._by_name:
                self._send(effect.peer, 'gossip', effect.message)

    def _on_hello(self, agent: int, balancer: str) -> None:
        """Answer as an agent that is asked for offers."""
        if agent < self._setup.agents_with_copy:
            self._send(balancer, 'agent offer', agent_sender(f's{agent}'))
        near = [
            each.name
            for each in self.balancers
            if each.domain == _domain(agent) and each.name != balancer
        ]
        self._send(balancer, 'agent offer', self._rng.choice(near))


def _domain(number: int) -> str:
    return f'domain-{number % DOMAINS}'


def _address(name: str) -> Address:
    """Return an address that differs for each process."""
    number = int(name.rpartition(' ')[2][1:])
    is_agent = name.startswith(agent_sender(''))
    return Address('10.0.1.1' if is_agent else '10.0.0.1', number)


def _make_record(number: int, incarnation: int) -> BalancerRecord:
    name = f'g{number}'
    address = _address(name)
    return BalancerRecord(
        name,
        _domain(number),
        incarnation,
        1,
        MemberState.alive,
        address,
        address,
    )
