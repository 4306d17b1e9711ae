"""Sources from which a balancer that starts fetches the state.

Other balancers and agents offer it. The state of a balancer has all targets;
an agent has a copy, which may lack some.
"""

import math
import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
    State,
)

# Agents name themselves with this prefix, which no balancer has.
AGENT_PREFIX: Final = 'agent '

# Limit of the offers that are kept.
MAX_OFFERS: Final = 64

# Time between two agents that are asked for an offer, in seconds. A balancer
# that knows nobody hears an agent about every 20 ms.
ASK_INTERVAL_S: Final = 0.02

# Copies of this number of agents are fetched: one of them may be old, or
# lack a target.
MAX_COPIES: Final = 3

# Time after which a source that failed may be used again, in seconds. It
# doubles with each failure: after a loss of all gateways none has the state.
RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 8.0

# Time in which a source has to answer, in seconds. It doubles with each
# failure, since a large state takes longer. With 0.3 s, two hosts without
# power among the sources delay the start by more than its 0.3 s.
FETCH_TIMEOUT_S: Final = 0.1
MAX_FETCH_TIMEOUT_S: Final = 2.0

# Both limits are reached after at most this number of failures.
_MAX_DOUBLINGS: Final = 5


class Source(NamedTuple):
    """A process that has the state, and where it serves it."""

    name: str
    address: Address

    @property
    def is_agent(self) -> bool:
        """Whether the state is an agent's copy."""
        return self.name.startswith(AGENT_PREFIX)


def agent_sender(name: str) -> str:
    """Return the sender of the messages of an agent about the state."""
    return f'{AGENT_PREFIX}{name}'


def is_whole(state: State) -> bool:
    """Return whether a state is of a balancer, which lists itself."""
    return any(record.name == state.sender for record in state.balancers)


class _Failures(NamedTuple):
    latest: float
    failed: int


class StateSources:
    """Decides which source one balancer uses next, until it is complete.

    Times are monotonic, in seconds.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        """Start without sources; ``name`` is that of the balancer itself."""
        self.is_complete = False
        self._name = name
        self._rng = rng
        self._asked_at = -ASK_INTERVAL_S
        self._copies = 0
        self._offers: dict[Address, Source] = {}
        self._failures: dict[Address, _Failures] = {}
        self._used_copies: set[Address] = set()

    def on_offer(self, sender: str, address: Address) -> None:
        """Record an offer; those beyond a limit are dropped.

        A source that failed before has the state now.
        """
        if not self.is_complete and len(self._offers) < MAX_OFFERS:
            self._offers[address] = Source(sender, address)
            failures = self._failures.get(address)
            if failures is not None:
                self._failures[address] = failures._replace(latest=-math.inf)

    def should_ask(self, now: float) -> bool:
        """Return whether to ask an agent that has reported for an offer."""
        if self.is_complete or self._copies >= MAX_COPIES:
            return False
        if now - self._asked_at < ASK_INTERVAL_S:
            return False
        self._asked_at = now
        return True

    def next_source(
        self, now: float, balancers: Iterable[BalancerRecord]
    ) -> Source | None:
        """Return the source to use next, None if there is none now.

        A first copy of an agent makes this balancer usable. Then the
        balancers that offered come first, then further copies until
        ``MAX_COPIES`` were used, then the balancers that are known.
        """
        if self.is_complete:
            return None
        offers = [
            offer
            for offer in self._offers.values()
            if self._is_usable(now, offer)
        ]
        is_first = not self._copies
        offers.sort(key=lambda offer: offer.is_agent is not is_first)
        if offers:
            return offers[0]
        known = [
            Source(record.name, record.rpc)
            for record in balancers
            if record.name != self._name and record.state < MemberState.dead
        ]
        usable = [each for each in known if self._is_usable(now, each)]
        return self._rng.choice(usable) if usable else None

    def on_failure(self, now: float, source: Source) -> None:
        """Record that a source did not answer, or has no state itself."""
        self._offers.pop(source.address, None)
        known = self._failures.get(source.address)
        failed = known.failed + 1 if known else 1
        self._failures[source.address] = _Failures(now, failed)

    def timeout_s(self, source: Source) -> float:
        """Return the time in which a source has to answer, in seconds."""
        known = self._failures.get(source.address)
        failures = min(known.failed, _MAX_DOUBLINGS) if known else 0
        return min(FETCH_TIMEOUT_S * 2**failures, MAX_FETCH_TIMEOUT_S)

    def on_copy(self, source: Source) -> None:
        """Record that an agent's copy was fetched."""
        self._copies += 1
        self._offers.pop(source.address, None)
        self._used_copies.add(source.address)

    def on_complete(self) -> None:
        """Record that the list of targets is complete."""
        self.is_complete = True
        self._offers.clear()
        self._failures.clear()
        self._used_copies.clear()

    def _is_usable(self, now: float, source: Source) -> bool:
        if source.is_agent and (
            self._copies >= MAX_COPIES or source.address in self._used_copies
        ):
            return False
        known = self._failures.get(source.address)
        if known is None:
            return True
        doublings = min(known.failed - 1, _MAX_DOUBLINGS)
        return now - known.latest >= min(RETRY_S * 2**doublings, MAX_RETRY_S)
