"""Timers of peer balancers that have not answered a digest."""

from typing import Final, NamedTuple

from trefoilhaven_core.membership.liveness import (
    DEAD_AFTER_S,
    SUSPECT_AFTER_S,
    LivenessTimer,
)
from trefoilhaven_core.membership.messages import BalancerRecord, MemberState
from trefoilhaven_core.membership.views import ViewStore

# A peer that does not answer gets about five digests before it is reported
# dead, so that lost datagrams alone do not cause a report.
PROBE_INTERVAL_S: Final = 0.5


class PeerReport(NamedTuple):
    """Records that changed, and the peers that are due another digest."""

    changes: list[BalancerRecord]
    probes: list[str]


class PeerTimers:
    """Measures how long digests to peers stay unanswered."""

    def __init__(self, store: ViewStore) -> None:
        """Start without digests; records are read from ``store``."""
        self._store = store
        self._unanswered: dict[str, LivenessTimer] = {}

    def on_probe_sent(self, now: float, peer: str) -> None:
        """Start the peer's timer unless a digest is already unanswered."""
        if peer not in self._unanswered:
            self._unanswered[peer] = LivenessTimer(now, '')
        self._unanswered[peer].probed_at = now

    def on_answer(self, peer: str) -> None:
        """Stop the peer's timer; any message counts as an answer."""
        self._unanswered.pop(peer, None)

    def clear(self) -> None:
        """Drop all timers, after a pause of this process."""
        self._unanswered.clear()

    def check(self, now: float) -> PeerReport:
        """Return the reports and digests that are due."""
        changes = []
        probes = []
        for name, timer in list(self._unanswered.items()):
            record = self._store.balancer(name)
            if record is None or record.state >= MemberState.dead:
                self._unanswered.pop(name)
                continue
            silent_s = now - timer.since
            if silent_s >= DEAD_AFTER_S:
                self._unanswered.pop(name)
                changes.append(record._replace(state=MemberState.dead))
            elif silent_s >= SUSPECT_AFTER_S and not timer.suspected:
                timer.suspected = True
                changes.append(record._replace(state=MemberState.suspect))
            if now - timer.probed_at >= PROBE_INTERVAL_S:
                probes.append(name)
        return PeerReport(changes, probes)
