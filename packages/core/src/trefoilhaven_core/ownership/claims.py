"""Exclusive ownership of the buckets of one service by one agent.

An agent claims the buckets for which its table names it first. It owns a
bucket when every registered sibling has granted the claim or is fenced.
"""

import logging
from collections.abc import Collection
from typing import Final

from trefoilhaven_core.membership.messages import FenceVote, ServiceView
from trefoilhaven_core.ownership.buckets import BucketState
from trefoilhaven_core.ownership.claimants import Claimant
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.effects import (
    BucketsAcquired,
    BucketsLost,
    Effect,
    OwnershipState,
)
from trefoilhaven_core.ownership.fences import Epoch, FenceTracker
from trefoilhaven_core.ownership.grants import (
    ClaimResponder,
    HeldItems,
    empty_reply,
)
from trefoilhaven_core.ownership.holders import HolderTracker
from trefoilhaven_core.ownership.leases import LeaseState
from trefoilhaven_core.ownership.messages import ClaimBuckets, ClaimReply
from trefoilhaven_core.ownership.siblings import Siblings
from trefoilhaven_core.routing.tables import BUCKET_COUNT

_logger = logging.getLogger(__name__)

# Default of the service file, in seconds: how long keys are remembered.
RETENTION_S: Final = 600

# Old keys are looked for once in this time, in seconds.
EXPIRY_INTERVAL_S: Final = 10

# Term of a new agent, like that of its lease.
FIRST_TERM: Final = 1

# Time for which a sibling's claim or denial tells more about the owner than
# the table, in seconds. Claimants repeat denied claims more often, and
# older hints of two agents may name each other.
HINT_LIFETIME_S: Final = 1.0


