"""Log and metrics of the connections that leave the failure domain."""

import logging
from typing import Final

from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.effects import Placed
from trefoilhaven_core.telemetry.metrics import Counter

logger = logging.getLogger(__name__)

# A share of new connections for other failure domains is logged when it has
# changed by this much, and when it returns to 0.
LOGGED_CHANGE: Final = 0.1


class CrossingObserver:
    """Counts the connections that were placed in other failure domains.

    It also logs the shares by which they are placed. The labels are bounded
    by the services and failure domains of the deployment.
    """

    def __init__(self, state: GatewayState) -> None:
        """Start with nothing placed."""
        self._counters: dict[tuple[str, str], Counter] = {}
        self._domain = state.cfg.failure_domain
        self._logged: dict[str, float] = {}
        self._metrics = state.runtime.metrics
        self._shares = state.target_selector.domain_shares

    def on_placed(self, placed: Placed) -> None:
        """Record where a connection was placed."""
        service = placed.member.service
        domain = placed.member.failure_domain
        if domain != self._domain:
            series = (service, domain)
            if series not in self._counters:
                self._register(service, domain)
            self._counters[series].add()
        if self._shares is not None:
            self._log_shares(service)

    def _register(self, service: str, domain: str) -> None:
        shares = self._shares
        labels = {'service': service, 'failure_domain': domain}
        self._counters[service, domain] = self._metrics.counter(
            'connections_placed_elsewhere', **labels
        )
        if shares is not None:
            self._metrics.gauge(
                'domain_share',
                lambda: shares.shares(service).get(domain, 0.0),
                **labels,
            )

    def _log_shares(self, service: str) -> None:
        if self._shares is None:
            return
        decision = self._shares.decision(service)
        whole = sum(decision.shares.values())
        logged = self._logged.get(service, 0.0)
        has_ended = bool(logged) and not whole
        if abs(whole - logged) < LOGGED_CHANGE and not has_ended:
            return
        self._logged[service] = whole
        logger.info(
            'share of other failure domains changed',
            extra={
                'service': service,
                'shares': _rounded(decision.shares),
                'waits_s': _rounded(decision.waits_s),
                'free_shares': _rounded(decision.free_shares),
                'round_trips_s': _rounded(decision.round_trips_s),
            },
        )


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {key: round(values[key], 4) for key in sorted(values)}
