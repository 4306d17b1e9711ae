"""Heartbeats and liveness checks of the target, and its balancers."""

import asyncio
import logging
import random
from typing import Final

from trefoilhaven_agent.sidecar.balancer_lists import BalancerLister
from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_agent.sidecar.checks import CheckSchedule
from trefoilhaven_agent.sidecar.copies import CopyTask
from trefoilhaven_agent.sidecar.listeners import (
    is_unused,
    make_loading_time,
)
from trefoilhaven_agent.sidecar.registrations import TargetRegistration
from trefoilhaven_agent.sidecar.reports import ReportSender
from trefoilhaven_agent.sidecar.segments import SegmentTask
from trefoilhaven_agent.sidecar.targets import TargetTracker, TargetUpdate
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.messages import BalancerHello
from trefoilhaven_core.connections.restorations import RegistrationRequest
from trefoilhaven_core.membership.messages import (
    Address,
    MemberState,
)
from trefoilhaven_core.platform.adapters import (
    PlatformAdapter,
    TargetAnnouncement,
    TargetDeparture,
)
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

# Interval of the decision whether to check that the target still runs, in
# seconds.
CHECK_INTERVAL_S: Final = 0.1


class ReportingTask:
    """Processes heartbeats and keeps the balancers informed."""

    def __init__(
        self,
        cfg: SidecarSettings,
        runtime: ProcessRuntime,
        connections: ConnectionTracker,
        target_tracker: TargetTracker,
        segments: SegmentTask,
        adapter: PlatformAdapter,
        endpoint: DatagramEndpoint,
        transfers: TransferEndpoint,
    ) -> None:
        """Register the handlers of the control socket."""
        rng = random.Random(f'{cfg.name}/{runtime.incarnation}')
        self._cfg = cfg
        self._connections = connections
        self._target_tracker = target_tracker
        self._segments = segments
        self._client = adapter.make_client()
        self._balancers = KnownBalancers(cfg.failure_domain)
        self.copies = CopyTask(
            cfg, runtime, self._balancers, endpoint, transfers
        )
        self._reports = ReportSender(
            connections, target_tracker, self._balancers, endpoint
        )
        self._lister = BalancerLister(
            self._client, self._balancers, rng, self._report
        )
        self._registration = TargetRegistration(
            self._client,
            cfg.name,
            rng,
            self._lister.registered.set,
            self._reports.report_predecessor,
        )
        self._departing = False
        self._is_end_reported = False
        endpoint.on(BalancerHello, self._on_hello)
        endpoint.on(RegistrationRequest, self._on_request)
        self._balancers.on_seeds(
            monotonic(),
            [Address(seed.host, cfg.control.port) for seed in cfg.seeds],
        )

    async def run(self) -> None:
        """Report, register and check the target until cancelled."""
        await asyncio.gather(
            self._reports.run(),
            self._lister.run(),
            self._registration.run(),
            self._check_target(),
            self.copies.run(),
        )

    async def on_announcement(
        self, message: TargetAnnouncement | TargetDeparture
    ) -> bool:
        """Process a message of the target; return whether to acknowledge it.

        A heartbeat of another service is not acknowledged, nor is a drain
        that is not in force.
        """
        now = monotonic()
        if isinstance(message, TargetDeparture):
            if self._target_tracker.on_departure(message.target):
                self._departing = True
            logger.info('target departing', extra={'target': message.target})
            return True
        update = self._target_tracker.on_announcement(now, message)
        if not update.is_current:
            current = self._target_tracker.member
            logger.info(
                'heartbeat discarded',
                extra={
                    'target': message.target,
                    'service': message.service,
                    'incarnation': message.incarnation,
                    'sequence': message.sequence,
                    'current': current and current.target,
                    'is_acknowledged': update.is_acknowledged,
                },
            )
        self._segments.apply(update.effects)
        if update.is_changed:
            self._on_changed(update, message)
        return update.is_acknowledged

    async def check_start(self) -> None:
        """Find out whether a target runs, before its first heartbeat.

        The agent knows all connections of a target that starts later.
        """
        is_gone = await self._is_target_gone()
        loading_time = make_loading_time()
        self._connections.evidence.loading_time = loading_time
        extra = {'is_gone': is_gone, **loading_time._asdict()}
        logger.info('target checked', extra=extra)
        if is_gone:
            self._segments.apply(self._connections.on_target_gone())

    async def stop(self) -> None:
        """Tell the balancers that the agent stops.

        Connections of a target that has ended are reset. Those of a running
        target are kept for the next agent.
        """
        if await self._is_target_gone():
            self._on_gone()
            self._client.end_waits()
            if not await self._registration.write():
                logger.info('object of the ended target was not deleted')
            return
        member = self._target_tracker.member
        if member is not None:
            self._reports.send_all(member._replace(state=MemberState.suspect))

    def _on_changed(
        self, update: TargetUpdate, message: TargetAnnouncement
    ) -> None:
        member = self._target_tracker.member
        logger.info(
            'target changed',
            extra={
                'target': message.target,
                'incarnation': message.incarnation,
                'sequence': message.sequence,
                'state': message.state.name,
                'resets': len(update.effects),
                'saw_start': self._connections.evidence.saw_start,
            },
        )
        if update.left_member is not None:
            self._reports.report_left(update.left_member)
        if member is None:
            return
        self._is_end_reported = False
        if member.sequence == message.sequence and (
            message.state is MemberState.alive
        ):
            self._departing = False
            self._registration.set_desired(member)
        self._reports.send_all(member)

    def _on_hello(self, hello: BalancerHello, sender: Address) -> None:
        now = monotonic()
        member = self._target_tracker.member
        was_isolated = self._balancers.was_isolated(now)
        is_new = self._balancers.on_hello(now, hello, sender)
        if is_new:
            logger.info('balancer found', extra={'balancer': hello.name})
        self.copies.on_hello(hello, sender)
        if member is None:
            self._reports.send_left(sender)
        elif is_new:
            self._reports.send(member, sender)
        if was_isolated and member and member.state is MemberState.alive:
            # Balancers delete the object of a host that seems to have failed.
            self._registration.set_desired(member)

    def _on_request(self, req: RegistrationRequest, sender: Address) -> None:
        member = self._registration.on_request(req, self._target_tracker)
        if member is not None:
            self._reports.send_all(member)

    def _report(self) -> None:
        if self._target_tracker.member is not None:
            self._reports.send_all(self._target_tracker.member)

    async def _check_target(self) -> None:
        """Check whether the target still runs when it may have ended.

        That is when it departs, misses heartbeats or leaves segments
        unanswered, or when this agent has heard no heartbeat yet.
        """
        schedule = CheckSchedule()
        while True:
            if self._is_check_due(schedule, monotonic()):
                if await self._is_target_gone():
                    self._on_gone()
                    self._departing = False
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_check_due(self, schedule: CheckSchedule, now: float) -> bool:
        if self._target_tracker.member is None:
            is_due = schedule.is_initial_check_due(now)
            return is_due and not self._is_end_reported
        return schedule.is_due(
            now,
            self._target_tracker.silent_s(now),
            self._connections.responsiveness.mute_s(now),
            departing=self._departing,
        )

    def _on_gone(self) -> None:
        now = monotonic()
        details = {
            'silent_s': round(self._target_tracker.silent_s(now), 2),
            'mute_s': round(self._connections.responsiveness.mute_s(now), 2),
        }
        update = self._target_tracker.on_gone()
        details['resets'] = len(update.effects)
        logger.info('target has ended', extra=details)
        self._segments.apply(update.effects)
        if update.left_member is not None:
            self._reports.report_left(update.left_member)
        self._registration.set_desired(None)
        self._is_end_reported = True

    async def _is_target_gone(self) -> bool:
        return await is_unused(self._cfg.target)
