"""Random schedules of requests and faults over several request tables.

Instead of the ownership protocol, the schedule gives each bucket one owner at
a time, by a transfer or after the previous owner's lease has been fenced.
"""

from functools import partial
from typing import Final

from trefoilhaven_core.ownership.directories import exclude_own
from trefoilhaven_core.requests.decisions import (
    Conclude,
    Outcome,
    Replay,
    Request,
    unknown,
)
from trefoilhaven_core.requests.records import CLOCK_ERROR_S
from trefoilhaven_core.requests.tests.agents import Agent
from trefoilhaven_core.requests.tests.simulation import (
    CLOCK_OFFSET_S,
    SERVICE,
    BrokenRules,
    Reply,
    Simulation,
)
from trefoilhaven_core.routing.tables import bucket_of, hash_item

_AGENTS: Final = ('desk-1', 'desk-2', 'desk-3', 'desk-4')

# Margin for differing clock rates before an unreachable agent is fenced.
_FENCE_MARGIN_S: Final = 0.5

_KEYS: Final = 10
_FAULTS: Final = 6


class _Claim:
    """A claim that makes an agent the owner of a bucket.

    All other agents must grant it or be fenced.
    """

    def __init__(self, schedule: 'Schedule', bucket: int, name: str) -> None:
        self._schedule = schedule
        self._bucket = bucket
        self._claimant = schedule.agents[name]
        self._waiting = set(_AGENTS) - {name}
        self._horizon: float | None = None
        if bucket in self._claimant.owned:
            schedule.claims.pop(bucket)
            return
        for sibling in sorted(self._waiting):
            self._request_grant(sibling)

    def _request_grant(self, sibling: str) -> None:
        simulation = self._schedule.simulation
        simulation.schedule(simulation.delay_s(), lambda: self._grant(sibling))

    def _grant(self, sibling: str) -> None:
        agent = self._schedule.agents[sibling]
        now = self._schedule.simulation.now
        if agent.crashed or now < max(agent.paused_until, agent.cut_until):
            if now < agent.lease_until + _FENCE_MARGIN_S:
                self._request_grant(sibling)
                return
            agent.fenced = True
        else:
            self._transfer(agent)
        self._waiting.discard(sibling)
        if not self._waiting:
            self._claimant.act(self._finish)
            if self._claimant.crashed:
                self._schedule.claims.pop(self._bucket, None)

    def _transfer(self, agent: Agent) -> None:
        # A fenced agent transfers entries, but they may be incomplete.
        if self._bucket in agent.owned and not agent.fenced:
            self._horizon = agent.owned.pop(self._bucket)
        entries = agent.directory.entries((self._bucket,))
        entries.extend(agent.table.directory_entries({self._bucket}))
        claimant = self._claimant
        others = exclude_own(entries, claimant.name, claimant.incarnation)
        for entry in others:
            claimant.directory.merge(entry, agent.name)
        agent.directory.remove_buckets((self._bucket,))

    def _finish(self) -> None:
        claimant = self._claimant
        self._schedule.claims.pop(self._bucket, None)
        if claimant.fenced:
            return
        if self._horizon is None:
            self._horizon = claimant.wall + CLOCK_ERROR_S
        claimant.owned[self._bucket] = self._horizon


