"""Connections that the target beside an agent holds.

The agent sees every segment to and from its target. It knows a
connection from the moment when it delivers the opening segment, and
learns those of before its own start from the target's segments and from
what the target refuses.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropCause,
    DropSegment,
    Effect,
    ResetCause,
    ResetClient,
    SendMessage,
    SendToClient,
)
from trefoilhaven_core.connections.messages import (
    SEQUENCE_SPACE,
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
    SegmentReturn,
    Verdict,
    follows,
)
from trefoilhaven_core.membership.messages import Address

# A client's acknowledgement lies at most this far, in bytes, behind the
# first sequence number of the target that it chose. Two targets' random
# numbers fall into one span in 0.2% of the cases.
ACKNOWLEDGED_SPAN: Final = 1 << 23

# Connections that both ends closed are kept for late copies, in seconds.
CLOSED_S: Final = 10.0

# The target refuses a segment within a few milliseconds; one that was not
# refused for this time, in seconds, belongs to it.
REFUSAL_S: Final = 0.03

# What the target refused is not offered to it again for this time, seconds.
ABSENT_S: Final = 5.0

# Numbers up to half of the sequence space ahead are later ones.
_HALF_SPACE: Final = SEQUENCE_SPACE // 2

# A target answers an opening segment within milliseconds. One that has not
# answered for this time, in seconds, gets no further ones but for trials.
SILENT_S: Final = 0.12
TRIAL_S: Final = 0.4

# Weight of a new service time in the mean.
_SERVICE_TIME_WEIGHT: Final = 0.1


class Identity(NamedTuple):
    """The target that an agent stands for."""

    service: str
    target: str
    incarnation: int


class _Held:
    """One connection of the target; times are monotonic, in seconds."""

    __slots__ = (
        'acknowledged',
        'balancer',
        'closed_at',
        'client_closed',
        'first_sequence',
        'is_open',
        'requested_at',
        'seen_at',
        'sent_until',
        'target_closed',
    )

    def __init__(self, now: float, balancer: Address | None) -> None:
        self.acknowledged = 0
        self.balancer = balancer
        self.client_closed = False
        self.closed_at: float | None = None
        self.first_sequence: int | None = None
        self.is_open = False
        self.requested_at: float | None = None
        self.seen_at = now
        self.sent_until: int | None = None
        self.target_closed = False

    def takes_new_data(self, segment: Segment) -> bool:
        """Note a client's data; tell whether it was not seen before."""
        end = segment.sequence + segment.length
        known = self.sent_until
        if known is not None and not follows(end, known + 1, _HALF_SPACE):
            return False
        self.sent_until = end
        return True


class _Probe(NamedTuple):
    """A segment of an unknown connection that was offered to the target."""

    balancer: Address
    asked: Identity
    offered_at: float


