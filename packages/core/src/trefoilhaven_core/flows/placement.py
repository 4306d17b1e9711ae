"""Choice of the target that serves a new flow."""

from collections.abc import Iterable, Mapping
from typing import Final

from trefoilhaven_core.membership.messages import Load

# A flow is placed on a sibling only if that has this many flows fewer and
# this share fewer. Smaller differences are noise of the loads' age.
FLOWS_AHEAD: Final = 8
SHARE_AHEAD: Final = 0.04


class Placement:
    """Estimates the flows of the siblings from loads and own placements.

    Loads are up to a heartbeat old. Flows that were placed since a load
    was received are added to it, or all new flows would go to one sibling
    until its next load arrives.
    """

    def __init__(self, connection_limit: int) -> None:
        """Start without placements."""
        self.connection_limit = connection_limit
        self._loads: dict[str, Load] = {}
        self._placed: dict[str, int] = {}

    def estimate(self, target: str, load: Load) -> int:
        """Return the estimated number of open flows of a sibling."""
        if self._loads.get(target) != load:
            self._loads[target] = load
            self._placed[target] = 0
        return load.open_flows + self._placed[target]

    def choose_sibling(
        self,
        own_flows: int,
        must_leave: bool,
        siblings: Iterable[str],
        loads: Mapping[str, Load],
    ) -> str | None:
        """Return the sibling for a new flow, None to keep it.

        With ``must_leave`` any sibling below the connection limit is
        taken, also one whose load is not known yet.
        """
        estimates = {
            name: self.estimate(name, loads.get(name, Load()))
            for name in siblings
            if must_leave or name in loads
        }
        if not estimates:
            return None
        # At equal loads the name decides, so that runs can be repeated.
        fewest = min(estimates, key=lambda name: (estimates[name], name))
        flows = estimates[fewest]
        if flows >= self.connection_limit:
            return None
        is_ahead = own_flows >= flows + FLOWS_AHEAD and own_flows >= flows * (
            1 + SHARE_AHEAD
        )
        if must_leave or is_ahead:
            self._placed[fewest] += 1
            return fewest
        return None
