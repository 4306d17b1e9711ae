"""Refusals of new connections when a service is short of room."""

from collections.abc import Sequence

from trefoilhaven_core.connections.effects import (
    Effect,
    OverloadRefused,
    ResetCause,
    ResetClient,
)
from trefoilhaven_core.connections.messages import Segment
from trefoilhaven_core.connections.overload import OverloadControl, ServiceRoom
from trefoilhaven_core.connections.policies import Policies
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import TargetSelector


class OpeningRefusals:
    """Resets openings that no target can serve in time.

    Times are monotonic, in seconds.
    """

    def __init__(self, routes: AddressRoutes, selector: TargetSelector) -> None:
        """Start without policies, so that nothing is refused."""
        self._control = OverloadControl(routes)
        self._selector = selector

    def set_policies(self, policies: Policies) -> None:
        """Replace the policies; the known rates of their routes stay."""
        self._control.set_policies(policies)

    def refuse(
        self, now: float, segment: Segment, services: Sequence[str]
    ) -> list[Effect]:
        """Return the reset of an opening, nothing if it is to be placed.

        ``services`` are those of its address, the preferred one first.
        """
        address = segment.key[2:]
        if not self._control.has_policy(address):
            return []
        rooms = {each: self._selector.room(now, each) for each in services}
        # A free slot of any service of the address prevents a refusal.
        service = max(services, key=lambda each: _preference(rooms[each]))
        refusal = self._control.decide(now, address, service, rooms[service])
        if refusal is None:
            return []
        cause = ResetCause.overloaded
        return [
            OverloadRefused(service, refusal),
            ResetClient(segment.key, segment.acknowledged, cause),
        ]


def _preference(room: ServiceRoom | None) -> int:
    """Return 2 with a free slot, 1 with a usable target and 0 without one."""
    return 0 if room is None else 1 + room.has_free_slot