class HeldConnections:
    """Decides about segments to and from one target.

    ``saw_start`` tells that the agent has seen the target from its start,
    so that connections which it does not know are not the target's.
    """

    def __init__(self, service: str, idle_timeout_s: float) -> None:
        """Start without connections and without a target."""
        self.service = service
        self.identity: Identity | None = None
        self.saw_start = False
        self.accepts = False
        self.idle_timeout_s = idle_timeout_s
        self._opening_at: float | None = None
        self._tried_at = -math.inf
        self._held: dict[ConnectionKey, _Held] = {}
        self._probes: dict[ConnectionKey, _Probe] = {}
        self._absent: dict[ConnectionKey, float] = {}
        self._waiting = 0
        self._service_time_s = 0.0

    def __len__(self) -> int:
        """Return the number of known connections, closed ones included."""
        return len(self._held)

    def is_silent(self, now: float) -> bool:
        """Tell whether the target has left an opening unanswered."""
        asked_at = self._opening_at
        return asked_at is not None and now - asked_at >= SILENT_S

    def load(self) -> ConnectionLoad:
        """Return the target's load."""
        open_count = sum(held.closed_at is None for held in self._held.values())
        return ConnectionLoad(open_count, self._waiting, self._service_time_s)

    def set_target(self, identity: Identity, saw_start: bool) -> list[Effect]:
        """Take the target that announced itself.

        Connections of an earlier incarnation are reset.
        """
        effects: list[Effect] = []
        if self.identity is not None and identity != self.identity:
            effects = self.on_target_gone()
        if identity != self.identity:
            self.saw_start = saw_start
        self.identity = identity
        return effects

    def on_target_gone(self) -> list[Effect]:
        """Reset all connections, since the target has ended."""
        effects: list[Effect] = [
            ResetClient(key, held.acknowledged, ResetCause.target_gone)
            for key, held in self._held.items()
            if held.closed_at is None
        ]
        self._held.clear()
        self._probes.clear()
        self._opening_at = None
        self._waiting = 0
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
        held = self._held.get(segment.key)
        if held is not None and segment.is_opening and held.closed_at:
            # The client uses the port again for a new connection.
            del self._held[segment.key]
            held = None
        if held is not None and self._matches(held, segment):
            held.balancer = balancer
            return self._deliver(now, held, segment)
        if segment.is_opening:
            return self._open(now, forward, segment, balancer)
        if held is None and self._may_hold(now, segment.key):
            return self._offer(now, forward, segment, balancer)
        reason = ReturnReason.not_held
        return [_return(balancer, _asked(forward), reason, segment)]

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
        self._opening_at = None
        if segment.flags & SegmentFlag.bounced:
            return self._on_refused(now, segment)
        effects: list[Effect] = [SendToClient(segment.key, segment.raw)]
        held = self._held.get(segment.key)
        if held is None:
            held = _Held(now, None)
            held.is_open = True
            self._held[segment.key] = held
            effects.extend(self._settle_probe(segment.key, Verdict.held))
        held.seen_at = now
        if segment.is_accepting:
            effects.extend(self._on_accepting(segment, held))
        if segment.length:
            self._on_answer(now, held)
        if segment.flags & SegmentFlag.reset:
            self._close(now, held)
        elif segment.flags & SegmentFlag.last:
            held.target_closed = True
            if held.client_closed:
                self._close(now, held)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Settle probes and forget old connections."""
        effects: list[Effect] = []
        due = [
            key
            for key, probe in self._probes.items()
            if now - probe.offered_at >= REFUSAL_S
        ]
        for key in due:
            held = self._held.setdefault(key, _Held(now, None))
            held.is_open = True
            effects.extend(self._settle_probe(key, Verdict.held))
        return effects

    def forget(self, now: float) -> None:
        """Drop closed and idle connections; call it about every second."""
        gone = [
            key for key, held in self._held.items() if self._is_over(now, held)
        ]
        for key in gone:
            held = self._held.pop(key)
            if held.requested_at is not None:
                self._waiting -= 1
        self._absent = {
            key: until for key, until in self._absent.items() if until > now
        }

    def _judge(
        self, now: float, query: HolderQuery, question: Question
    ) -> Verdict:
        if query.service != self.service:
            return Verdict.absent
        held = self._held.get(question.key)
        if held is not None:
            is_chosen = self._is_chosen(held, question.acknowledged)
            return Verdict.held if is_chosen else Verdict.absent
        if self._may_hold(now, question.key):
            return Verdict.unsure
        return Verdict.absent

    def _is_over(self, now: float, held: _Held) -> bool:
        if held.closed_at is not None:
            return now - held.closed_at >= CLOSED_S
        return now - held.seen_at >= self.idle_timeout_s

    def _may_hold(self, now: float, key: ConnectionKey) -> bool:
        """Tell whether only the target knows if it holds a connection."""
        if self.saw_start:
            return False
        return self._absent.get(key, now) <= now

    def _matches(self, held: _Held, segment: Segment) -> bool:
        if segment.is_opening:
            return True
        return self._is_chosen(held, segment.acknowledged)

    def _is_chosen(self, held: _Held, acknowledged: int) -> bool:
        first = held.first_sequence
        if first is None:
            # The agent has not seen the target accept the connection: it is
            # either older than the agent or not accepted yet.
            return held.is_open
        return follows(acknowledged, first, ACKNOWLEDGED_SPAN)

    def _open(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        identity = self.identity
        is_trial_due = now - self._tried_at >= TRIAL_S
        is_open = self.accepts and (is_trial_due or not self.is_silent(now))
        if identity is None or not is_open:
            reason = ReturnReason.not_accepted
            return [_return(balancer, _asked(forward), reason, segment)]
        if _asked(forward) != identity:
            reason = ReturnReason.other_target
            return [_return(balancer, _asked(forward), reason, segment)]
        self._tried_at = now
        if self._opening_at is None:
            self._opening_at = now
        held = _Held(now, balancer)
        self._held[segment.key] = held
        return self._deliver(now, held, segment)

    def _deliver(
        self, now: float, held: _Held, segment: Segment
    ) -> list[Effect]:
        held.seen_at = now
        if not segment.is_opening:
            held.is_open = True
            held.acknowledged = segment.acknowledged
        if segment.length and held.takes_new_data(segment):
            if held.requested_at is None:
                held.requested_at = now
                self._waiting += 1
        if segment.flags & SegmentFlag.reset:
            self._close(now, held)
        elif segment.flags & SegmentFlag.last:
            held.client_closed = True
            if held.target_closed:
                self._close(now, held)
        return [DeliverToTarget(segment.raw)]

    def _offer(
        self,
        now: float,
        forward: SegmentForward,
        segment: Segment,
        balancer: Address,
    ) -> list[Effect]:
        if segment.key in self._probes:
            # One segment at a time shows whether the target knows it.
            return []
        probe = _Probe(balancer, _asked(forward), now)
        self._probes[segment.key] = probe
        return [DeliverToTarget(segment.raw)]

    def _on_refused(self, now: float, segment: Segment) -> list[Effect]:
        held = self._held.pop(segment.key, None)
        probe = self._probes.pop(segment.key, None)
        if held is not None and held.requested_at is not None:
            self._waiting -= 1
        if not segment.is_opening:
            self._absent[segment.key] = now + ABSENT_S
        if probe is not None:
            reason = ReturnReason.not_held
            return [_return(probe.balancer, probe.asked, reason, segment)]
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
        return [_return(held.balancer, self.identity, reason, segment)]

    def _on_accepting(self, segment: Segment, held: _Held) -> Iterable[Effect]:
        is_first = held.first_sequence is None
        held.first_sequence = segment.sequence
        identity = self.identity
        if not is_first or identity is None or held.balancer is None:
            return ()
        message = ConnectionAccepted(*identity, segment.key, self.load())
        return (SendMessage(held.balancer, message),)

    def _on_answer(self, now: float, held: _Held) -> None:
        if held.requested_at is None:
            return
        taken_s = now - held.requested_at
        held.requested_at = None
        self._waiting -= 1
        if not self._service_time_s:
            self._service_time_s = taken_s
        difference_s = taken_s - self._service_time_s
        self._service_time_s += _SERVICE_TIME_WEIGHT * difference_s

    def _close(self, now: float, held: _Held) -> None:
        held.closed_at = now
        if held.requested_at is not None:
            held.requested_at = None
            self._waiting -= 1

    def _settle_probe(
        self, key: ConnectionKey, verdict: Verdict
    ) -> list[Effect]:
        probe = self._probes.pop(key, None)
        if probe is None:
            return []
        return [_reply(probe.balancer, probe.asked, key, verdict)]


def _asked(forward: SegmentForward) -> Identity:
    return Identity(forward.service, forward.target, forward.incarnation)


def _reply(
    balancer: Address, asked: Identity, key: ConnectionKey, verdict: Verdict
) -> SendMessage:
    reply = HolderReply(*asked, (Answer(key, verdict),))
    return SendMessage(balancer, reply)


def _return(
    balancer: Address, asked: Identity, reason: ReturnReason, segment: Segment
) -> SendMessage:
    message = SegmentReturn(*asked, reason, segment.raw)
    return SendMessage(balancer, message)
