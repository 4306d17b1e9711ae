"""Comparison of the targets with a store that has come back older.

Each gateway learns of a new era by its own calls. Those of the lowest ranks
list the targets; the others learn the result by gossip.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Final

from trefoilhaven.balancer.gossip import GossipTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.restorations import (
    MAX_QUERY_TARGETS,
    Comparison,
    HeardPoll,
    HeardQuery,
    HeardReply,
    RegistrationRequest,
    compare_targets,
    identity_of,
    may_conclude,
)
from trefoilhaven_core.connections.silences import SILENCE_TIMEOUT_INTERVALS
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.objects import TARGETS_PREFIX, read_member
from trefoilhaven_core.membership.ranks import balancer_rank
from trefoilhaven_core.membership.records import mark_left
from trefoilhaven_core.platform.clients import Listing, PlatformClient
from trefoilhaven_core.platform.errors import describe_error
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# Time from the first answer in the new era until the list counts, in seconds.
# Lost entries of live targets are back in about two seconds.
SETTLE_S: Final = 2.5

# Gateways that list at once, to ask the agents of lost entries to register
# again, and those that list after the time above. Two and three are enough
# when the store refuses one of them.
EARLY_LISTS: Final = 2
LATE_LISTS: Final = 3

# Time in seconds between the lists of two ranks, and the jitter of each.
RANK_DELAY_S: Final = 0.2
JITTER_S: Final = 0.2

# Wait for the replies of the other gateways, in seconds, and the number of
# rounds before a gateway that gets too few replies gives up. The object of a
# failed host is removed later in any case.
REPLY_WAIT_S: Final = 0.5
MAX_ROUNDS: Final = 5
ROUND_INTERVAL_S: Final = 1.0


class RestorationTask:
    """Decides which targets have gone when the store comes back older."""

    def __init__(
        self,
        state: GatewayState,
        gossip: GossipTask,
        client: PlatformClient,
        endpoint: DatagramEndpoint,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Register the handlers of queries and of new eras."""
        self._sleep = sleep
        self._state = state
        self._gossip = gossip
        self._client = client
        self._endpoint = endpoint
        self._rng = rng
        self._since = 0.0
        self._risen = asyncio.Event()
        self._poll: HeardPoll | None = None
        self._replied = asyncio.Event()
        client.on_new_era(self.on_new_era)
        endpoint.on(HeardQuery, self._on_query)
        endpoint.on(HeardReply, self._on_reply)

    def on_new_era(self, era: int) -> None:
        """Note the first answer of a new era."""
        self._since = monotonic()
        self._risen.set()

    async def run(self) -> None:
        """Compare the targets after each new era, until cancelled."""
        while True:
            await self._risen.wait()
            self._risen.clear()
            if self._rank() < EARLY_LISTS:
                await self._wait_for_turn()
                await self._compare()
            settle_s = max(
                SETTLE_S,
                SILENCE_TIMEOUT_INTERVALS
                * self._state.target_selector.failure_detector.report_s,
            )
            await self._sleep(max(0.0, self._since + settle_s - monotonic()))
            if self._rank() < LATE_LISTS and not self._risen.is_set():
                await self._wait_for_turn()
                await self._end_gone()

    async def _wait_for_turn(self) -> None:
        jitter_s = self._rng.uniform(0, JITTER_S)
        await self._sleep(self._rank() * RANK_DELAY_S + jitter_s)

    async def _end_gone(self) -> None:
        """End the targets that no gateway has heard in the new era."""
        for _ in range(MAX_ROUNDS):
            compared = await self._compare()
            if self._risen.is_set() or (compared and not compared.silent):
                return
            selector = self._state.target_selector
            if compared and may_conclude(
                self._state.targets(), selector.heard_since(self._since)
            ):
                asked = compared.silent[:MAX_QUERY_TARGETS]
                gone = await self._ask_peers(asked)
                if self._risen.is_set():
                    return
                self._end(gone or ())
                if gone is not None and asked == compared.silent:
                    return
            await self._sleep(ROUND_INTERVAL_S)
        logger.warning('targets are neither listed nor known to be gone')

    async def _compare(self) -> Comparison | None:
        """List the targets and act on the differences; None on a failure."""
        listing = await self._client.list(TARGETS_PREFIX)
        if listing.is_error():
            logger.warning(
                'could not list the targets of the new era',
                extra={'reason': describe_error(listing.error)},
            )
            return None
        read = [read_member(each.content) for each in listing.ok.objects]
        listed = [each.ok for each in read if each.is_ok()]
        name = self._state.cfg.name
        self._gossip.disseminate_changes(Changes(name, tuple(listed), ()))
        self._state.refresh({member.service for member in listed})
        selector = self._state.target_selector
        compared = compare_targets(
            listed,
            self._state.targets(),
            selector.departed_members(),
            selector.heard_since(self._since),
        )
        logger.info(
            'targets compared with the store',
            extra={
                'era': listing.ok.era,
                'listed': len(listed),
                'unregistered': len(compared.unregistered),
                'silent': len(compared.silent),
                'departed': len(compared.departed),
            },
        )
        for member in (*compared.unregistered, *compared.silent):
            self._request_registration(member)
        if not self._rank():
            await self._delete(listing.ok, compared.departed)
        return compared

    def _request_registration(self, member: Member) -> None:
        request = RegistrationRequest(
            self._state.cfg.name, identity_of(member), member.sequence
        )
        self._endpoint.send(request, member.control)

    async def _delete(
        self, listing: Listing, departed: tuple[Member, ...]
    ) -> None:
        """Delete objects that the copy has again, unless they have changed."""
        identities = set(map(identity_of, departed))
        for found in listing.objects:
            read = read_member(found.content)
            if read.is_error() or identity_of(read.ok) not in identities:
                continue
            deleted = await self._client.delete(found.path, found.version)
            logger.info(
                'object of a departed target deleted again',
                extra={
                    'path': found.path,
                    'target': read.ok.target,
                    'is_deleted': deleted.is_ok(),
                },
            )

    async def _ask_peers(
        self, members: tuple[Member, ...]
    ) -> tuple[Member, ...] | None:
        """Return the members that the other gateways have not heard either.

        The result is None when too few have replied.
        """
        now = monotonic()
        peers = [
            record
            for record in self._state.store.balancers
            if record.name != self._state.cfg.name
            and record.state < MemberState.dead
        ]
        query = HeardQuery(
            self._state.cfg.name,
            now,
            now - self._since,
            tuple(map(identity_of, members)),
        )
        poll = HeardPoll(query, members, (record.name for record in peers))
        self._poll = poll
        self._replied.clear()
        self._endpoint.send(query, *(record.control for record in peers))
        if peers:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPLY_WAIT_S):
                    await self._replied.wait()
        self._poll = None
        if not poll.is_decided:
            return None
        heard = self._state.target_selector.heard_since(self._since)
        return tuple(
            each for each in poll.gone() if identity_of(each) not in heard
        )

    def _end(self, members: tuple[Member, ...]) -> None:
        left = tuple(map(mark_left, members))
        if not left:
            return
        self._gossip.disseminate_changes(
            Changes(self._state.cfg.name, left, ())
        )
        self._state.refresh({member.service for member in left})
        for member in left:
            logger.warning(
                'target is gone after the return of the store',
                extra={
                    'service': member.service,
                    'target': member.target,
                    'incarnation': member.incarnation,
                    'silent_s': round(monotonic() - self._since, 2),
                },
            )

    def _on_query(self, query: HeardQuery, sender: Address) -> None:
        heard = self._state.target_selector.heard_since(
            monotonic() - query.within_s
        )
        known = tuple(each for each in query.targets if each in heard)
        reply = HeardReply(self._state.cfg.name, query.sent_at, known)
        self._endpoint.send(reply, sender)

    def _on_reply(self, reply: HeardReply, sender: Address) -> None:
        if self._poll is not None:
            self._poll.on_reply(reply)
            if self._poll.is_complete:
                self._replied.set()

    def _rank(self) -> int:
        return balancer_rank(self._state.cfg.name, self._state.store.balancers)
