"""Tracking of the connections that an agent's target holds.

The agent sees every segment to and from its target. It tracks a connection
from the delivery of the opening segment. Connections opened before the agent
started are learned from the target's segments and refusals.
"""

from collections.abc import Iterable

from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropCause,
    DropSegment,
    Effect,
    OpeningRefused,
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
from trefoilhaven_core.connections.tables import ConnectionTable
from trefoilhaven_core.connections.target_evidence import TargetEvidence
from trefoilhaven_core.connections.tracked_connections import (
    TrackedConnection,
)
from trefoilhaven_core.connections.warm_up import WarmUp
from trefoilhaven_core.membership.messages import Address


class ConnectionTracker:
    """Decides about segments to and from one target.

    ``evidence`` tells whether the target may hold connections that the agent
    does not know. Times are monotonic, in seconds.
    """

    def __init__(
        self,
        service: str,
        idle_timeout_s: float,
        warm_up: WarmUp | None = None,
    ) -> None:
        """Start without a target; connections expire when idle."""
        self.service = service
        self.accepts = False
        self.evidence = TargetEvidence()
        self.responsiveness = TargetResponsiveness()
        self.warm_up = warm_up or WarmUp()
        self._table = ConnectionTable(idle_timeout_s)
        self._probes = ProbeTable()

    def __len__(self) -> int:
        """Return the number of tracked connections, including closed ones."""
        return len(self._table)

    @property
    def has_pending_probes(self) -> bool:
        """Whether a probe of the target is undecided."""
        return bool(self._probes)

    def get(self, key: ConnectionKey) -> TrackedConnection | None:
        """Return a tracked connection, None if it is unknown."""
        return self._table.get(key)

    def load(self, now: float) -> ConnectionLoad:
        """Return the target's load."""
        return self._table.load(now)

    def set_target(self, identity: TargetIdentity, slots: int = 1) -> None:
        """Set the target that announced itself.

        Known connections stay, as a heartbeat does not show that the target
        has restarted. If it has, it refuses their segments.
        """
        self.evidence.on_announced(identity)
        self._table.set_slots(slots)

    def repeat_requests(self) -> list[Effect]:
        """Deliver the latest segments without a response again.

        A target that holds their connections takes them for retransmissions,
        and another one refuses them.
        """
        return [
            DeliverToTarget(entry.request)
            for _, entry in self._table.open_items()
            if entry.request is not None
        ]

    def on_target_gone(self) -> list[Effect]:
        """Reset all connections, since no target listens on the host.

        This also applies to an agent that started without a target: no other
        target holds the connections that the previous one held.
        """
        self.evidence.on_no_listener()
        effects: list[Effect] = [
            ResetClient(key, entry.acknowledged, ResetCause.target_gone)
            for key, entry in self._table.open_items()
            if entry.is_open
        ]
        self._table.clear()
        self._probes.clear()
        self.responsiveness.on_heard()
        self.accepts = False
        return effects

    def on_forward(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        """Deliver a client's segment from a balancer, or return it."""
        if forward.service != self.service:
            return [DropSegment(segment, DropCause.other_service)]
        entry = self._table.get(segment.key)
        if entry is not None and entry.includes(segment):
            entry.balancer = balancer
            self._table.on_client(now, entry, segment)
            if segment.is_opening and not entry.is_accepted:
                self.warm_up.on_delivered(now, segment)
            return self._deliver(now, segment)
        if segment.is_opening:
            return self._open(now, forward, segment, balancer)
        may_be_own = self.evidence.may_be_named(forward.target)
        if entry is None and may_be_own and self._may_hold(now, segment.key):
            return self._probe(now, forward, segment, balancer)
        reason = ReturnReason.not_held
        return [return_segment(balancer, forward.destination, reason, segment)]

    def on_query(
        self,
        now: float,
        query: HolderQuery,
        balancer: Address,
    ) -> list[Effect]:
        """Answer a query whether the target holds some connections."""
        answers = tuple(
            Answer(question.key, self._find_verdict(now, query, question))
            for question in query.questions
        )
        reply = HolderReply(query.service, query.target, 0, answers)
        return [SendMessage(balancer, reply)]

    def on_target_segment(self, now: float, segment: Segment) -> list[Effect]:
        """Pass on a segment of the target, or process a refusal."""
        self.responsiveness.on_heard()
        if segment.flags & SegmentFlag.refused:
            return self._on_refused(now, segment)
        effects: list[Effect] = [SendToClient(segment.key, segment.raw)]
        entry = self._table.get(segment.key)
        if entry is None:
            entry = self._table.add(now, segment.key, None)
            entry.is_open = True
            effects.extend(self._probes.accept(segment.key))
        if segment.is_accepting:
            if entry.is_replaced_by(segment):
                self._table.remove(now, segment.key)
                entry = self._table.add(now, segment.key, entry.balancer)
            effects.extend(self._on_accepting(now, segment, entry))
        self._table.on_target(now, entry, segment)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Accept the probes that the target has not refused in time.

        To be called about every 50 ms while probes are pending; a probe is
        accepted by the first call ``REFUSAL_TIMEOUT_S`` after it.
        """
        effects: list[Effect] = []
        for key in self._probes.due(now):
            entry = self._table.get(key)
            entry = entry or self._table.add(now, key, None, is_probed=True)
            entry.is_open = True
            effects.extend(self._probes.accept(key))
        return effects

    def forget(self, now: float) -> None:
        """Remove expired entries; to be called about every second."""
        self._table.forget(now)
        self._probes.forget(now)

    def _find_verdict(
        self, now: float, query: HolderQuery, question: Question
    ) -> Verdict:
        if query.service != self.service:
            return Verdict.absent
        entry = self._table.get(question.key)
        if entry is not None:
            is_chosen = entry.is_chosen(question.acknowledged)
            return Verdict.held if is_chosen else Verdict.absent
        is_own = self.evidence.may_be_named(query.target)
        if is_own and self._may_hold(now, question.key):
            return Verdict.unsure
        return Verdict.absent

    def _may_hold(self, now: float, key: ConnectionKey) -> bool:
        """Return whether the agent can't exclude that the target holds it."""
        return not (self.evidence.saw_start or self._probes.is_absent(now, key))

    def _open(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        effects: list[Effect] = []
        identity = self.evidence.identity
        is_open = self.accepts and self.responsiveness.may_open(now)
        if identity is not None and is_open and forward.destination == identity:
            cause = self.warm_up.refusal(
                now, segment, saw_start=self.evidence.saw_start
            )
            if cause is None:
                self.warm_up.on_delivered(now, segment)
                self._table.add_opening(now, segment, balancer)
                return self._deliver(now, segment)
            effects.append(OpeningRefused(segment.key, cause))
            is_open = False
        reason = ReturnReason.other_target
        if identity is None or not is_open:
            reason = ReturnReason.not_accepted
        back = return_segment(balancer, forward.destination, reason, segment)
        return [*effects, back]

    def _probe(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        probe = Probe(balancer, forward.destination, now)
        if not self._probes.add(segment.key, probe):
            return []
        return self._deliver(now, segment)

    def _deliver(self, now: float, segment: Segment) -> list[Effect]:
        self.responsiveness.on_delivered(now, segment)
        return [DeliverToTarget(segment.raw)]

    def _on_refused(self, now: float, segment: Segment) -> list[Effect]:
        entry = self._table.get(segment.key)
        if entry is None or not (segment.is_opening and entry.is_accepted):
            self._table.remove(now, segment.key)
        probe = self._probes.refuse(now, segment.key)
        if not segment.is_opening:
            self._probes.note_absent(now, segment.key)
        if probe is not None:
            reason = ReturnReason.not_held
            balancer, destination, _ = probe
            return [return_segment(balancer, destination, reason, segment)]
        if (
            entry is None
            or self.evidence.identity is None
            or entry.balancer is None
        ):
            return []
        if segment.is_opening:
            reason = ReturnReason.not_accepted
        elif entry.first_sequence is None:
            reason = ReturnReason.not_held
        else:
            # The target had accepted the connection and dropped it since.
            cause = ResetCause.target_gone
            return [ResetClient(segment.key, segment.acknowledged, cause)]
        identity = self.evidence.identity
        return [return_segment(entry.balancer, identity, reason, segment)]

    def _on_accepting(
        self, now: float, segment: Segment, entry: TrackedConnection
    ) -> Iterable[Effect]:
        is_first = entry.first_sequence is None
        entry.accept(segment)
        identity = self.evidence.identity
        if not is_first or identity is None or entry.balancer is None:
            return ()
        message = ConnectionAccepted(*identity, segment.key, self.load(now))
        return (SendMessage(entry.balancer, message),)
