"""Segments of unknown connections that are offered to a target.

Only the target knows which connections it held before its agent started.
It refuses a segment of any other connection within milliseconds.
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

# One that was not refused for this time, in seconds, is of the target.
REFUSAL_TIMEOUT_S: Final = 0.03

# What the target refused is not offered to it again for this time, seconds.
REFUSAL_TTL_S: Final = 5.0


class Probe(NamedTuple):
    """An offered segment, with the balancer and whom it asked for."""

    balancer: Address
    destination: TargetIdentity
    sent_at: float


class ProbeTable:
    """Offers without an answer, and what the target refused lately."""

    def __init__(self) -> None:
        """Start empty."""
        self._offers: dict[ConnectionKey, Probe] = {}
        self._absent: dict[ConnectionKey, float] = {}

    def __len__(self) -> int:
        """Return the number of offers without an answer."""
        return len(self._offers)

    def is_absent(self, now: float, key: ConnectionKey) -> bool:
        """Tell whether the target refused the connection lately."""
        return self._absent.get(key, now) > now

    def add(self, key: ConnectionKey, offer: Probe) -> bool:
        """Note an offer; false while another one has no answer."""
        # One segment at a time shows whether the target knows it.
        if key in self._offers:
            return False
        self._offers[key] = offer
        return True

    def due(self, now: float) -> list[ConnectionKey]:
        """Return the connections that were not refused in time."""
        return [
            key
            for key, offer in self._offers.items()
            if now - offer.sent_at >= REFUSAL_TIMEOUT_S
        ]

    def accept(self, key: ConnectionKey) -> list[Effect]:
        """Tell the balancer that the target holds the connection."""
        offer = self._offers.pop(key, None)
        if offer is None:
            return []
        reply = HolderReply(*offer.destination, (Answer(key, Verdict.held),))
        return [SendMessage(offer.balancer, reply)]

    def refuse(self, key: ConnectionKey) -> Probe | None:
        """Return the offer that the target refused, if there is one."""
        return self._offers.pop(key, None)

    def note_absent(self, now: float, key: ConnectionKey) -> None:
        """Do not offer segments of the connection for a while."""
        self._absent[key] = now + REFUSAL_TTL_S

    def forget(self, now: float) -> None:
        """Drop old refusals."""
        self._absent = {
            key: until for key, until in self._absent.items() if until > now
        }

    def clear(self) -> None:
        """Drop the offers to a target that has ended."""
        self._offers.clear()
