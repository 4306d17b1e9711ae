"""State of a gateway, shared by its tasks."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Final, Protocol, TypeVar

from trefoilhaven_core.connections.evacuations import (
    EVACUATIONS_NAME,
    UNKNOWN_EVACUATIONS,
    Evacuations,
    decode_evacuations,
)
from trefoilhaven_core.connections.policies import (
    POLICIES_NAME,
    Policies,
    decode_policies,
)
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

# A gateway that reads evacuations is not ready until it knows them, but waits
# no longer than this time, in seconds, once the list of targets is complete:
# no gateway would ever be ready if the store refused this kind of object.
# Peers that know the evacuations send them with their state or next digest.
MAX_EVACUATIONS_WAIT_S: Final = 5.0


class _Versioned(Protocol):
    """A configuration that names its version."""

    @property
    def version(self) -> int:
        """Number that orders configurations of one kind."""


_Value = TypeVar('_Value', bound=_Versioned)


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
        self.policies = Policies()
        self.evacuations = UNKNOWN_EVACUATIONS
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
        self._has_evacuations = False
        runtime.metrics.gauge(
            'evacuated_domains',
            lambda: len(self.target_selector.evacuated_domains),
        )
        self._usable_at: float | None = None

    def not_ready_reason(self, now: float) -> str:
        """Return why this process must not get traffic, '' when ready."""
        if self.is_stopping:
            return 'the process is stopping'
        if not self.routes.version:
            return 'no configuration is known'
        if self._usable_at is None:
            return 'the list of targets is not known'
        waited_s = now - self._usable_at
        if (
            self.cfg.evacuations
            and not self._has_evacuations
            and waited_s < MAX_EVACUATIONS_WAIT_S
        ):
            return 'the evacuations are not known'
        share = self.target_selector.reported_share()
        if share < MIN_REPORTED_SHARE and waited_s < MAX_REPORT_WAIT_S:
            return 'few targets have reported'
        is_complete = self.router.searches.is_membership_complete
        if not (is_complete or self._has_report()):
            # A copy may name only targets that have ended.
            return 'no target has reported'
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
        if self._usable_at is None:
            self._usable_at = now

    def set_usable(self, now: float) -> None:
        """Record that targets are known from an agent's copy of the state.

        Connections can be placed then. The list may lack targets, so that a
        search that finds no holder ends without a reset.
        """
        self.refresh_peers()
        if self._usable_at is None:
            self._usable_at = now

    def refresh(self, services: Iterable[str]) -> list[Member]:
        """Update the routes and targets of services from the store.

        Returns the targets that are new or whose incarnation or state
        changed, but none before the list of targets is known.
        """
        changed: list[Member] = []
        for service in services:
            if service == ROUTES_NAME:
                self._apply_routes()
            elif service == POLICIES_NAME:
                self._apply_policies()
            elif service == EVACUATIONS_NAME:
                self._apply_evacuations()
            elif not service.startswith('@'):
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

    def use_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Stop placing connections in some failure domains, and no others."""
        self._has_evacuations = True
        self.target_selector.evacuated_domains = domains

    def _has_report(self) -> bool:
        targets = self.targets()
        return len(self.target_selector.unheard_members()) < len(targets)

    def _read_stored(
        self,
        name: str,
        version: int,
        decode: Callable[[bytes], _Value],
    ) -> _Value | None:
        """Return a configuration above a version, None without one.

        The version in the content has to be that of the notice: otherwise
        one notice could put a version in force that hides all later ones.
        """
        stored = self.store.configuration(name)
        if stored.version <= version:
            return None
        try:
            decoded = decode(stored.content)
        except DECODE_ERRORS as exc:
            _log_rejected(name, stored.version, str(exc))
            return None
        if decoded.version != stored.version:
            reason = f'the content has the version {decoded.version}'
            _log_rejected(name, stored.version, reason)
            return None
        return decoded

    def _apply_policies(self) -> None:
        policies = self._read_stored(
            POLICIES_NAME, self.policies.version, decode_policies
        )
        if policies is None:
            return
        self.policies = policies
        if self.cfg.overload_refusals:
            self.router.set_policies(policies)
        logger.info(
            'policies in force',
            extra={
                'version': policies.version,
                'routes': len(policies.routes),
                'services': len(policies.services),
            },
        )

    def _apply_evacuations(self) -> None:
        before = self.evacuations
        evacuations = self._read_stored(
            EVACUATIONS_NAME, before.version, decode_evacuations
        )
        if evacuations is None:
            return
        self.evacuations = evacuations
        self.use_evacuated_domains(evacuations.domains)
        self._log_evacuations(before, evacuations)

    def _log_evacuations(self, before: Evacuations, now: Evacuations) -> None:
        domains = ', '.join(sorted(now.domains)) or 'none'
        self.runtime.publish('evacuations in force', detail=domains)
        logger.info(
            'evacuations in force',
            extra={
                'domains': sorted(now.domains),
                'before': sorted(before.domains),
                'era': now.era,
                'revision': now.revision,
                'is_settled': now.is_settled,
            },
        )

    def _apply_routes(self) -> None:
        configuration = self._read_stored(
            ROUTES_NAME, self.routes.version, decode_routes
        )
        if configuration and self.routes.offer(configuration):
            self.runtime.publish(
                'configuration in force',
                detail=f'version {configuration.version}',
            )
            logger.info(
                'configuration in force',
                extra={
                    'version': configuration.version,
                    'routes': len(self.routes),
                },
            )


def _log_rejected(name: str, version: int, reason: str) -> None:
    logger.error(
        'configuration rejected',
        extra={'kind': name, 'version': version, 'reason': reason},
    )
