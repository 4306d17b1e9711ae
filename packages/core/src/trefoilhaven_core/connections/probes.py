"""Probes: segments of unknown connections that are delivered to a target.

Only the target knows which connections it held before its agent started. It
refuses a segment of any other connection within milliseconds.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections.effects import Effect, SendMessage
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionKey,
    HolderReply,
    TargetIdentity,
    Verdict,
)
from trefoilhaven_core.membership.messages import Address

# A connection whose probe was not refused for this time, in seconds, is held
# by the target, unless its refusals were late recently.
REFUSAL_TIMEOUT_S: Final = 0.03

# A refusal that comes later shows that the target is overloaded. Agents then
# wait for twice the time that it took, but not longer than this, in seconds:
# balancers repeat a probe after 0.2 s.
MAX_REFUSAL_TIMEOUT_S: Final = 0.15
_LATENESS_MARGIN: Final = 2.0

# Factor by which the wait shrinks each second while refusals come early.
_TIMEOUT_DECAY: Final = 0.8

# Time for which accepted probes are kept to notice late refusals, in seconds.
_ACCEPTED_TTL_S: Final = 2.0

# A connection that the target refused is not probed again for this time, in
# seconds.
REFUSAL_TTL_S: Final = 5.0


class Probe(NamedTuple):
    """A delivered segment, with its balancer and its destination.

    ``sent_at`` is a monotonic time in seconds.
    """

    balancer: Address
    destination: TargetIdentity
    sent_at: float


class ProbeTable:
    """Pending probes, and the connections that the target refused lately."""

    def __init__(self) -> None:
        self._probes: dict[ConnectionKey, Probe] = {}
        self._accepted: dict[ConnectionKey, Probe] = {}
        self._timeout_s = REFUSAL_TIMEOUT_S
        self._absent: dict[ConnectionKey, float] = {}

    def __len__(self) -> int:
        """Return the number of pending probes."""
        return len(self._probes)

    def is_absent(self, now: float, key: ConnectionKey) -> bool:
        """Return whether the target refused the connection lately."""
        return self._absent.get(key, now) > now

    def add(self, key: ConnectionKey, probe: Probe) -> bool:
        """Add a probe; return false while another one is pending."""
        # A single segment shows whether the target holds the connection.
        if key in self._probes:
            return False
        self._probes[key] = probe
        return True

    def due(self, now: float) -> list[ConnectionKey]:
        """Return the connections whose probes were not refused in time."""
        return [
            key
            for key, probe in self._probes.items()
            if now - probe.sent_at >= self._timeout_s
        ]

    def accept(self, key: ConnectionKey) -> list[Effect]:
        """Report to the probing balancer that the target holds a connection."""
        probe = self._probes.pop(key, None)
        if probe is None:
            return []
        self._accepted[key] = probe
        reply = HolderReply(*probe.destination, (Answer(key, Verdict.held),))
        return [SendMessage(probe.balancer, reply)]

    def refuse(self, now: float, key: ConnectionKey) -> Probe | None:
        """Remove and return a refused probe, None if there was none.

        The refusal may also be of a probe that was taken for accepted.
        """
        pending = self._probes.pop(key, None)
        probe = pending or self._accepted.pop(key, None)
        if probe is not None:
            wanted_s = _LATENESS_MARGIN * (now - probe.sent_at)
            limited_s = min(wanted_s, MAX_REFUSAL_TIMEOUT_S)
            self._timeout_s = max(self._timeout_s, limited_s)
        return pending

    def note_absent(self, now: float, key: ConnectionKey) -> None:
        """Exclude a connection from probes for ``REFUSAL_TTL_S``."""
        self._absent[key] = now + REFUSAL_TTL_S

    def forget(self, now: float) -> None:
        """Remove expired entries; to be called about every second."""
        self._timeout_s = max(
            REFUSAL_TIMEOUT_S, self._timeout_s * _TIMEOUT_DECAY
        )
        self._accepted = {
            key: probe
            for key, probe in self._accepted.items()
            if now - probe.sent_at < _ACCEPTED_TTL_S
        }
        self._absent = {
            key: until for key, until in self._absent.items() if until > now
        }

    def clear(self) -> None:
        """Remove the probes of a target that has ended; refusals stay."""
        self._probes.clear()
        self._accepted.clear()
