"""An agent's copy of the state, for balancers that restart.

The agent does not own anything in it. Every record and configuration keeps
its version, so that an old copy can't replace anything newer.
"""

import math
import random
from typing import Final

import msgspec

from trefoilhaven_core.membership.messages import State
from trefoilhaven_core.membership.views import ViewStore

# A copy takes at most this number of bytes, encoded. If the state is larger,
# its targets are left out, and then nothing is kept.
MAX_COPY_BYTES: Final = 256 * 1024

# A first copy is fetched within this time after the first hello, in seconds,
# so that agents that start together do not all ask at once.
FIRST_DELAY_S: Final = 0.5

# A copy is renewed after this time, and at most this often when a newer
# version is known to exist, in seconds.
RENEWAL_S: Final = 15.0
MIN_RENEWAL_S: Final = 1.0

# Budget of an agent for renewals, in bytes a second: larger copies are
# renewed less often.
RENEWAL_BYTES_PER_S: Final = 1_000.0

_encode: Final = msgspec.msgpack.Encoder().encode


class StateCopy:
    """Copy of the state at one agent; times are monotonic, in seconds."""

    def __init__(self, sender: str, rng: random.Random) -> None:
        """Start without a copy; ``sender`` goes into the states it gives."""
        self.size = 0
        self._sender = sender
        self._rng = rng
        self._store = ViewStore()
        self._is_held = False
        self._due = math.inf
        self._fetched_at = -math.inf

    @property
    def state(self) -> State | None:
        """The state, None before the first copy."""
        return self._store.state(self._sender) if self._is_held else None

    def on_hello(self, now: float) -> None:
        """Record that a balancer is there from which to fetch."""
        if self._due == math.inf:
            self._due = now + self._rng.uniform(0, FIRST_DELAY_S)

    def on_version(self, name: str, version: int) -> None:
        """Record a version that exists; a newer one is fetched soon."""
        if self._store.configuration(name).version < version:
            due = self._fetched_at + max(MIN_RENEWAL_S, self._least_interval_s)
            self._due = min(self._due, due)

    def is_due(self, now: float) -> bool:
        """Return whether to fetch the state from a balancer."""
        return now >= self._due

    def on_fetched(self, now: float, state: State | None) -> None:
        """Keep a fetched state, None if the balancer did not answer."""
        self._fetched_at = now
        if state is None:
            self._due = now + MIN_RENEWAL_S * self._rng.uniform(0.5, 1)
            return
        self._store = self._merge(state)
        self.size = self._encoded_size()
        if self.size > MAX_COPY_BYTES:
            self._store = _without_targets(self._store)
            self.size = self._encoded_size()
        if self.size > MAX_COPY_BYTES:
            self._store = ViewStore()
            self.size = 0
        self._is_held = bool(self.size)
        interval_s = max(RENEWAL_S, self._least_interval_s)
        self._due = now + interval_s * self._rng.uniform(0.75, 1.25)

    @property
    def _least_interval_s(self) -> float:
        return self.size / RENEWAL_BYTES_PER_S

    def _encoded_size(self) -> int:
        return len(_encode(self._store.state(self._sender)))

    def _merge(self, state: State) -> ViewStore:
        """Return the fetched records, and newer versions that are known.

        Records that the balancer does not have any more are dropped.
        """
        merged = ViewStore()
        merged.merge_state(state)
        for name in self._store.services:
            merged.set_configuration(*self._store.configuration(name))
            merged.set_registry(*self._store.registry(name))
            merged.merge(
                member
                for member in self._store.members(name)
                if merged.member(name, member.target) is not None
            )
        merged.merge(
            balancers=(
                record
                for record in self._store.balancers
                if merged.balancer(record.name) is not None
            )
        )
        return merged


def _without_targets(store: ViewStore) -> ViewStore:
    state = store.state('')
    reduced = ViewStore()
    reduced.merge_state(state._replace(members=(), registries=()))
    return reduced
