"""Search for the target that holds a connection.

After the fabric has redistributed connections, another balancer of the
failure domain has usually routed a connection before, and the balancers are
queried first. Otherwise the agents of all targets that may hold the
connection are queried. An agent that started after its target answers
``unsure``. Its target is probed with the first queued segment, which it
refuses unless it holds the connection.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final

from trefoilhaven_core.connections.effects import (
    DropCause,
    DropSegment,
    Effect,
    QueryMember,
    QueryPeer,
    ResetCause,
    ResetClient,
    probe_member,
)
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    Question,
    Segment,
    Verdict,
)
from trefoilhaven_core.connections.queried_members import (
    QueriedMembers,
    TargetKey,
    target_key,
)
from trefoilhaven_core.connections.segment_queues import SegmentQueue
from trefoilhaven_core.membership.messages import Address, Member

# Agents that have not answered are queried again after this time, in seconds,
# which doubles each time. The round trip to another failure domain takes
# 8 ms; after a restart of the whole system, queries must not crowd out
# replies.
QUERY_INTERVAL_S: Final = 0.1

# Other balancers answer within 1 ms. If one of them has ended and does not
# answer, the agents are queried after this time, in seconds.
PEER_TIMEOUT_S: Final = 0.02

# A probe that was neither accepted nor refused was lost; it is repeated after
# this time, in seconds.
PROBE_INTERVAL_S: Final = 0.2

# A search ends after this time, in seconds; the client's next segment starts
# a new one. The pause until then relieves agents and balancers that are
# overloaded by searches. Clients retransmit after 200 ms at the earliest.
SEARCH_TIMEOUT_S: Final = 0.8

# A target whose agent has failed is asked last. If the agent does not answer
# within this time, in seconds, the target is taken to have ended.
FAILED_AGENT_TIMEOUT_S: Final = 0.1

# Other balancers are queried first only if there are at least this many
# agents for each of them.
MIN_AGENTS_PER_PEER: Final = 2


class Search:
    """A search for the target that holds one connection.

    Times are monotonic, in seconds.
    """

    def __init__(
        self,
        now: float,
        segment: Segment,
        members: Iterable[Member],
        fallback_members: Iterable[Member],
        is_membership_complete: bool,
        members_revision: int = 0,
        likely_members: Collection[Member] = (),
    ) -> None:
        """Start with the first segment.

        ``members`` are queried first, and ``fallback_members`` if none of
        them holds the connection. The latter belong to services that the
        route does not name: open connections stay at their targets when a
        route changes. Of ``members``, only ``likely_members`` are queried at
        once, if there are any; the others when those deny the connection, or
        when one does not answer in time.

        ``is_membership_complete`` means that both lists are complete.
        ``members_revision`` is that of the members when they were read, and
        ``is_repeated`` is set after the first repetition of the queries.
        """
        self.key: ConnectionKey = segment.key
        self.is_membership_complete = is_membership_complete
        self.members_revision = members_revision
        self.started_at = now
        self.has_queried_failed = False
        self.is_repeated = False
        self._other_members = {target_key(member): member for member in members}
        first = tuple(likely_members) or tuple(self._other_members.values())
        for member in first:
            self._other_members.pop(target_key(member), None)
        self._members = QueriedMembers(first)
        self._fallback_members = {
            target_key(member): member for member in fallback_members
        }
        self.queue = SegmentQueue(segment)
        self._failed_due = math.inf
        self._query_due = now + QUERY_INTERVAL_S
        self._query_interval_s = QUERY_INTERVAL_S
        self._probed_at: dict[Member, float] = {}
        self._peers: set[Address] = set()
        self._named: set[TargetKey] = set()

    def start(self, peers: Collection[Address]) -> list[Effect]:
        """Query the other balancers first, or the agents.

        The agents are queried at once if there are fewer than
        ``MIN_AGENTS_PER_PEER`` of them for each other balancer.
        """
        agents = len(self._members) + len(self._other_members)
        if not peers or MIN_AGENTS_PER_PEER * len(peers) > agents:
            return self.query()
        self._peers = set(peers)
        return [QueryPeer(peer, self.key) for peer in peers]

    def on_peer_miss(self, peer: Address) -> list[Effect]:
        """Record that another balancer does not know the connection."""
        if peer not in self._peers:
            return []
        self._peers.discard(peer)
        return [] if self._peers else self.query()

    def on_unknown_target(self, service: str, target: str) -> None:
        """Record that a peer names a target that is not a member here."""
        self._named.add((service, target))

    def query(self) -> list[Effect]:
        """Return queries to the members that have not answered."""
        question = Question(self.key, self.queue.first.acknowledged)
        return [
            QueryMember(member, question)
            for member in self._members.unanswered()
        ]

    def on_verdict(
        self, key: TargetKey, verdict: Verdict, agent: Address | None = None
    ) -> Member | None:
        """Record an agent's answer; return the member if it is the holder."""
        return self._members.on_verdict(key, verdict, agent)

    def tick(self, now: float) -> list[Effect]:
        """Repeat unanswered queries and probe the unsure targets."""
        effects: list[Effect] = []
        if self._peers:
            if now - self.started_at < PEER_TIMEOUT_S:
                return []
            self._peers.clear()
            return self.query()
        if now >= self._failed_due:
            self._failed_due = math.inf
            self._members.excuse_failed()
        if now >= self._query_due:
            self._query_interval_s *= 2
            self._query_due = now + self._query_interval_s
            self.is_repeated = True
            effects.extend(self.query())
        effects.extend(self._probe(now))
        return effects

    def add_members(
        self,
        now: float,
        members: Iterable[Member],
        fallback_members: Iterable[Member],
    ) -> list[Effect]:
        """Query members that became known or have restarted meanwhile."""
        for member in members:
            self._fallback_members.pop(target_key(member), None)
            self._other_members.pop(target_key(member), None)
            self._members.add(member)
        for member in fallback_members:
            key = target_key(member)
            if key in self._members:
                self._members.add(member)
            else:
                self._fallback_members[key] = member
        return self._query_again(now)

    def query_other_members(self, now: float) -> list[Effect]:
        """Query the members that are unlikely to hold the connection.

        Returns nothing before the likely ones have denied it, or the queries
        have been repeated.
        """
        if not self._other_members or not (
            self.is_repeated or self.is_absent()
        ):
            return []
        for member in self._other_members.values():
            self._members.add(member)
        self._other_members = {}
        return self._query_again(now)

    def query_fallback_members(self, now: float) -> list[Effect]:
        """Query the fallback members if no other member is the holder."""
        if not self._fallback_members or not self.is_absent():
            return []
        for member in self._fallback_members.values():
            self._members.add(member)
        self._fallback_members = {}
        return self._query_again(now)

    def query_failed_members(
        self, now: float, members: Iterable[Member]
    ) -> list[Effect]:
        """Query the members whose agents seem to have failed.

        Those that do not answer within ``FAILED_AGENT_TIMEOUT_S`` are taken
        to have ended.
        """
        self.has_queried_failed = True
        self._members.add_failed(members)
        self._failed_due = now + FAILED_AGENT_TIMEOUT_S
        return self._query_again(now)

    def excuse(self, members: Iterable[Member]) -> None:
        """Stop waiting for agents that have failed during the search."""
        self._members.note_failed(members)
        self._members.excuse_failed()

    def is_over(self, now: float) -> bool:
        """Return whether the search has taken too long."""
        return now - self.started_at >= SEARCH_TIMEOUT_S

    def is_absent(self) -> bool:
        """Return whether every queried member is known not to be the holder."""
        return self._members.are_absent()

    def is_named_target_unknown(self) -> bool:
        """Return whether a peer named a target that was not queried."""
        return any(key not in self._members for key in self._named)

    def drops(self, unconfirmed: Collection[str] = ()) -> list[Effect]:
        """Return a drop of each queued segment, for a failed search.

        ``unconfirmed`` names the peers that have not confirmed the list.
        """
        peers = ','.join(unconfirmed)
        detail = self._members.pending_text() or (
            f'the list of targets was not confirmed by {peers}'
        )
        return [
            DropSegment(segment, DropCause.not_found, detail)
            for segment in self.queue.segments
        ]

    def reset(self) -> ResetClient:
        """Return the reset of the client, as no target holds the connection."""
        latest = self.queue.latest
        return ResetClient(
            self.key,
            latest.acknowledged,
            ResetCause.not_held,
            self._members.summary_text(),
        )

    def _query_again(self, now: float) -> list[Effect]:
        """Query the members that have not answered; restart the interval."""
        self._query_due = now + QUERY_INTERVAL_S
        self._query_interval_s = QUERY_INTERVAL_S
        return self.query()

    def _probe(self, now: float) -> list[Effect]:
        """Probe all unsure targets with the first segment.

        The holder is one of them, unless its agent has not answered; the
        other members have to answer, or to be queried twice, before.
        """
        if not (self.is_repeated or self._members.are_answered()):
            return []
        effects: list[Effect] = []
        for member in self._members.unsure():
            probed_at = self._probed_at.get(member, -math.inf)
            if now - probed_at < PROBE_INTERVAL_S:
                continue
            self._probed_at[member] = now
            effects.append(probe_member(member, self.queue.first))
        return effects