class Schedule:
    """One random schedule of requests, faults and claims."""

    def __init__(self, seed: int, broken: BrokenRules) -> None:
        """Draw the requests and faults from the seed."""
        self.simulation = Simulation(seed, broken)
        self.agents: dict[str, Agent] = {}
        self.claims: dict[int, _Claim] = {}
        for name in _AGENTS:
            self.agents[name] = Agent(self.simulation, name, 1, self.agents)
        self._keys = [f'{seed}-key-{number}' for number in range(_KEYS)]
        for key in self._keys:
            self.simulation.schedule(0, partial(self._claim, key))
            start_s = self.simulation.random.uniform(0.5, 10)
            self.simulation.schedule(start_s, _Caller(self, key).start)
        faults = (self._crash, self._pause, self._cut, self._move, self._drain)
        for _ in range(_FAULTS):
            fault = self.simulation.random.choice(faults)
            self.simulation.schedule(
                self.simulation.random.uniform(0.5, 14), fault
            )

    def run(self) -> Simulation:
        """Run to the end and return the simulation with its violations."""
        self.simulation.run()
        return self.simulation

    def random_agent(self) -> Agent:
        """Draw an agent."""
        return self.agents[self.simulation.random.choice(_AGENTS)]

    def owner(self, key: str) -> Agent:
        """Return the agent that a balancer asks about a key.

        It is an owner, or sometimes any agent. A fenced agent that does not
        know so yet still counts as an owner.
        """
        bucket = bucket_of(hash_item(SERVICE, key.encode()))
        owners = [
            agent for agent in self.agents.values() if bucket in agent.owned
        ]
        if all(agent.fenced or agent.crashed for agent in owners):
            self._claim(key)
        if not owners or self.simulation.chance(0.15):
            return self.random_agent()
        return self.simulation.random.choice(owners)

    def _claim(self, key: str, avoided: str = '') -> None:
        bucket = bucket_of(hash_item(SERVICE, key.encode()))
        name = self.random_agent().name
        if bucket in self.claims or name == avoided:
            return
        if not self.agents[name].crashed:
            # A claim that ends at once removes itself.
            self.claims[bucket] = None  # type: ignore[assignment]
            claim = _Claim(self, bucket, name)
            if bucket in self.claims:
                self.claims[bucket] = claim

    def _crash(self) -> None:
        agent = self.random_agent()
        agent.crashed = True
        delay_s = self.simulation.random.uniform(0.1, 4)
        self.simulation.schedule(delay_s, lambda: self._restart(agent))

    def _restart(self, old: Agent) -> None:
        if self.agents[old.name] is old:
            self.agents[old.name] = Agent(
                self.simulation,
                old.name,
                old.incarnation + 1,
                self.agents,
            )

    def _pause(self) -> None:
        pause_s = self.simulation.random.uniform(0.5, 6)
        self.random_agent().paused_until = self.simulation.now + pause_s

    def _cut(self) -> None:
        cut_s = self.simulation.random.uniform(2, 8)
        self.random_agent().cut_until = self.simulation.now + cut_s

    def _move(self) -> None:
        self._claim(self.simulation.random.choice(self._keys))

    def _drain(self) -> None:
        drained = self.random_agent().name
        for key in self._keys:
            self._claim(key, avoided=drained)


class _Caller:
    """A caller that sends and repeats attempts, one after the other."""

    def __init__(self, schedule: Schedule, key: str) -> None:
        self._schedule = schedule
        self._simulation = schedule.simulation
        self._key = key
        self._offset_s = self._simulation.random.uniform(
            -CLOCK_OFFSET_S,
            CLOCK_OFFSET_S,
        )
        self._idempotent = self._simulation.chance(0.1)
        self._attempt = 0
        self._sends = 0
        # First sending times of attempts that were not answered "not run".
        self._sent: dict[int, float] = {}

    def start(self) -> None:
        """Send the first attempt."""
        self._next_attempt()

    def _next_attempt(self) -> None:
        self._attempt += 1
        self._sent[self._attempt] = self._simulation.wall(self._offset_s)
        for _ in range(1 + self._simulation.chance(0.4)):
            self._send()
        if self._simulation.chance(0.15):
            # An impatient caller does not wait for the outcome.
            self._simulation.schedule(
                self._simulation.delay_s(), self._next_attempt
            )

    def _send(self) -> None:
        self._sends += 1
        if self._sends > 12 or not self._sent:
            return
        request = Request(
            SERVICE,
            self._key,
            self._attempt,
            min(self._sent.values()),
            self._idempotent,
        )
        self._submit(request, self._simulation.now + 5)

    def _submit(self, request: Request, deadline: float) -> None:
        def deliver(answer: Reply) -> None:
            agent = self._schedule.owner(self._key)
            copy = request._replace(waiter=self._simulation.number())
            if request.idempotent:
                agent.act(lambda: agent.run(copy, False, 0, answer))
            else:
                agent.act(lambda: agent.decide(copy, answer))

        def on_reply(reply: Replay | Conclude | None) -> None:
            if isinstance(reply, Replay):
                self._on_done(reply.answer)
            elif reply is not None and reply.outcome != Outcome.no_verdict:
                self._on_outcome(request, reply)
            elif self._simulation.now < deadline:
                delay_s = self._simulation.random.uniform(0.1, 0.3)
                self._simulation.schedule(
                    delay_s,
                    lambda: self._submit(request, deadline),
                )
            else:
                self._on_outcome(request, unknown('deadline'))

        self._simulation.call(deliver, on_reply)

    def _on_done(self, answer: bytes) -> None:
        content = self._simulation.transfer(self._key, answer)
        if content is not None:
            self._simulation.record_done(self._key, content)
        if content is None or self._simulation.chance(0.3):
            # A caller may repeat a request whose answer it has.
            self._simulation.schedule(
                self._simulation.random.uniform(0, 8), self._send
            )

    def _on_outcome(self, request: Request, reply: Conclude) -> None:
        if reply.outcome == Outcome.not_run:
            self._simulation.record_not_run(self._key, request.attempt)
            self._sent.pop(request.attempt, None)
            if request.attempt == self._attempt:
                self._next_attempt()
        elif self._simulation.chance(0.6):
            self._simulation.schedule(
                self._simulation.random.uniform(0, 8), self._send
            )
