"""Search for the target that holds a connection.

After the fabric has redistributed connections, another balancer of the
failure domain has usually routed a connection before, and the balancers are
queried first. Otherwise the agents of all targets that may hold the
connection are queried. An agent that started after its target answers
``unsure``. Its target is probed with the first queued segment, which it
refuses unless it holds the connection.
"""

from collections import deque
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from trefoilhaven_core.connections.effects import (
    DropCause,
    DropSegment,
    Effect,
    QueryMember,
    QueryPeer,
    ResetCause,
    ResetClient,
    SendMessage,
)
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    Question,
    Segment,
    SegmentForward,
    Verdict,
)
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
# a new one. Clients retransmit after 200 ms at the earliest.
SEARCH_TIMEOUT_S: Final = 0.8

# Segments queued for one search; a client has up to 16 in flight.
MAX_QUEUED_SEGMENTS: Final = 16

# Other balancers are queried first only if there are at least this many
# agents for each of them.
MIN_AGENTS_PER_PEER: Final = 2

# Targets named in one log line, which bounds its length.
MAX_NAMED_TARGETS: Final = 8

TargetKey = tuple[str, str]


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
        failed_members: Sequence[Member] = (),
    ) -> None:
        """Start with the first segment.

        ``members`` are queried first, and ``fallback_members`` if none of
        them holds the connection. The latter belong to services that the
        route does not name: open connections stay at their targets when a
        route changes.

        ``is_membership_complete`` means that both lists are complete.
        ``failed_members`` are left out of them, since their agents have
        failed permanently. ``members_revision`` is that of the members when
        they were read.
        """
        self.key: ConnectionKey = segment.key
        self.is_membership_complete = is_membership_complete
        self._failed_members = failed_members
        self.members_revision = 0
        self.started_at = now
        self._members = {
            (member.service, member.target): member for member in members
        }
        self._fallback_members = {
            (member.service, member.target): member
            for member in fallback_members
        }
        self._segments: deque[Segment] = deque(
            [segment], maxlen=MAX_QUEUED_SEGMENTS
        )
        self._verdicts: dict[TargetKey, Verdict] = {}
        self._query_due = now + QUERY_INTERVAL_S
        self._query_interval_s = QUERY_INTERVAL_S
        self._is_repeated = False
        self._probed_at: dict[TargetKey, float] = {}
        self._peers: set[Address] = set()
        self._named: set[TargetKey] = set()

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Segments queued until the holder is known."""
        return tuple(self._segments)

    def add(self, segment: Segment) -> list[Effect]:
        """Queue a segment; drop it if the queue is full."""
        if len(self._segments) == MAX_QUEUED_SEGMENTS:
            return [DropSegment(segment, DropCause.queue_full)]
        self._segments.append(segment)
        return []

    def start(self, peers: Collection[Address]) -> list[Effect]:
        """Query the other balancers first, or the agents.

        The agents are queried at once if there are fewer than
        ``MIN_AGENTS_PER_PEER`` of them for each other balancer.
        """
        if not peers or MIN_AGENTS_PER_PEER * len(peers) > len(self._members):
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
        question = Question(self.key, self._segments[0].acknowledged)
        return [
            QueryMember(member, question)
            for key, member in self._members.items()
            if key not in self._verdicts
        ]

    def on_verdict(
        self, now: float, service: str, target: str, verdict: Verdict
    ) -> Member | None:
        """Record an agent's answer; return the member if it is the holder."""
        key = (service, target)
        member = self._members.get(key)
        if member is None:
            return None
        self._verdicts[key] = verdict
        return member if verdict is Verdict.held else None

    def tick(self, now: float) -> list[Effect]:
        """Repeat unanswered queries and probe the unsure targets."""
        effects: list[Effect] = []
        if self._peers:
            if now - self.started_at < PEER_TIMEOUT_S:
                return []
            self._peers.clear()
            return self.query()
        if now >= self._query_due:
            self._query_interval_s *= 2
            self._query_due = now + self._query_interval_s
            self._is_repeated = True
            effects.extend(self.query())
        effects.extend(self._probe(now))
        return effects

    def add_members(
        self,
        now: float,
        members: Iterable[Member],
        fallback_members: Iterable[Member],
    ) -> list[Effect]:
        """Add members that became known since the start; query the first."""
        for member in members:
            key = (member.service, member.target)
            self._fallback_members.pop(key, None)
            self._members.setdefault(key, member)
        for member in fallback_members:
            key = (member.service, member.target)
            if key not in self._members:
                self._fallback_members[key] = member
        return self._query_again(now)

    def query_fallback_members(self, now: float) -> list[Effect]:
        """Query the fallback members if no other member is the holder."""
        if not self._fallback_members or not self.is_absent():
            return []
        self._members |= self._fallback_members
        self._fallback_members = {}
        return self._query_again(now)

    def is_absent(self) -> bool:
        """Return whether every queried member is known not to be the holder."""
        return bool(self._members) and all(
            self._verdicts.get(key) is Verdict.absent for key in self._members
        )

    def is_named_target_unknown(self) -> bool:
        """Return whether a peer named a target that was not queried."""
        return not self._named <= self._members.keys()

    def pending(self) -> str:
        """Return the members without a definite answer, as log text."""
        return ','.join(
            f'{key[1]}:{verdict.name if verdict else "silent"}'
            for key in self._members
            if (verdict := self._verdicts.get(key)) is not Verdict.absent
        )

    def drops(self) -> list[Effect]:
        """Return a drop of each queued segment, for a failed search."""
        detail = self.pending() or 'the list of targets was not confirmed'
        return [
            DropSegment(segment, DropCause.not_found, detail)
            for segment in self._segments
        ]

    def reset(self) -> ResetClient:
        """Return the reset of the client, as no target holds the connection."""
        latest = self._segments[-1]
        failed = [member.target for member in self._failed_members]
        detail = f'{len(self._members)} targets asked, {len(failed)} gone'
        if failed:
            named = ','.join(failed[:MAX_NAMED_TARGETS])
            detail = f'{detail}: {named}'
        return ResetClient(
            self.key, latest.acknowledged, ResetCause.not_held, detail
        )

    def _query_again(self, now: float) -> list[Effect]:
        """Query the members that have not answered; restart the interval."""
        self._query_due = now + QUERY_INTERVAL_S
        self._query_interval_s = QUERY_INTERVAL_S
        return self.query()

    def _probe(self, now: float) -> list[Effect]:
        """Probe all unsure targets at once with the first segment.

        Unless the agent of the holder did not answer, the holder is one of
        them; the others refuse the segment.
        """
        if not self._is_rest_known():
            return []
        effects: list[Effect] = []
        for key, verdict in self._verdicts.items():
            is_due = (
                now - self._probed_at.get(key, -PROBE_INTERVAL_S)
                >= PROBE_INTERVAL_S
            )
            if verdict is not Verdict.unsure or not is_due:
                continue
            self._probed_at[key] = now
            member = self._members[key]
            forward = SegmentForward(
                member.service,
                member.target,
                member.incarnation,
                is_probe=True,
                raw=self._segments[0].raw,
            )
            effects.append(SendMessage(member.control, forward))
        return effects

    def _is_rest_known(self) -> bool:
        """Return whether all members have answered or were queried twice."""
        return self._is_repeated or len(self._verdicts) == len(self._members)
