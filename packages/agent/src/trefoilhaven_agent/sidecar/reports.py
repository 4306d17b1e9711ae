"""Reports about the target to the balancers."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_agent.sidecar.targets import TargetBelief
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.messages import TargetReport
from trefoilhaven_core.connections.pacing import (
    FAR_INTERVAL_FACTOR,
    changed_report_interval_s,
    report_interval_s,
)
from trefoilhaven_core.connections.response_outliers import ODD_MARGIN
from trefoilhaven_core.membership.messages import Address, Member
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# The record of a target that left is reported so often, since datagrams
# may be lost.
LEFT_REPORTS: Final = 3


class ReportTask:
    """Sends reports at the pace that the number of balancers allows."""

    def __init__(
        self,
        connections: ConnectionTracker,
        belief: TargetBelief,
        balancers: KnownBalancers,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Prepare; ``run`` sends the regular reports."""
        self._connections = connections
        self._belief = belief
        self._balancers = balancers
        self._endpoint = endpoint
        self._answers_oddly = False
        self._reported_waiting = 0
        self._left: tuple[Member, ...] = ()
        self._left_reports = 0

    async def run(self) -> None:
        """Report until cancelled."""
        await asyncio.gather(self._report_regularly(), self._report_changes())

    def send_all(self, member: Member) -> None:
        """Report a record to all known balancers."""
        self._send_to(member, self._balancers.addresses())

    def report_left(self, member: Member) -> None:
        """Report that a target left, and repeat it."""
        self._left = (*self._left, member)
        self._left_reports = LEFT_REPORTS
        self.send_all(member)

    async def _report_regularly(self) -> None:
        turn = 0
        while True:
            await asyncio.sleep(report_interval_s(len(self._balancers)))
            turn += 1
            self._balancers.forget(monotonic())
            member = self._belief.member
            if member is not None:
                is_far_due = turn % FAR_INTERVAL_FACTOR == 0
                near_only = not is_far_due
                addresses = self._balancers.addresses(near_only=near_only)
                self._send_to(member, addresses)
            self._repeat_left()

    async def _report_changes(self) -> None:
        """Tell the near balancers soon when the load has changed."""
        while True:
            near = self._balancers.addresses(near_only=True)
            await asyncio.sleep(changed_report_interval_s(len(near)))
            member = self._belief.member
            load = self._connections.load(monotonic())
            if member is not None and load.waiting != self._reported_waiting:
                self._send_to(member, near)

    def _repeat_left(self) -> None:
        if self._left_reports:
            self._left_reports -= 1
            for member in self._left:
                self.send_all(member)
        else:
            self._left = ()

    def _send_to(self, member: Member, addresses: Iterable[Address]) -> None:
        now = monotonic()
        load = self._connections.load(now)
        self._reported_waiting = load.waiting
        self._note_odd_share(load.odd_share)
        report = TargetReport(
            member,
            load,
            self._belief.is_cold(now),
            self._connections.is_silent(now),
        )
        self._endpoint.send(report, *addresses)

    def _note_odd_share(self, odd_share: float) -> None:
        """Log when the target begins or ends to answer oddly."""
        is_odd = odd_share > ODD_MARGIN
        if is_odd != self._answers_oddly:
            self._answers_oddly = is_odd
            logger.info(
                'answers look like failures' if is_odd else 'answers look well',
                extra={'odd_share': odd_share},
            )
