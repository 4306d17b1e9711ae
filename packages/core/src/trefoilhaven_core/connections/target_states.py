"""State of one target as a balancer knows it."""

import math
from typing import Final

from trefoilhaven_core.connections.messages import ConnectionLoad
from trefoilhaven_core.connections.preferences import hash_name
from trefoilhaven_core.membership.messages import Member, MemberState

# Share of the slots by which a target that has just started counts as busier.
COLD_PENALTY: Final = 0.5

# Weight of an open connection without a request, relative to a busy one. It
# is the upper limit where the share is learned.
IDLE_WEIGHT: Final = 0.05

# Weight of one report in the moving average of the share of a target's open
# connections that have a request. A target reports 2 to 12 times per second.
BUSY_WEIGHT: Final = 0.05

# Unanswered queries to an agent that are further apart than this, in seconds,
# are not counted together: one of them may have been lost.
MAX_QUERY_GAP_S: Final = 2.0


class TargetState:
    """Record and load of a target, and what was heard of its agent.

    ``placed`` counts the connections placed since the last report that the
    target has not accepted yet. ``pending`` counts the requests that the
    target has to be expected to work on besides them, by its last load.
    ``reported_waiting`` is from the last regular report: the load that comes
    with an accepted connection shows the target at the moment at which it got
    this connection, and so as busier than it usually is. ``is_replaced`` means
    that a later target of its host has been heard. Before ``refused_until``
    the target, which is cold, gets no openings, since it returned one. Times
    are monotonic, in seconds.
    """

    __slots__ = (
        '_busy_connections_share',
        '_queried_at',
        '_unanswered_since',
        'is_cold',
        'is_replaced',
        'is_unresponsive',
        'listed_at',
        'load',
        'member',
        'name_hash',
        'pending',
        'placed',
        'refused_until',
        'reported_waiting',
        'seen_at',
    )

    def __init__(self, member: Member) -> None:
        """Start before the first report."""
        self.is_cold = False
        self.is_replaced = False
        self.is_unresponsive = False
        self.listed_at: float | None = None
        self.load = ConnectionLoad()
        self.member = member
        self.name_hash = hash_name(member.target)
        self.pending = 0.0
        self.placed = 0
        self.refused_until = -math.inf
        self.reported_waiting = 0
        self.seen_at = -math.inf
        self._busy_connections_share = IDLE_WEIGHT
        self._queried_at = -math.inf
        self._unanswered_since = math.inf

    @property
    def is_present(self) -> bool:
        """Whether the target has neither left nor been replaced."""
        return self.member.state < MemberState.left and not self.is_replaced

    @property
    def has_free_slot(self) -> bool:
        """Whether a new connection's request would not wait."""
        return self.load.waiting + self.placed < self.member.slots

    def on_heard(self, now: float) -> None:
        """Record a report of the agent, or an accepted connection."""
        self.seen_at = now
        self.on_answer()

    def on_load(self, load: ConnectionLoad) -> None:
        """Record the load that came with a report or a connection.

        Idle connections count by the share of this target's connections that
        usually have a request. Long-lived connections differ widely in it.
        """
        self.load = load
        if load.connections:
            share = min(1.0, load.waiting / load.connections)
            change = share - self._busy_connections_share
            self._busy_connections_share += BUSY_WEIGHT * change
        idle = max(0, load.connections - load.waiting)
        weight = min(IDLE_WEIGHT, self._busy_connections_share)
        self.pending = load.waiting + weight * idle

    def on_query(self, now: float) -> None:
        """Record a query to the agent while an earlier one is unanswered."""
        if now - self._queried_at > MAX_QUERY_GAP_S:
            self._unanswered_since = now
        self._queried_at = now

    def on_answer(self) -> None:
        """Record that the agent has answered a query."""
        self._queried_at = -math.inf
        self._unanswered_since = math.inf

    def silent_s(self, now: float) -> float:
        """Return the time since the last report, or since the listing."""
        listed_at = now if self.listed_at is None else self.listed_at
        return now - max(self.seen_at, listed_at)

    def unanswered_s(self, now: float) -> float:
        """Return for how long the agent has left queries unanswered."""
        if now - self._queried_at > MAX_QUERY_GAP_S:
            return 0.0
        return self._queried_at - self._unanswered_since

    def busy_share(self) -> float:
        """Return the busy share of the slots; it may exceed 1.

        ``COLD_PENALTY`` is added for a target that has just started.
        """
        idle = self.load.connections - self.load.waiting
        busy = self.load.waiting + self.placed + IDLE_WEIGHT * max(0, idle)
        share = busy / max(1, self.member.slots)
        return share + COLD_PENALTY if self.is_cold else share
