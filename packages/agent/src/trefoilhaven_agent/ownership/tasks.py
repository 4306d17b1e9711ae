"""Task for claims of buckets between the agents of a service."""

import asyncio
import logging
import time
from collections.abc import Collection, Iterable, Iterator
from typing import Final, Protocol

from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.messages import (
    Address,
    FenceRequest,
    FenceVote,
)
from trefoilhaven_core.ownership.effects import (
    BucketsAcquired,
    Effect,
    BucketsLost,
    SendClaim,
    SendFence,
)
from trefoilhaven_core.ownership.messages import (
    ClaimBuckets,
    ClaimReply,
    DirectoryEntry,
)
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.calls import call_channel
from trefoilhaven_core.wire.channels import ChannelPool
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# The decision code needs a tick every 100 ms; a tick takes about 0.1 ms.
TICK_S: Final = 0.1

# Timeout of a claim call in seconds. It is shorter than the 2 s of other peer
# calls: the decision code repeats claims, but none is sent to a sibling while
# a call to it is pending.
CLAIM_TIMEOUT_S: Final = 1.0


class AcquiredHandler(Protocol):
    """Handler of packets that waited for the acquisition of a bucket."""

    def on_acquired(self, buckets: Iterable[int]) -> None:
        """Process the buckets that the agent now owns."""


class OwnershipTask:
    """Drives the ownership state machine and carries out its effects."""

    def __init__(
        self,
        state: AgentState,
        endpoint: DatagramEndpoint,
        channels: ChannelPool,
        acquired_handler: AcquiredHandler,
    ) -> None:
        """Register the handler of fence votes on the control socket."""
        self._state = state
        self._endpoint = endpoint
        self._channels = channels
        self._acquired_handler = acquired_handler
        self._calls: set[asyncio.Task[None]] = set()
        self._pending_claims: set[str] = set()
        endpoint.on(FenceVote, self._on_vote)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Repeat claims and fence requests that are due."""
        ownership = self._state.ownership
        self.apply(ownership.tick(monotonic(), time.time()))

    def on_view(self) -> None:
        """Apply the current view of the service."""
        view = self._state.store.view(self._state.cfg.service)
        self.apply(self._state.ownership.on_view(monotonic(), view))

    def on_term(self, term: int) -> None:
        """Start a new term, which ends all ownership."""
        self.apply(self._state.ownership.on_term(term))

    async def on_claim(self, claim: ClaimBuckets) -> ClaimReply:
        """Answer the claim of a sibling."""
        reply = self._state.ownership.on_claim(
            monotonic(),
            claim,
            self._directory_entries,
        )
        self.tick()
        return reply

    def apply(self, effects: Iterable[Effect]) -> None:
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, SendClaim):
                self._send_claim(effect)
            elif isinstance(effect, SendFence):
                self._send_fence(effect.request)
            elif isinstance(effect, BucketsAcquired):
                self._publish('buckets acquired', effect.buckets, '')
                self._state.record_acquired(effect.buckets)
                self._acquired_handler.on_acquired(effect.buckets)
            elif isinstance(effect, BucketsLost):
                owner = effect.new_owner or 'nobody, the lease is over'
                self._publish('buckets lost', effect.buckets, f' to {owner}')

    def _publish(
        self,
        kind: str,
        buckets: Collection[int],
        suffix: str,
    ) -> None:
        self._state.runtime.publish(
            kind,
            self._state.cfg.service,
            host=self._state.cfg.name,
            detail=f'{len(buckets)} buckets{suffix}',
        )

    def _directory_entries(
        self, buckets: Collection[int]
    ) -> Iterator[DirectoryEntry]:
        yield from self._state.flows.directory_entries(buckets)
        yield from self._state.requests.directory_entries(buckets)

    def _send_claim(self, effect: SendClaim) -> None:
        member = self._state.store.member(
            self._state.cfg.service,
            effect.target,
        )
        if member is None or effect.target in self._pending_claims:
            return
        self._pending_claims.add(effect.target)
        task = asyncio.create_task(
            self._claim(effect.target, member.rpc, effect.claim),
        )
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _claim(
        self,
        target: str,
        address: Address,
        claim: ClaimBuckets,
    ) -> None:
        clock = self._state.runtime.clock
        try:
            called = await call_channel(
                self._channels.get(address),
                address,
                claim,
                clock=clock.stamp(),
                timeout_s=CLAIM_TIMEOUT_S,
            )
        finally:
            self._pending_claims.discard(target)
        if called.is_error():
            logger.info('claim call failed', extra={'host': target})
            return
        clock.observe(called.ok.clock)
        reply = called.ok.message
        if isinstance(reply, ClaimReply):
            effects = self._state.ownership.on_reply(
                monotonic(),
                time.time(),
                reply,
            )
            self.apply(effects)

    def _send_fence(self, req: FenceRequest) -> None:
        for witness in self._state.cfg.witnesses:
            self._endpoint.send(req, witness.control)

    def _on_vote(self, vote: FenceVote, sender: Address) -> None:
        ownership = self._state.ownership
        was_fenced = ownership.is_fenced(vote.target)
        effects = ownership.on_fence_vote(monotonic(), time.time(), vote)
        if ownership.is_fenced(vote.target) and not was_fenced:
            self._state.runtime.publish(
                'sibling fenced',
                vote.service,
                host=vote.target,
                detail=f'term {vote.term}, by a majority of the witnesses',
            )
        self.apply(effects)
