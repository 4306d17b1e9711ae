"""State of a gateway, shared by its tasks."""

import logging
import random
from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.connections.route_codec import (
    ROUTES_NAME,
    decode_routes,
)
from trefoilhaven_core.connections.routers import ConnectionRouter
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.confirmations import (
    MembershipConfirmation,
    Origin,
)
from trefoilhaven_core.membership.messages import Member, MemberState
from trefoilhaven_core.membership.records import mark_left
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.settings.types import GatewaySettings
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.wire.decoding import DECODE_ERRORS

logger = logging.getLogger(__name__)

# A gateway that starts is not ready until this share of the targets has
# reported, but waits no longer than this time, in seconds: without reports it
# can't tell live targets from those that have ended.
MIN_REPORTED_SHARE: Final = 0.6
MAX_REPORT_WAIT_S: Final = 1.5


class GatewayState:
    """Records, routes and connections of one gateway.

    The tasks change ``store`` and then call ``refresh`` with the services
    they touched, which updates routes and targets from the store.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        runtime: ProcessRuntime,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.runtime = runtime
        self.store = ViewStore()
        self.routes = AddressRoutes()
        self.target_selector = TargetSelector(
            cfg.failure_domain, cfg.domain_crossing_cost_s
        )
        self.confirmation = MembershipConfirmation(
            Origin(cfg.failure_domain, runtime.incarnation)
        )
        self.router = ConnectionRouter(
            self.routes, self.target_selector, rng, self.confirmation
        )
        self.is_stopping = False
        self._complete_at: float | None = None

    def not_ready_reason(self, now: float) -> str:
        """Return why this process must not get traffic, '' when ready."""
        if self.is_stopping:
            return 'the process is stopping'
        if not self.routes.version:
            return 'no configuration is known'
        if self._complete_at is None:
            return 'the list of targets is not known'
        waited_s = now - self._complete_at
        if (
            self.target_selector.reported_share() < MIN_REPORTED_SHARE
            and waited_s < MAX_REPORT_WAIT_S
        ):
            return 'few targets have reported'
        return ''

    def targets(self) -> list[Member]:
        """Return the members of all services that may be reached."""
        return self.target_selector.members(self.target_selector.services)

    def refresh_peers(self) -> None:
        """Update the peers of the router and of the confirmation.

        The router queries the live balancers of its failure domain.
        """
        self.confirmation.set_peers(
            record
            for record in self.store.balancers
            if record.name != self.cfg.name
        )
        self.router.peers = tuple(
            record.control
            for record in self.store.balancers
            if record.failure_domain == self.cfg.failure_domain
            and record.name != self.cfg.name
            and record.state < MemberState.suspect
        )

    def set_membership_complete(self, now: float) -> None:
        """Record that all targets are known since the monotonic ``now``."""
        self.refresh_peers()
        self.router.searches.is_membership_complete = True
        if self._complete_at is None:
            self._complete_at = now

    def refresh(self, services: Iterable[str]) -> list[Member]:
        """Update the routes and targets of services from the store.

        Returns the targets that are new or whose incarnation or state
        changed, but none before the list of targets is known.
        """
        changed: list[Member] = []
        for service in services:
            if service == ROUTES_NAME:
                self._apply_routes()
            else:
                members = self.store.members(service)
                changed += self.target_selector.set_members(service, members)
        return changed if self.router.searches.is_membership_complete else []

    def end_replaced(self, now: float, silent_s: float) -> None:
        """Record that the targets replaced some time ago have left.

        Otherwise their records would be kept, and sent to each gateway that
        starts, for ever. Each gateway draws this conclusion itself.
        """
        replaced = self.target_selector.replaced_members(now, silent_s)
        merged = self.store.merge(map(mark_left, replaced))
        self.refresh({member.service for member in merged.members})

    def _apply_routes(self) -> None:
        stored = self.store.configuration(ROUTES_NAME)
        if stored.version <= self.routes.version:
            return
        try:
            configuration = decode_routes(stored.content)
        except DECODE_ERRORS as exc:
            logger.exception(
                'configuration rejected',
                extra={'version': stored.version, 'reason': str(exc)},
            )
            return
        if self.routes.offer(configuration):
            self.runtime.publish(
                'configuration in force',
                detail=f'version {stored.version}',
            )
            logger.info(
                'configuration in force',
                extra={'version': stored.version, 'routes': len(self.routes)},
            )
