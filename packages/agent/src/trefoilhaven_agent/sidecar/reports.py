"""Reports about the target to the balancers."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_agent.sidecar.targets import TargetTracker
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.messages import TargetReport
from trefoilhaven_core.connections.pacing import (
    FAR_INTERVAL_FACTOR,
    changed_report_interval_s,
    report_interval_s,
)
from trefoilhaven_core.connections.response_outliers import ODD_MARGIN
from trefoilhaven_core.membership.messages import Address, Member
from trefoilhaven_core.membership.records import mark_left
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# Repetitions of the report that a target left, since datagrams may be lost.
LEFT_REPORT_REPEATS: Final = 3


class ReportSender:
    """Sends reports, less often the more balancers there are."""

    def __init__(
        self,
        connections: ConnectionTracker,
        target_tracker: TargetTracker,
        balancers: KnownBalancers,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Create the sender; ``run`` sends the regular reports."""
        self._connections = connections
        self._target_tracker = target_tracker
        self._balancers = balancers
        self._endpoint = endpoint
        self._has_odd_responses = False
        self._reported_waiting = 0
        self._latest_left: Member | None = None
        self._left_members: tuple[Member, ...] = ()
        self._remaining_left_reports = 0

    async def run(self) -> None:
        """Send regular reports and load changes until cancelled."""
        await asyncio.gather(self._report_regularly(), self._report_changes())

    def send_all(self, member: Member) -> None:
        """Report a member record to all known balancers."""
        self._send_to(member, self._balancers.addresses())

    def send(self, member: Member, balancer: Address) -> None:
        """Report a member record to one balancer."""
        self._send_to(member, [balancer])

    def report_left(self, member: Member) -> None:
        """Report that a target left, and repeat the report."""
        self._latest_left = member
        self._left_members = (*self._left_members, member)
        self._remaining_left_reports = LEFT_REPORT_REPEATS
        self.send_all(member)

    def report_predecessor(self, predecessor: Member) -> None:
        """Report that a target has ended that only its object told of.

        Balancers that listed the object before it was deleted take the
        target for alive.
        """
        left = mark_left(predecessor)
        logger.info(
            'target of an earlier agent has ended',
            extra={'target': left.target, 'incarnation': left.incarnation},
        )
        self.report_left(left)

    def send_left(self, balancer: Address) -> None:
        """Report to one balancer that the latest target left, if one has.

        A balancer that has just listed the targets may still know it.
        """
        if self._latest_left is not None:
            self.send(self._latest_left, balancer)

    async def _report_regularly(self) -> None:
        report_number = 0
        while True:
            await asyncio.sleep(report_interval_s(len(self._balancers)))
            report_number += 1
            self._balancers.expire(monotonic())
            member = self._target_tracker.member
            if member is not None:
                is_far_due = report_number % FAR_INTERVAL_FACTOR == 0
                near_only = not is_far_due
                addresses = self._balancers.addresses(near_only=near_only)
                self._send_to(member, addresses or self._balancers.next_lost())
            self._repeat_left()

    async def _report_changes(self) -> None:
        """Report changes of the waiting requests early to near balancers."""
        while True:
            near = self._balancers.addresses(near_only=True)
            await asyncio.sleep(changed_report_interval_s(len(near)))
            member = self._target_tracker.member
            load = self._connections.load(monotonic())
            if member is not None and load.waiting != self._reported_waiting:
                self._send_to(member, near)

    def _repeat_left(self) -> None:
        if self._remaining_left_reports:
            self._remaining_left_reports -= 1
            for member in self._left_members:
                self.send_all(member)
        else:
            self._left_members = ()

    def _send_to(self, member: Member, addresses: Iterable[Address]) -> None:
        now = monotonic()
        load = self._connections.load(now)
        self._reported_waiting = load.waiting
        self._log_odd_share(load.odd_share)
        report = TargetReport(
            member,
            load,
            self._target_tracker.is_cold(now),
            self._connections.responsiveness.is_unresponsive(now),
        )
        self._endpoint.send(report, *addresses)

    def _log_odd_share(self, odd_share: float) -> None:
        """Log when responses start or stop looking like failures."""
        is_odd = odd_share > ODD_MARGIN
        if is_odd != self._has_odd_responses:
            self._has_odd_responses = is_odd
            logger.info(
                'responses look like failures'
                if is_odd
                else 'responses look normal again',
                extra={'odd_share': odd_share},
            )
