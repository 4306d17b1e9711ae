"""Exclusive ownership of the buckets of one service by one agent.

An agent claims the buckets that its bucket table assigns to it as first
choice. It owns a bucket once every registered sibling has granted the claim
or is fenced.
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

# Default retention of request keys in the service file, in seconds.
KEY_RETENTION_S: Final = 600

# Interval at which expired request keys are removed, in seconds.
EXPIRY_INTERVAL_S: Final = 10

# Initial term of an agent; its lease starts with the same term.
FIRST_TERM: Final = 1

# Time in seconds for which an owner hint from a granted claim or a denial
# takes precedence over the bucket table. Denied claims are retried at a
# shorter interval; with older hints, two agents may forward to each other.
HINT_LIFETIME_S: Final = 1.0


class BucketOwnership:
    """State machine of one agent for all buckets of its service.

    Arguments named ``now`` are seconds on the agent's monotonic clock,
    those named ``wall`` are Unix time in seconds. ``tick`` must be called at
    least every 100 ms, and immediately after ``on_view`` and ``on_term``.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        buckets: int = BUCKET_COUNT,
        witnesses: Collection[str] = (),
        retention_s: float = KEY_RETENTION_S,
    ) -> None:
        self.directory = Directory()
        self.lease = LeaseState()
        self.siblings = Siblings(service, target, incarnation, buckets)
        self._service = service
        self._target = target
        self._states = [BucketState() for _ in range(buckets)]
        self._fences = FenceTracker(service, witnesses)
        self._responder = ClaimResponder(
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
        """Extend the agent's own lease to a monotonic time in seconds."""
        self.lease.extend(until)

    def on_view(self, now: float, view: ServiceView) -> list[Effect]:
        """Apply a view of the service and claim the assigned buckets.

        Views of other services are ignored.
        """
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
        """Release all buckets and claims after the agent was fenced.

        A term that is not newer than the current one is ignored. The
        directory is kept until the buckets are granted to the next owner:
        packets sent to holders may still be in transit, and the holders
        can't report those flows yet.
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
        """Return the reply to a sibling's claim.

        ``items`` returns the entries that the agent itself holds in the
        given buckets. A claim of another service or with an outdated epoch
        gets an empty reply. Buckets that the agent loses by granting the
        claim are reported by the next ``tick``.
        """
        epoch = Epoch(claim.incarnation, claim.term)
        is_foreign = claim.service != self._service
        is_valid = not is_foreign and not self._fences.is_old(
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
        reply = self._responder.answer(
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
        """Apply a sibling's reply and acquire fully granted buckets."""
        epoch = Epoch(reply.incarnation, reply.term)
        is_foreign = reply.service != self._service
        if is_foreign or self._fences.is_old(reply.sibling, epoch):
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
        """Count a witness's vote on a fence request.

        A refusal carries the newer term of the target, which the next
        request then asks to fence.
        """
        if vote.service != self._service or vote.target == self._target:
            return []
        if not vote.agreed:
            epoch = Epoch(vote.incarnation, vote.term)
            self._claimant.observe_epoch(now, vote.target, epoch)
        if self._fences.add_vote(now, vote):
            _logger.info(
                'sibling fenced: %s of service %s', vote.target, self._service
            )
            self._claimant.restart_claims(now, ungranted_by=vote.target)
        acquired = self._acquire(wall, self._claimant.pending)
        return acquired + self._requests(now)

    def tick(self, now: float, wall: float) -> list[Effect]:
        """Send due claims and fence requests and run periodic checks.

        The effects include losses that ``on_claim`` caused and buckets
        whose claims have been fully granted.
        """
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
        """Return whether the agent owns, acquires or does not own a bucket.

        A bucket whose claim was denied by its owner is ``elsewhere``. A
        bucket that the next ``tick`` will claim is ``acquiring``.
        """
        state = self._states[bucket]
        if state.owned:
            return OwnershipState.owned
        if bucket in self.siblings.assigned_buckets and state.denied_by is None:
            return OwnershipState.acquiring
        return OwnershipState.elsewhere

    def owner_hint(self, bucket: int) -> str | None:
        """Return the target that probably owns a bucket, None if unknown.

        This is the sibling to which the agent last granted the bucket or
        which last denied a claim of it, if that was within
        ``HINT_LIFETIME_S``, otherwise the table's first choice. The hint has
        no time limit if the table names the agent itself or no target. A
        sibling that is dead, left or not registered is never returned as a
        hint.
        """
        state = self._states[bucket]
        if state.owned:
            return self._target
        first = self.siblings.table.first(bucket)
        is_assigned = first not in {None, self._target}
        if is_assigned and self._now - state.owner_hinted_at >= HINT_LIFETIME_S:
            return first
        hint = state.owner_hint
        if hint in self.siblings.names and not self.siblings.is_dead_or_left(
            hint
        ):
            return hint
        return first if is_assigned else None

    def horizon(self, bucket: int) -> float:
        """Return the Unix time in seconds from which all keys are known.

        It is infinite for a bucket that the agent does not own.
        """
        state = self._states[bucket]
        return state.horizon if state.owned else float('inf')

    def is_fenced(self, target: str) -> bool:
        """Return whether a majority of the witnesses has fenced a sibling."""
        return self._fences.is_fenced(target)

    def is_complete(self, bucket: int) -> bool:
        """Return whether the directory lists all flows of a bucket.

        It is incomplete while a fenced sibling that may still be running
        has not reported the items that it holds.
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
