"""Simulated pool whose bucket owners must run requests at most once."""

from collections.abc import Collection
from typing import Final, NamedTuple

from trefoilhaven_core.ownership.messages import (
    ClaimBuckets,
    ClaimReply,
    DirectoryEntry,
    ItemKind,
)
from trefoilhaven_core.ownership.tests.pool import Pool, PoolAgent, Violation
from trefoilhaven_core.ownership.tests.support import BUCKETS, WALL

KEY_S: Final = 0.05

# Time for which callers repeat the request of one key, in seconds.
ASKED_S: Final = 10

# Clock errors of caller and agent; their sum stays within the permitted
# 0.25 s.
CALLER_ERROR_S: Final = 0.12
AGENT_ERROR_S: Final = 0.12


class Key(NamedTuple):
    """A request key and the caller's wall-clock time of its first request."""

    item: int
    issued_at: float


class KeyAgent(PoolAgent):
    """A simulated agent process with request records."""

    def __init__(
        self, target: str, incarnation: int, clock_offset: float
    ) -> None:
        super().__init__(target, incarnation, clock_offset)
        self.records: set[int] = set()

    def items(self, buckets: Collection[int]) -> list[DirectoryEntry]:
        """Return the records in some buckets."""
        return [
            self.entry(item)
            for item in sorted(self.records)
            if item % BUCKETS in buckets
        ]

    def entry(self, item: int) -> DirectoryEntry:
        """Return the directory entry of a key that runs at this agent."""
        return DirectoryEntry(
            item % BUCKETS,
            item,
            ItemKind.running,
            self.target,
            self.incarnation,
            1,
            WALL,
        )


class KeyPool(Pool):
    """A pool whose callers repeat requests with the same keys."""

    def __init__(self, seed: int, targets: int = 5) -> None:
        """Schedule the first request after one second."""
        super().__init__(seed, targets)
        self.keys: list[Key] = []
        self.run_items: set[int] = set()
        self.unknown = 0
        self.after(1, self._ask)

    def make_agent(self, target: str, incarnation: int) -> KeyAgent:
        """Return an agent with records and its own wall-clock error."""
        agent = KeyAgent(target, incarnation, self.rng.uniform(0, 1000))
        agent.wall_offset = self.rng.uniform(-AGENT_ERROR_S, AGENT_ERROR_S)
        return agent

    def reply_to(self, agent: PoolAgent, claim: ClaimBuckets) -> ClaimReply:
        """Answer a claim with the entries of the agent's records."""
        assert isinstance(agent, KeyAgent)
        return agent.ownership.on_claim(self.clock(agent), claim, agent.items)

    def _ask(self) -> None:
        self.after(KEY_S, self._ask)
        self.keys = [
            key
            for key in self.keys
            if self.now - (key.issued_at - WALL) < ASKED_S
        ]
        if not self.keys or self.rng.random() < 0.3:
            error = self.rng.uniform(-CALLER_ERROR_S, CALLER_ERROR_S)
            item = self.rng.getrandbits(60)
            self.keys.append(Key(item, WALL + self.now + error))
        key = self.rng.choice(self.keys)
        for target in list(self.agents):
            self.send(target, lambda agent: self._decide_key(agent, key))

    def _decide_key(self, agent: PoolAgent, key: Key) -> None:
        assert isinstance(agent, KeyAgent)
        bucket = key.item % BUCKETS
        ownership = agent.ownership
        if bucket not in agent.owned() or not self.leased(agent):
            return
        known = ownership.directory.find(bucket, key.item) is not None
        if known or key.item in agent.records:
            return
        if key.issued_at < ownership.horizon(bucket):
            self.unknown += 1
        elif self.rng.random() < 0.3 and ownership.siblings.names:
            self._hand_off(agent, key)
        else:
            self._run(agent, key)

    def _hand_off(self, agent: KeyAgent, key: Key) -> None:
        sibling = self.rng.choice(agent.ownership.siblings.names)
        holder = self.agents[sibling]
        assert isinstance(holder, KeyAgent)
        agent.ownership.directory.put(holder.entry(key.item))

        def handle(receiver: PoolAgent) -> None:
            assert isinstance(receiver, KeyAgent)
            same = receiver.incarnation == holder.incarnation
            if same and key.item not in receiver.records:
                self._run(receiver, key)

        self.send(sibling, handle)

    def _run(self, agent: KeyAgent, key: Key) -> None:
        if key.item in self.run_items:
            raise Violation(
                f'key {key.item} of bucket {key.item % BUCKETS} runs again '
                f'at {agent.target} at {self.now:.3f}'
            )
        self.run_items.add(key.item)
        agent.records.add(key.item)
