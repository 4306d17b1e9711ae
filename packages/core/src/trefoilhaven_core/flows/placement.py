"""Choice of the target that serves a new flow."""

from collections.abc import Iterable, Mapping
from typing import Final

from trefoilhaven_core.membership.messages import Load

# A flow is placed on a sibling only if the agent's own target has at least this
# many flows more and this share more. Smaller differences are noise, because
# the loads are out of date.
MIN_FLOW_DIFFERENCE: Final = 8
MIN_RELATIVE_DIFFERENCE: Final = 0.04


class _LoadReport:
    """A sibling's load, own flows at its arrival, and placements since."""

    __slots__ = ('load', 'own_flows', 'placed')

    def __init__(self, load: Load, own_flows: int) -> None:
        self.load = load
        self.own_flows = own_flows
        self.placed = 0


class Placement:
    """Estimates the siblings' open flows from loads and own placements.

    A load is up to two seconds old when it is used. The sibling is assumed
    to have gained as many flows as this target since then. Otherwise every
    sibling would seem to have fewer flows while flows open quickly, and all
    owners would place flows on the one with the oldest load. Each placement
    is counted once for every sibling, since all other owners see the same
    load and make the same choice.
    """

    def __init__(self, connection_limit: int) -> None:
        self.connection_limit = connection_limit
        self._reports: dict[str, _LoadReport] = {}

    def observe(self, own_flows: int, loads: Mapping[str, Load]) -> None:
        """Record the loads that arrived since the last call."""
        for target, load in loads.items():
            known = self._reports.get(target)
            if known is None or known.load is not load:
                self._reports[target] = _LoadReport(load, own_flows)

    def choose_sibling(
        self,
        own_flows: int,
        must_redirect: bool,
        siblings: Iterable[str],
        loads: Mapping[str, Load],
    ) -> str | None:
        """Return the sibling for a new flow, or None.

        None leaves it to the caller to admit or refuse the flow. With
        ``must_redirect`` any sibling below the connection limit may be chosen,
        even if its load is not known yet; None then means that there is none.
        """
        self.observe(own_flows, loads)
        names = [name for name in siblings if must_redirect or name in loads]
        estimates = {
            name: self._estimate(own_flows, name, len(names)) for name in names
        }
        if not estimates:
            return None
        # Ties are broken by name, so that runs are reproducible.
        fewest = min(estimates, key=lambda name: (estimates[name], name))
        flows = estimates[fewest]
        if flows >= self.connection_limit:
            return None
        is_ahead = (
            own_flows >= flows + MIN_FLOW_DIFFERENCE
            and own_flows >= flows * (1 + MIN_RELATIVE_DIFFERENCE)
        )
        if must_redirect or is_ahead:
            self._report(own_flows, fewest).placed += 1
            return fewest
        return None

    def _report(self, own_flows: int, target: str) -> _LoadReport:
        report = self._reports.get(target)
        if report is None:
            report = _LoadReport(Load(), own_flows)
            self._reports[target] = report
        return report

    def _estimate(self, own_flows: int, target: str, siblings: int) -> int:
        report = self._report(own_flows, target)
        grown = own_flows - report.own_flows
        placed = report.placed * siblings
        return max(0, report.load.open_flows + grown + placed)
