"""Refusals of new connections when a service is short of room."""

from collections.abc import Sequence

from trefoilhaven_core.connections.effects import (
    Effect,
    OverloadRefused,
    ResetCause,
    ResetClient,
)
from trefoilhaven_core.connections.messages import Segment
from trefoilhaven_core.connections.overload import OverloadControl
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
        usable = [service for service in services if rooms[service]]
        service = usable[0] if usable else services[0]
        refusal = self._control.decide(now, address, service, rooms[service])
        if refusal is None:
            return []
        cause = ResetCause.overloaded
        return [
            OverloadRefused(service, refusal),
            ResetClient(segment.key, segment.acknowledged, cause),
        ]
