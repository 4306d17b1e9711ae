"""Search for the target that holds a connection.

After a change of the fabric, another balancer of the failure domain has
sent most connections on before, and is asked first. Otherwise a balancer
that does not know a connection asks the agents of all targets that may
hold it. Agents that started after their targets are unsure; the
first waiting segment is offered to their targets, and a target that does
not hold the connection refuses it.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final

from trefoilhaven_core.connections.effects import (
    AskMember,
    AskPeer,
    DropCause,
    DropSegment,
    Effect,
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

# Agents that have not answered are asked again after this time, in seconds,
# which doubles each time. The way to another failure domain and back takes
# 8 ms; after a restart of everything, questions must not crowd out answers.
QUERY_INTERVAL_S: Final = 0.1

# Other balancers answer within 1 ms; the agents are asked after this time,
# in seconds, when one of them has ended.
PEER_TIMEOUT_S: Final = 0.02

# An offer that was neither taken nor refused was lost; it is repeated after
# this time, in seconds.
PROBE_INTERVAL_S: Final = 0.2

# A search ends after this time, in seconds; the client's next segment
# starts another one. Clients repeat after 200 ms at the earliest.
SEARCH_TIMEOUT_S: Final = 0.8

# Segments that wait for one search: a client has 16 in flight.
MAX_QUEUED_SEGMENTS: Final = 16

# Other balancers are asked where the agents are so many times as many.
MIN_AGENTS_PER_PEER: Final = 2

TargetKey = tuple[str, str]


class Search:
    """The search for the holder of one connection."""

    def __init__(
        self,
        now: float,
        segment: Segment,
        members: Iterable[Member],
        fallback_members: Iterable[Member],
        is_membership_complete: bool,
        failed_count: int = 0,
    ) -> None:
        """Start with the first segment.

        ``is_membership_complete`` tells that the lists of members are complete.

        ``members`` are asked first. ``fallback_members`` are of services that
        the route does not name now; connections stay where they are when the
        route changes, so that they are asked when the first are not it.

        ``failed_count`` is the number of members that are left out since they
        are gone for good.
        """
        self.key: ConnectionKey = segment.key
        self.is_membership_complete = is_membership_complete
        self._gone = failed_count
        self.started_at = now
        self._members = {
            (member.service, member.target): member for member in members
        }
        self._others = {
            (member.service, member.target): member
            for member in fallback_members
        }
        self._segments: deque[Segment] = deque(
            [segment], maxlen=MAX_QUEUED_SEGMENTS
        )
        self._verdicts: dict[TargetKey, Verdict] = {}
        self._ask_due = now + QUERY_INTERVAL_S
        self._ask_interval_s = QUERY_INTERVAL_S
        self._is_asked_again = False
        self._offered: dict[TargetKey, float] = {}
        self._peers: set[Address] = set()

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Segments that wait for the holder."""
        return tuple(self._segments)

    def add(self, segment: Segment) -> list[Effect]:
        """Queue another segment of the connection."""
        if len(self._segments) == MAX_QUEUED_SEGMENTS:
            return [DropSegment(segment, DropCause.queue_full)]
        self._segments.append(segment)
        return []

    def start(self, peers: Collection[Address]) -> list[Effect]:
        """Ask the other balancers, or the agents where that is less."""
        if not peers or MIN_AGENTS_PER_PEER * len(peers) > len(self._members):
            return self.ask()
        self._peers = set(peers)
        return [AskPeer(peer, self.key) for peer in peers]

    def on_peer_miss(self, peer: Address) -> list[Effect]:
        """Note that another balancer does not know the connection."""
        if peer not in self._peers:
            return []
        self._peers.discard(peer)
        return [] if self._peers else self.ask()

    def ask(self) -> list[Effect]:
        """Return questions to the members that have not answered."""
        question = Question(self.key, self._segments[0].acknowledged)
        return [
            AskMember(member, question)
            for key, member in self._members.items()
            if key not in self._verdicts
        ]

    def on_verdict(
        self, now: float, service: str, target: str, verdict: Verdict
    ) -> Member | None:
        """Note an answer; return the holder when it is known now."""
        key = (service, target)
        member = self._members.get(key)
        if member is None:
            return None
        self._verdicts[key] = verdict
        return member if verdict is Verdict.held else None

    def tick(self, now: float) -> list[Effect]:
        """Repeat questions and offer a segment to an unsure target."""
        effects: list[Effect] = []
        if self._peers:
            if now - self.started_at < PEER_TIMEOUT_S:
                return []
            self._peers.clear()
            return self.ask()
        if now >= self._ask_due:
            self._ask_interval_s *= 2
            self._ask_due = now + self._ask_interval_s
            self._is_asked_again = True
            effects.extend(self.ask())
        effects.extend(self._offer(now))
        return effects

    def ask_fallback_members(self, now: float) -> list[Effect]:
        """Go on with the members that were left out at first."""
        if not self._others or not self.is_absent():
            return []
        self._members |= self._others
        self._others = {}
        self._ask_due = now + QUERY_INTERVAL_S
        self._ask_interval_s = QUERY_INTERVAL_S
        return self.ask()

    def is_absent(self) -> bool:
        """Tell whether every asked member said that it is not the holder."""
        return bool(self._members) and all(
            self._verdicts.get(key) is Verdict.absent for key in self._members
        )

    def pending(self) -> str:
        """Return the members without a definite answer, as text."""
        return ','.join(
            f'{key[1]}:{verdict.name if verdict else "silent"}'
            for key in self._members
            if (verdict := self._verdicts.get(key)) is not Verdict.absent
        )

    def drops(self) -> list[Effect]:
        """Return the drops of all segments of a search without a result."""
        return [
            DropSegment(segment, DropCause.not_found, self.pending())
            for segment in self._segments
        ]

    def reset(self) -> ResetClient:
        """Return the reset of a connection that no target holds."""
        latest = self._segments[-1]
        detail = f'{len(self._members)} targets asked, {self._gone} gone'
        return ResetClient(
            self.key, latest.acknowledged, ResetCause.not_held, detail
        )

    def _offer(self, now: float) -> list[Effect]:
        """Offer the first segment to all unsure targets together.

        The holder is among them, unless its agent is silent, and the
        others refuse the segment.
        """
        if not self._is_rest_known():
            return []
        effects: list[Effect] = []
        for key, verdict in self._verdicts.items():
            is_due = (
                now - self._offered.get(key, -PROBE_INTERVAL_S)
                >= PROBE_INTERVAL_S
            )
            if verdict is not Verdict.unsure or not is_due:
                continue
            self._offered[key] = now
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
        """Tell whether all members answered or were asked twice."""
        return self._is_asked_again or len(self._verdicts) == len(self._members)
