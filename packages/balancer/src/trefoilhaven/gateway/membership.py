"""Knowledge of a gateway about the targets.

A gateway reads all targets from the store, or takes them from a peer, when it
starts. Afterwards agents report to every gateway that they know, and the
gateways gossip what they learn.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterable, Sequence
from typing import Final

from trefoilhaven.balancer.gossip import GossipTask
from trefoilhaven.gateway.recovery import UNASKED_AT, RecoveryTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven.gateway.target_policies import TargetPolicySender
from trefoilhaven_core.connections.messages import (
    BalancerHello,
    TargetReport,
    TargetsQuery,
    TargetsReply,
)
from trefoilhaven_core.connections.pacing import (
    HELLO_S,
    HelloSchedule,
    hello_interval_s,
)
from trefoilhaven_core.connections.restorations import (
    RegistrationRequest,
    identity_of,
    is_contradicted,
)
from trefoilhaven_core.connections.target_lists import (
    answer_query,
    make_query,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    Member,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.objects import (
    BALANCERS_PREFIX,
    TARGETS_PREFIX,
    read_balancer,
    read_member,
)
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.errors import describe_error
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

LIST_BACKOFF_LIMIT_S: Final = 1.0

# A store that refuses writes may still serve lists.
REGISTRATION_TIMEOUT_S: Final = 0.5


def log_changed_targets(members: Iterable[Member], source: str) -> None:
    """Log targets that are new or whose incarnation or state changed.

    ``source`` is where the change was learned.
    """
    for member in members:
        logger.info(
            'target changed',
            extra={
                'service': member.service,
                'target': member.target,
                'incarnation': member.incarnation,
                'sequence': member.sequence,
                'state': member.state.name,
                'source': source,
            },
        )


class MembershipTask:
    """Finds the targets and tells their agents about this gateway."""

    def __init__(
        self,
        state: GatewayState,
        gossip: GossipTask,
        client: PlatformClient,
        endpoint: DatagramEndpoint,
        transfers: TransferEndpoint,
        segments: SegmentTask,
        target_policies: TargetPolicySender,
        rng: random.Random,
    ) -> None:
        """Register the handlers of reports and of state requests.

        ``registered`` is to be set when this gateway's object is written.
        """
        self.registered = asyncio.Event()
        cfg = state.cfg
        self._state = state
        self._gossip = gossip
        self._client = client
        self._endpoint = endpoint
        self._segments = segments
        self._target_policies = target_policies
        self._rng = rng
        self._hello = BalancerHello(
            cfg.name, cfg.failure_domain, state.runtime.incarnation, HELLO_S
        )
        endpoint.on(TargetReport, self._on_report)
        transfers.on(StateRequest, self._on_state)
        endpoint.on(TargetsQuery, self._on_targets_query)
        endpoint.on(TargetsReply, self._on_targets_reply)
        segments.on_confirm(self._ask_peers)
        self._recovery = RecoveryTask(
            state, gossip, endpoint, transfers, rng, self._on_fetched
        )

    async def run(self) -> None:
        """Find and tell targets until cancelled."""
        await asyncio.gather(
            self._send_hellos(),
            self._read_members(),
            self._fetch_from_seeds(),
            self._recovery.run(),
        )

    async def _send_hellos(self) -> None:
        """Announce this gateway to agents regularly."""
        schedule = HelloSchedule()
        while True:
            unheard = self._state.target_selector.unheard_members()
            recipients = schedule.recipients(
                monotonic(),
                self._state.targets(),
                unheard,
                self._target_policies.hello_bytes,
            )
            self._send_hello(recipients)
            self._target_policies.send_with_hello(recipients)
            await asyncio.sleep(HELLO_S)

    def _send_hello(self, members: Sequence[Member]) -> None:
        interval_s = hello_interval_s(
            len(self._state.targets()), self._target_policies.hello_bytes
        )
        hello = self._hello._replace(interval_s=interval_s)
        addresses = [member.control for member in members]
        self._endpoint.send(hello, *addresses)

    async def _fetch_from_seeds(self) -> None:
        """Fetch the full state from a seed, to start without the store."""
        backoff = Backoff(self._rng, limit_s=LIST_BACKOFF_LIMIT_S)
        while not self._state.router.searches.is_membership_complete:
            if await self._gossip.fetch_from_seeds():
                self._set_membership_complete('a peer')
                return
            await asyncio.sleep(backoff.next_s())

    async def _read_members(self) -> None:
        """Read all members and balancers from the store, with retries.

        An agent lists the balancers after it has registered its target, so
        that either finds the other if this gateway registers first too.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_TIMEOUT_S):
                await self.registered.wait()
        backoff = Backoff(self._rng, limit_s=LIST_BACKOFF_LIMIT_S)
        while True:
            targets = await self._client.list(TARGETS_PREFIX)
            balancers = await self._client.list(BALANCERS_PREFIX)
            if targets.is_ok() and balancers.is_ok():
                break
            failed = targets if targets.is_error() else balancers
            logger.warning(
                'could not list the members and balancers',
                extra={'reason': describe_error(failed.error)},
            )
            await asyncio.sleep(backoff.next_s())
        members = [read_member(each.content) for each in targets.ok.objects]
        records = [read_balancer(each.content) for each in balancers.ok.objects]
        for read in (*members, *records):
            if read.is_error():
                logger.warning(
                    'malformed object', extra={'reason': read.error.reason}
                )
        known = tuple(read.ok for read in members if read.is_ok())
        self._gossip.disseminate_changes(
            Changes(
                self._state.cfg.name,
                known,
                tuple(read.ok for read in records if read.is_ok()),
            )
        )
        self._state.refresh({member.service for member in known})
        self._set_membership_complete('the store')

    def _on_fetched(self, source: str, is_complete: bool) -> None:
        """Use a state that was offered; an agent's is not complete."""
        if self._state.router.searches.is_membership_complete:
            return
        if is_complete:
            self._set_membership_complete('a peer')
            return
        self._state.set_usable(monotonic())
        self._send_hello(self._state.targets())
        logger.info(
            'some targets are known',
            extra={'source': source, 'targets': len(self._state.targets())},
        )

    def _set_membership_complete(self, source: str) -> None:
        self._recovery.on_complete()
        self._state.set_membership_complete(monotonic())
        targets = self._state.targets()
        self._send_hello(targets)
        self._target_policies.send(targets)
        logger.info(
            'list of targets is known',
            extra={'source': source, 'targets': len(targets)},
        )

    def _ask_peers(self, since: float) -> None:
        """Ask peers to confirm the list of targets, if that is due."""
        now = monotonic()
        peers = self._state.confirmation.due_queries(now, since)
        if not peers:
            return
        query = make_query(
            self._state.cfg.name,
            now,
            self._state.targets(),
            self._state.target_selector.departed_members(),
        )
        records = filter(None, map(self._state.store.balancer, peers))
        self._endpoint.send(query, *(record.control for record in records))

    def _on_targets_query(self, query: TargetsQuery, sender: Address) -> None:
        reply = answer_query(
            self._state.cfg.name,
            query,
            self._state.targets(),
            self._rng,
            is_complete=self._state.router.searches.is_membership_complete,
        )
        self._endpoint.send(reply, sender)

    def _on_targets_reply(self, reply: TargetsReply, sender: Address) -> None:
        if reply.members:
            self._gossip.disseminate_changes(
                Changes(self._state.cfg.name, reply.members, ())
            )
            services = {member.service for member in reply.members}
            log_changed_targets(self._state.refresh(services), 'a peer')
        if not reply.is_partial:
            self._recovery.on_complete_peer(reply.sender)
        if reply.sent_at == UNASKED_AT:
            return
        self._state.confirmation.on_reply(
            reply.sender, reply.sent_at, is_partial=reply.is_partial
        )
        self._segments.on_confirmation()

    def _on_report(self, report: TargetReport, sender: Address) -> None:
        self._recovery.on_report(sender)
        member = report.member
        known = self._state.store.member(member.service, member.target)
        if known != member:
            changes = Changes(self._state.cfg.name, (member,), ())
            self._gossip.disseminate_changes(changes)
            changed = self._state.refresh([member.service])
            log_changed_targets(changed, 'its agent')
        if known and is_contradicted(known, member):
            request = RegistrationRequest(
                self._state.cfg.name, identity_of(known), known.sequence + 1
            )
            self._endpoint.send(request, sender)
        self._segments.on_report(report)

    def _on_state(self, req: StateRequest) -> State | None:
        """Return the records, None while this gateway does not know all.

        A starting gateway takes a reply for all services as complete.
        """
        if (
            not req.services
            and not self._state.router.searches.is_membership_complete
        ):
            return None
        return self._state.store.state(self._state.cfg.name, req.services)