class BucketOwnership:
    """State machine of one agent for all buckets of its service.

    All times named ``now`` are monotonic seconds of the agent and times
    named ``wall`` are Unix seconds. ``tick`` must be called at least every
    100 ms, and at once after ``on_view`` and ``on_term``.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        buckets: int = BUCKET_COUNT,
        witnesses: Collection[str] = (),
        retention_s: float = RETENTION_S,
    ) -> None:
        """Start without a view, owning nothing."""
        self.directory = Directory()
        self.lease = LeaseState()
        self.siblings = Siblings(service, target, incarnation, buckets)
        self._service = service
        self._target = target
        self._states = [BucketState() for _ in range(buckets)]
        self._fences = FenceTracker(service, witnesses)
        self._granter = ClaimResponder(
            self._states, self.directory, self.siblings
        )
        self._holders = HolderTracker(
            self._states, self.directory, self.siblings
        )
        self._claimant = Claimant(
            service,
            target,
            self._states,
            self.directory,
            self.siblings,
            self._fences,
            self._holders,
            Epoch(incarnation, FIRST_TERM),
        )
        self._queued: list[Effect] = []
        self._now = float(0)
        self._retention_s = retention_s
        self._expired_at = float('-inf')

    def on_lease(self, until: float) -> None:
        """Note the end of the agent's own lease."""
        self.lease.extend(until)

    def on_view(self, now: float, view: ServiceView) -> list[Effect]:
        """Take a view of the service and claim what the table names."""
        if view.service != self._service:
            return []
        self.siblings.update(now, view)
        self._holders.drop_departed()
        for name, incarnation in self.siblings.incarnations.items():
            epoch = Epoch(incarnation, FIRST_TERM)
            self._claimant.observe_epoch(now, name, epoch, from_sibling=False)
        self._claimant.follow_table(now)
        return self._requests(now)

    def on_term(self, term: int) -> list[Effect]:
        """Drop all ownership and claims, because the agent was fenced.

        The directory stays until the buckets are granted to the next
        owner: packets that were sent to holders may still be on their way,
        and the holders can't report those flows yet.
        """
        if term <= self._claimant.epoch.term:
            return []
        self._claimant.epoch = self._claimant.epoch._replace(term=term)
        self.lease.revoke()
        lost = tuple(
            bucket for bucket, state in enumerate(self._states) if state.owned
        )
        for state in self._states:
            state.release()
        self.directory.mark_unconfirmed(range(len(self._states)))
        self._claimant.refresh()
        return [BucketsLost(lost, None)] if lost else []

    def on_claim(
        self, now: float, claim: ClaimBuckets, items: HeldItems
    ) -> ClaimReply:
        """Answer a claim; ``items`` returns what the agent holds itself.

        Buckets that are lost by this are reported by the next ``tick``.
        """
        epoch = Epoch(claim.incarnation, claim.term)
        foreign = claim.service != self._service
        is_valid = not foreign and not self._fences.is_old(
            claim.claimant, epoch
        )
        if is_valid:
            self._claimant.observe_epoch(now, claim.claimant, epoch)
        head = empty_reply(
            claim, self._target, self._claimant.epoch, self._fences.seen()
        )
        if not is_valid:
            return head
        owned = [
            bucket for bucket, state in enumerate(self._states) if state.owned
        ]
        reply = self._granter.answer(
            now, claim, self.lease.is_valid(now), items, head
        )
        self._claimant.refresh()
        lost = tuple(
            bucket for bucket in owned if not self._states[bucket].owned
        )
        if lost:
            self._queued.append(BucketsLost(lost, claim.claimant))
        return reply

    def on_reply(
        self, now: float, wall: float, reply: ClaimReply
    ) -> list[Effect]:
        """Count a sibling's answer and acquire what is complete."""
        epoch = Epoch(reply.incarnation, reply.term)
        foreign = reply.service != self._service
        if foreign or self._fences.is_old(reply.sibling, epoch):
            return []
        self._claimant.observe_epoch(now, reply.sibling, epoch)
        for seen in reply.terms:
            if seen.target != self._target:
                epoch_seen = Epoch(seen.incarnation, seen.term)
                self._claimant.observe_epoch(now, seen.target, epoch_seen)
        self._claimant.on_reply(now, reply, epoch)
        return self._acquire(wall, reply.granted) + self._requests(now)

    def on_fence_vote(
        self, now: float, wall: float, vote: FenceVote
    ) -> list[Effect]:
        """Count a witness's vote.

        A refusal that names a newer term teaches that term, so that the
        next request asks for it.
        """
        if vote.service != self._service or vote.target == self._target:
            return []
        if not vote.agreed:
            epoch = Epoch(vote.incarnation, vote.term)
            self._claimant.observe_epoch(now, vote.target, epoch)
        if self._fences.add_vote(now, vote):
            _logger.info('%s is fenced in %s', vote.target, self._service)
            self._claimant.restart_claims(now, not_granted_by=vote.target)
        acquired = self._acquire(wall, self._claimant.pending)
        return acquired + self._requests(now)

    def tick(self, now: float, wall: float) -> list[Effect]:
        """Repeat claims and fence requests and acquire what is complete."""
        self._now = now
        self.lease.tick(now)
        queued = self._queued
        self._queued = []
        self._holders.drop_long_dead(now)
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self.directory.expire(wall - self._retention_s)
        self._claimant.follow_table(now)
        acquired = self._acquire(wall, self._claimant.pending)
        return queued + acquired + self._requests(now)

    def state_of(self, bucket: int) -> OwnershipState:
        """Return how the agent stands to a bucket.

        A bucket whose claim was denied by its owner is elsewhere. A bucket
        that the next ``tick`` will claim counts as being acquired.
        """
        state = self._states[bucket]
        if state.owned:
            return OwnershipState.owned
        if bucket in self.siblings.assigned_buckets and state.denied_by is None:
            return OwnershipState.acquiring
        return OwnershipState.elsewhere

    def owner_hint(self, bucket: int) -> str | None:
        """Return the target that is believed to own a bucket.

        That is the sibling that claimed or denied the bucket a short time
        ago, and otherwise the one that the table names.
        """
        state = self._states[bucket]
        if state.owned:
            return self._target
        first = self.siblings.table.first(bucket)
        is_named = first not in {None, self._target}
        if is_named and self._now - state.owner_hinted_at >= HINT_LIFETIME_S:
            return first
        hint = state.owner_hint
        if hint in self.siblings.names and not self.siblings.is_dead_or_left(
            hint
        ):
            return hint
        return first if is_named else None

    def horizon(self, bucket: int) -> float:
        """Return the Unix time from which all keys are known.

        It is infinite for a bucket that the agent does not own.
        """
        state = self._states[bucket]
        return state.horizon if state.owned else float('inf')

    def is_fenced(self, target: str) -> bool:
        """Return whether a majority of the witnesses fenced a sibling."""
        return self._fences.is_fenced(target)

    def is_complete(self, bucket: int) -> bool:
        """Return whether the directory names all flows of a bucket.

        It does not while a fenced sibling that may still live has not
        reported the items that it holds.
        """
        return not self._states[bucket].unreported

    def _acquire(self, wall: float, buckets: Collection[int]) -> list[Effect]:
        acquired = self._claimant.acquire(wall, buckets)
        return [BucketsAcquired(acquired)] if acquired else []

    def _requests(self, now: float) -> list[Effect]:
        return [
            *self._claimant.due_claims(now),
            *self._claimant.due_fence_requests(now),
        ]
