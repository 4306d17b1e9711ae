"""State of one connection of an agent's target."""

from typing import Final

from trefoilhaven_core.connections.messages import (
    SEQUENCE_SPACE,
    Segment,
    SegmentFlag,
    is_in_sequence_window,
)
from trefoilhaven_core.membership.messages import Address

# A client's segment that arrives late acknowledges at most this much less, in
# bytes, than its target has sent. The random numbers of two targets fall into
# the same window in 0.2% of the cases.
ACKNOWLEDGED_WINDOW: Final = 1 << 23

# Sequence numbers up to half of the space ahead are later ones.
_HALF_SPACE: Final = SEQUENCE_SPACE // 2


class TrackedConnection:
    """One connection of the target; times are monotonic, in seconds.

    ``opening_sequence`` is the sequence number of the client's opening segment
    and ``first_sequence`` that of the target's accepting one, None while the
    agent has seen neither. ``balancer`` sent the latest segment, and
    ``sent_until`` is the end of the client's data. ``request`` is the latest
    segment with data, None after a response.

    ``is_counted`` means that it may be load of the target, and
    ``is_abandoned`` that its request was unanswered for too long to be load.

    The client of this target acknowledges numbers from ``window_start`` to
    ``window_end``. The end is that of the target's data, all of which passes
    the agent; the start follows it at ``ACKNOWLEDGED_WINDOW`` bytes.
    """

    __slots__ = (
        'acknowledged',
        'balancer',
        'client_closed',
        'closed_at',
        'first_sequence',
        'is_abandoned',
        'is_counted',
        'is_open',
        'opening_sequence',
        'request',
        'requested_at',
        'seen_at',
        'sent_until',
        'target_closed',
        'window_end',
        'window_start',
    )

    def __init__(self, now: float, balancer: Address | None) -> None:
        """Start before the target has accepted the connection."""
        self.acknowledged = 0
        self.balancer = balancer
        self.client_closed = False
        self.closed_at: float | None = None
        self.first_sequence: int | None = None
        self.is_abandoned = False
        self.is_counted = False
        self.is_open = False
        self.opening_sequence: int | None = None
        self.request: bytes | None = None
        self.requested_at: float | None = None
        self.seen_at = now
        self.sent_until: int | None = None
        self.target_closed = False
        self.window_end = 0
        self.window_start = 0

    @property
    def is_accepted(self) -> bool:
        """Whether the target has accepted the connection."""
        return self.is_open or self.first_sequence is not None

    def is_chosen(self, acknowledged: int) -> bool:
        """Return whether the client chose this target.

        Its acknowledgement number shows which of several targets that
        accepted the connection it chose. Without the first sequence number,
        the connection is either older than the agent or not accepted yet.
        """
        if self.first_sequence is None:
            return self.is_open
        span = (self.window_end - self.window_start) % SEQUENCE_SPACE
        return is_in_sequence_window(acknowledged, self.window_start, span)

    def accept(self, segment: Segment) -> None:
        """Record the target's accepting segment, or a repetition of it."""
        if segment.sequence == self.first_sequence:
            return
        if self.opening_sequence is None:
            opening_sequence = segment.acknowledged - 1
            self.opening_sequence = opening_sequence % SEQUENCE_SPACE
        self.first_sequence = segment.sequence
        self.window_start = segment.sequence
        self.window_end = (segment.sequence + 1) % SEQUENCE_SPACE

    def is_replaced_by(self, segment: Segment) -> bool:
        """Return whether an accepting segment is of a later connection.

        The client has reused the port of an open connection, and the target
        has accepted its new one.
        """
        return self.is_open and segment.sequence != self.first_sequence

    def includes(self, segment: Segment) -> bool:
        """Return whether a client's segment is of this connection."""
        if not segment.is_opening:
            return self.is_chosen(segment.acknowledged)
        is_copy = segment.sequence == self.opening_sequence
        return is_copy and self.closed_at is None

    def extend_window(self, segment: Segment) -> None:
        """Let the client acknowledge a segment of the target.

        Retransmissions change nothing, nor do segments of a former
        connection from the same port, whose numbers are elsewhere.
        """
        is_last = bool(segment.flags & SegmentFlag.last)
        end = (segment.sequence + segment.length + is_last) % SEQUENCE_SPACE
        if self.first_sequence is None or not is_in_sequence_window(
            end, self.window_end, ACKNOWLEDGED_WINDOW
        ):
            return
        self.window_end = end
        start = (end - ACKNOWLEDGED_WINDOW) % SEQUENCE_SPACE
        if is_in_sequence_window(start, self.window_start, ACKNOWLEDGED_WINDOW):
            self.window_start = start

    def takes_new_data(self, segment: Segment) -> bool:
        """Record a client's data; return whether it is not a retransmission."""
        end = segment.sequence + segment.length
        known = self.sent_until
        if known is not None and not is_in_sequence_window(
            end, known + 1, _HALF_SPACE
        ):
            return False
        self.sent_until = end
        return True


def is_acknowledged_near(acknowledged: int, other: int) -> bool:
    """Return whether two acknowledgements may be of one connection."""
    start = other - ACKNOWLEDGED_WINDOW
    return is_in_sequence_window(acknowledged, start, 2 * ACKNOWLEDGED_WINDOW)
