"""Batching of queries about connections.

After the fabric has redistributed connections, or after a power loss of the
whole system, hundreds of connections are searched for at once, each at dozens
of agents. One datagram per question would take more processor time than a
small host has: answers would come too late, and every client would
retransmit.
"""

from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple, TypeVar

from trefoilhaven_core.connections.effects import QueryMember, QueryPeer
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    HolderQuery,
    Question,
    RouteQuery,
)
from trefoilhaven_core.membership.messages import Address, Member

# Questions are collected for at least this time, in seconds.
MIN_BATCH_DELAY_S: Final = 0.003

# Processor time in seconds that a datagram and its answer take on one core,
# and the share of the processor that queries may use; the rest is left to
# segments.
DATAGRAM_COST_S: Final = 0.00015
QUERY_PROCESSOR_SHARE: Final = 0.5

# The next batch is delayed by this time, in seconds, for each datagram of a
# batch, if the processor time of the host is not known.
DATAGRAM_PAUSE_S: Final = 0.002

# Limits of the questions in a datagram to an agent and of the keys in a
# datagram to another balancer, whose reply is longer than the query. Both
# keep datagrams below 1,400 bytes.
MAX_QUERY_QUESTIONS: Final = 40
MAX_ROUTE_QUERY_KEYS: Final = 18

_Item = TypeVar('_Item')


class OutgoingDatagram(NamedTuple):
    """A datagram to send."""

    address: Address
    message: HolderQuery | RouteQuery


class QuestionBatch:
    """Collects the questions of all searches; times are in seconds."""

    def __init__(self, pause_s: float = DATAGRAM_PAUSE_S) -> None:
        """Start empty; ``pause_s`` delays the next batch for each datagram."""
        self._pause_s = pause_s
        self._members: dict[Member, dict[ConnectionKey, Question]] = {}
        self._peers: dict[Address, dict[ConnectionKey, None]] = {}
        self._due = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether no question is pending."""
        return not self._members and not self._peers

    def add(self, effect: QueryMember | QueryPeer) -> None:
        """Add a question; it replaces a pending one about the connection."""
        if isinstance(effect, QueryPeer):
            self._peers.setdefault(effect.address, {})[effect.key] = None
        else:
            questions = self._members.setdefault(effect.member, {})
            questions[effect.question.key] = effect.question

    def delay_s(self, now: float) -> float:
        """Return the time until the batch is to be sent."""
        return max(MIN_BATCH_DELAY_S, self._due - now)

    def take(self, now: float) -> list[OutgoingDatagram]:
        """Remove all questions and return them as datagrams."""
        taken = list(self._datagrams())
        self._members = {}
        self._peers = {}
        self._due = now + self._pause_s * len(taken)
        return taken

    def _datagrams(self) -> Iterator[OutgoingDatagram]:
        for member, questions in self._members.items():
            for part in _parts(list(questions.values()), MAX_QUERY_QUESTIONS):
                query = HolderQuery(member.service, member.target, part)
                yield OutgoingDatagram(member.control, query)
        for address, keys in self._peers.items():
            for part_keys in _parts(list(keys), MAX_ROUTE_QUERY_KEYS):
                yield OutgoingDatagram(address, RouteQuery(part_keys))


def datagram_pause_s(processor_cores: float) -> float:
    """Return the pause for each datagram on a host, in seconds.

    ``processor_cores`` is the processor time of the process in cores, for
    example 0.5 for half a core.
    """
    return DATAGRAM_COST_S / (QUERY_PROCESSOR_SHARE * processor_cores)


def _parts(items: Sequence[_Item], size: int) -> Iterator[tuple[_Item, ...]]:
    for start in range(0, len(items), size):
        yield tuple(items[start : start + size])
