"""Policies of the target, as the balancers announce them to an agent."""

import logging
from typing import Final

from trefoilhaven_agent.sidecar.copies import CopyTask
from trefoilhaven_agent.sidecar.targets import TargetTracker
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

_MISMATCH: Final = 'policy of another target discarded'


class PolicyReceiver:
    """Passes the policies of the agent's target to the decision code."""

    def __init__(
        self,
        cfg: SidecarSettings,
        runtime: ProcessRuntime,
        connections: ConnectionTracker,
        target_tracker: TargetTracker,
        copies: CopyTask,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handler of the control socket."""
        self._copies = copies
        self._cfg = cfg
        self._warm_up = connections.warm_up
        self._target_tracker = target_tracker
        self._log = RateLimitedLog(logger)
        metrics = runtime.metrics
        self._discarded = metrics.counter('policies_discarded')
        metrics.gauge('evacuated', lambda: int(self._warm_up.is_evacuated))
        metrics.gauge('cold', lambda: int(self._warm_up.is_cold(monotonic())))
        endpoint.on(TargetPolicy, self._on_policy)

    def _on_policy(self, policy: TargetPolicy, sender: Address) -> None:
        """Apply a policy; the host may have had another target before."""
        now = monotonic()
        member = self._target_tracker.member
        domain = member.failure_domain if member else self._cfg.failure_domain
        if (policy.service, policy.failure_domain) != (
            self._cfg.service,
            domain,
        ):
            self._discarded.add()
            self._log.warn(
                now,
                _MISMATCH,
                _MISMATCH,
                service=policy.service,
                target_domain=policy.failure_domain,
                balancer=sender.host,
            )
            return
        self._copies.on_policy(policy)
        update = self._warm_up.on_policy(now, policy)
        if update.is_changed:
            logger.info(
                'target policy in force',
                extra={
                    'version': policy.version,
                    'cold_s': policy.cold_s,
                    'cold_openings_per_s': policy.cold_openings_per_s,
                    'limit': self._warm_up.limit,
                    'evacuations_version': policy.evacuations_version,
                    'is_evacuated': self._warm_up.is_evacuated,
                    'is_restored': update.is_restored,
                    'balancer': sender.host,
                },
            )
