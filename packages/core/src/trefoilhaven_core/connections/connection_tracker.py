"""Connections that the target beside an agent holds.

The agent sees every segment to and from its target. It knows a
connection from the moment when it delivers the opening segment, and
learns those of before its own start from the target's segments and from
what the target refuses.
"""

from collections.abc import Iterable

from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropCause,
    DropSegment,
    Effect,
    ResetCause,
    ResetClient,
    SendMessage,
    SendToClient,
    return_segment,
)
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionAccepted,
    ConnectionKey,
    ConnectionLoad,
    HolderQuery,
    HolderReply,
    Question,
    ReturnReason,
    Segment,
    SegmentFlag,
    SegmentForward,
    TargetIdentity,
    Verdict,
)
from trefoilhaven_core.connections.probes import Probe, ProbeTable
from trefoilhaven_core.connections.responsiveness import TargetResponsiveness
from trefoilhaven_core.connections.tables import (
    ConnectionTable,
    TrackedConnection,
)
from trefoilhaven_core.membership.messages import Address


class ConnectionTracker:
    """Decides about segments to and from one target.

    ``saw_start`` tells that the agent has seen the target from its start,
    so that connections which it does not know are not the target's, and
    ``has_no_listener`` that no target listens on the host.
    """

    def __init__(self, service: str, idle_timeout_s: float) -> None:
        """Start without connections and without a target."""
        self.service = service
        self.identity: TargetIdentity | None = None
        self.saw_start = False
        self.accepts = False
        self.has_no_listener = False
        self._silence = TargetResponsiveness()
        self._table = ConnectionTable(idle_timeout_s)
        self._offers = ProbeTable()

    def __len__(self) -> int:
        """Return the number of known connections, closed ones included."""
        return len(self._table)

    @property
    def has_pending_probes(self) -> bool:
        """Whether the target has not answered an offered segment yet."""
        return bool(self._offers)

    def is_silent(self, now: float) -> bool:
        """Tell whether the target has left an opening unanswered."""
        return self._silence.is_silent(now)

    def mute_s(self, now: float) -> float:
        """Return how long the target has left segments unanswered."""
        return self._silence.mute_s(now)

    def load(self, now: float) -> ConnectionLoad:
        """Return the target's load."""
        return self._table.load(now)

    def set_target(
        self, identity: TargetIdentity, saw_start: bool
    ) -> list[Effect]:
        """Take the target that announced itself.

        Connections of an earlier incarnation are reset.
        """
        effects: list[Effect] = []
        if self.identity is not None and identity != self.identity:
            effects = self.on_target_gone()
        if identity != self.identity:
            self.saw_start = saw_start
        self.identity = identity
        self.has_no_listener = False
        return effects

    def on_target_gone(self) -> list[Effect]:
        """Reset all connections, since nothing listens for the target.

        An agent that has started beside no target learns it in this way
        too: nobody else holds what its predecessor's target held.
        """
        self.has_no_listener = True
        effects: list[Effect] = [
            ResetClient(key, held.acknowledged, ResetCause.target_gone)
            for key, held in self._table.open_items()
        ]
        self._table.clear()
        self._offers.clear()
        self._silence.on_heard()
        self.accepts = False
        return effects

    def on_forward(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        """Decide about a client's segment that came from a balancer."""
        if forward.service != self.service:
            return [DropSegment(segment, DropCause.other_service)]
        held = self._table.get(segment.key)
        if held is not None and segment.is_opening and held.closed_at:
            # The client uses the port again for a new connection.
            self._table.remove(segment.key)
            held = None
        if held is not None and (
            segment.is_opening or held.is_chosen(segment.acknowledged)
        ):
            held.balancer = balancer
            self._table.on_client(now, held, segment)
            return self._deliver(now, segment)
        if segment.is_opening:
            return self._open(now, forward, segment, balancer)
        is_meant = self._is_meant(forward.target)
        if held is None and is_meant and self._may_hold(now, segment.key):
            return self._offer(now, forward, segment, balancer)
        reason = ReturnReason.not_held
        return [return_segment(balancer, forward.destination, reason, segment)]

    def on_query(
        self,
        now: float,
        query: HolderQuery,
        balancer: Address,
    ) -> list[Effect]:
        """Answer whether the target holds some connections."""
        answers = tuple(
            Answer(question.key, self._judge(now, query, question))
            for question in query.questions
        )
        reply = HolderReply(query.service, query.target, 0, answers)
        return [SendMessage(balancer, reply)]

    def on_target_segment(self, now: float, segment: Segment) -> list[Effect]:
        """Decide about a segment that the target sent."""
        self._silence.on_heard()
        if segment.flags & SegmentFlag.refused:
            return self._on_refused(now, segment)
        effects: list[Effect] = [SendToClient(segment.key, segment.raw)]
        held = self._table.get(segment.key)
        if held is None:
            held = self._table.add(now, segment.key, None)
            held.is_open = True
            effects.extend(self._offers.accept(segment.key))
        if segment.is_accepting:
            effects.extend(self._on_accepting(now, segment, held))
        self._table.on_target(now, held, segment)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Take what was offered and not refused as the target's."""
        effects: list[Effect] = []
        for key in self._offers.due(now):
            held = self._table.get(key) or self._table.add(now, key, None)
            held.is_open = True
            effects.extend(self._offers.accept(key))
        return effects

    def forget(self, now: float) -> None:
        """Drop old connections and verdicts; call it about every second."""
        self._table.forget(now)
        self._offers.forget(now)

    def _judge(
        self, now: float, query: HolderQuery, question: Question
    ) -> Verdict:
        if query.service != self.service or not self._is_meant(query.target):
            return Verdict.absent
        held = self._table.get(question.key)
        if held is not None:
            is_chosen = held.is_chosen(question.acknowledged)
            return Verdict.held if is_chosen else Verdict.absent
        if self._may_hold(now, question.key):
            return Verdict.unsure
        return Verdict.absent

    def _is_meant(self, target: str) -> bool:
        """Tell whether a name may be that of the target beside the agent.

        The host of a target that left may have passed to another one.
        """
        return self.identity is None or self.identity.target == target

    def _may_hold(self, now: float, key: ConnectionKey) -> bool:
        """Tell whether only the target knows if it holds a connection."""
        if self.saw_start or self.has_no_listener:
            return False
        return not self._offers.is_absent(now, key)

    def _open(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        identity = self.identity
        is_open = self.accepts and self._silence.may_open(now)
        if identity is None or not is_open:
            reason = ReturnReason.not_accepted
            return [
                return_segment(balancer, forward.destination, reason, segment)
            ]
        if forward.destination != identity:
            reason = ReturnReason.other_target
            return [
                return_segment(balancer, forward.destination, reason, segment)
            ]
        held = self._table.add(now, segment.key, balancer)
        self._table.on_client(now, held, segment)
        return self._deliver(now, segment)

    def _offer(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        offer = Probe(balancer, forward.destination, now)
        if not self._offers.add(segment.key, offer):
            return []
        return self._deliver(now, segment)

    def _deliver(self, now: float, segment: Segment) -> list[Effect]:
        self._silence.on_delivered(now, segment)
        return [DeliverToTarget(segment.raw)]

    def _on_refused(self, now: float, segment: Segment) -> list[Effect]:
        held = self._table.remove(segment.key)
        offer = self._offers.refuse(segment.key)
        if not segment.is_opening:
            self._offers.note_absent(now, segment.key)
        if offer is not None:
            reason = ReturnReason.not_held
            return [
                return_segment(
                    offer.balancer, offer.destination, reason, segment
                )
            ]
        if held is None or self.identity is None or held.balancer is None:
            return []
        if segment.is_opening:
            reason = ReturnReason.not_accepted
        elif held.first_sequence is None:
            reason = ReturnReason.not_held
        else:
            # The target accepted the connection itself and dropped it.
            cause = ResetCause.target_gone
            return [ResetClient(segment.key, segment.acknowledged, cause)]
        return [return_segment(held.balancer, self.identity, reason, segment)]

    def _on_accepting(
        self, now: float, segment: Segment, held: TrackedConnection
    ) -> Iterable[Effect]:
        is_first = held.first_sequence is None
        held.first_sequence = segment.sequence
        identity = self.identity
        if not is_first or identity is None or held.balancer is None:
            return ()
        message = ConnectionAccepted(*identity, segment.key, self.load(now))
        return (SendMessage(held.balancer, message),)
