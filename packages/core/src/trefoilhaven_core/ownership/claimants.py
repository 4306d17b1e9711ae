"""Claims that an agent sends: rounds, grants and acquisition."""

from collections.abc import Collection
from typing import Final

from trefoilhaven_core.ownership.buckets import BucketState
from trefoilhaven_core.ownership.directories import Directory, exclude_own
from trefoilhaven_core.ownership.effects import SendClaim, SendFence
from trefoilhaven_core.ownership.fences import Epoch, FenceTracker
from trefoilhaven_core.ownership.holders import HolderTracker
from trefoilhaven_core.ownership.messages import ClaimBuckets, ClaimReply
from trefoilhaven_core.ownership.siblings import Siblings

# Retry interval of claims and fence requests, in seconds.
RETRY_S: Final = 0.2

# Maximum difference between the wall clocks of callers and agents, in
# seconds.
CLOCK_ERROR_S: Final = 0.25

# A registered sibling that no witness has reported for this time in seconds
# is fenced like a dead one.
ABSENT_S: Final = 5

# Age in seconds from which a claim round may have missed the fencing of a
# sibling: the lease time plus a margin for differing clock rates.
_MISSED_FENCE_S: Final = 2.5

_NEVER: Final = float('-inf')

# The first claim id is the incarnation in milliseconds times this factor, so
# that claim ids keep increasing across restarts.
_IDS_PER_MILLISECOND: Final = 1024


class Claimant:
    """Sends claims for the assigned buckets and evaluates the replies."""

    def __init__(
        self,
        service: str,
        target: str,
        states: list[BucketState],
        directory: Directory,
        siblings: Siblings,
        fences: FenceTracker,
        holders: HolderTracker,
        epoch: Epoch,
    ) -> None:
        self.epoch = epoch
        self.pending: set[int] = set()
        self._service = service
        self._target = target
        self._states = states
        self._directory = directory
        self._siblings = siblings
        self._fences = fences
        self._holders = holders
        self._heard: set[str] = set()
        self._last_claim_id = epoch.incarnation * _IDS_PER_MILLISECOND
        self._asked_at: dict[str, float] = {}
        self._fenced_at: dict[str, float] = {}

    def follow_table(self, now: float) -> None:
        """Claim newly assigned buckets and pause claims of other buckets.

        An owned bucket stays owned until a sibling claims it.
        """
        assigned = self._siblings.assigned_buckets
        for bucket in self.pending - assigned:
            self._states[bucket].pause_claim()
        self.pending &= assigned
        new = [
            bucket
            for bucket in assigned - self.pending
            if not self._states[bucket].owned
        ]
        if not new:
            return
        self._last_claim_id += 1
        for bucket in new:
            self._states[bucket].begin_claim(now, self._last_claim_id)
        self._directory.mark_unconfirmed(new)
        self.pending.update(new)
        self._asked_at.clear()

    def refresh(self) -> None:
        """Remove claims that ended because the bucket was granted away."""
        self.pending = {
            bucket for bucket in self.pending if self._states[bucket].claiming
        }
        self._holders.refresh()

    def observe_epoch(
        self, now: float, target: str, epoch: Epoch, from_sibling: bool = True
    ) -> None:
        """Record the epoch of a sibling and restart claims if it is newer.

        The sibling may have owned buckets under its older epoch without
        transferring them. On its first message, if it has not restarted,
        only claims old enough to have missed the fence are restarted.
        """
        known = self._fences.epoch(target)
        self._fences.observe_epoch(target, epoch)
        is_first = target not in self._heard
        if from_sibling:
            self._heard.add(target)
        if known is None or epoch <= known:
            return
        restarted = epoch.incarnation > known.incarnation
        if restarted:
            self._directory.mark_holder_lost(target, epoch.incarnation - 1)
        missed = is_first and not restarted
        self.restart_claims(now, older_than=_MISSED_FENCE_S if missed else 0)

    def restart_claims(
        self, now: float, ungranted_by: str | None = None, older_than: float = 0
    ) -> None:
        """Restart claims of buckets whose owner may not have transferred them.

        Entries reported earlier may be incomplete, and a horizon that was
        transferred earlier may be older than that owner's last key. Only
        buckets that the sibling ``ungranted_by`` has not granted and rounds
        of at least ``older_than`` seconds are restarted.
        """
        self._last_claim_id += 1
        for bucket, state in enumerate(self._states):
            is_old = now - state.round_started >= older_than
            if state.owned or not is_old or ungranted_by in state.grants:
                continue
            self._directory.mark_unconfirmed((bucket,))
            state.restart(now, self._last_claim_id if state.claiming else 0)
        self._asked_at.clear()

    def on_reply(self, now: float, reply: ClaimReply, epoch: Epoch) -> None:
        """Apply a reply; grants for abandoned claims are ignored.

        A late reply for an owned bucket is used only if the sibling's items
        are unknown, and never replaces what the owner has recorded since.
        """
        valid = {
            bucket
            for bucket in reply.granted
            if self._is_expected(bucket, reply)
        }
        entries = exclude_own(
            reply.entries, self._target, self.epoch.incarnation
        )
        for entry in entries:
            if entry.bucket in valid:
                owned = self._states[entry.bucket].owned
                self._directory.merge(entry, reply.sibling, keep_known=owned)
        for bucket in valid:
            state = self._states[bucket]
            state.unreported.discard(reply.sibling)
            if state.claiming and state.round_number == reply.round_number:
                self._apply_grant(now, bucket, reply, epoch)
        self._apply_horizons(reply, valid)
        for bucket in reply.owned:
            self._apply_denial(now, bucket, reply)
        self.refresh()

    def acquire(self, wall: float, buckets: Collection[int]) -> tuple[int, ...]:
        """Acquire and return buckets that all unfenced siblings granted."""
        if not self._siblings.knows_claimants():
            return ()
        acquired = tuple(
            sorted(
                bucket
                for bucket in buckets
                if bucket in self.pending and self._is_granted(bucket)
            )
        )
        for bucket in acquired:
            state = self._states[bucket]
            unreported = set(self._siblings.names).difference(state.grants)
            state.acquire(state.transferred_horizon or wall + CLOCK_ERROR_S)
            self._holders.set_unreported(bucket, unreported)
        self.pending.difference_update(acquired)
        return acquired

    def due_claims(self, now: float) -> list[SendClaim]:
        """Return the claims that are due, by sibling, claim id and round.

        Claims that started at different times have different ids and need
        separate messages.
        """
        effects: list[SendClaim] = []
        for sibling in self._siblings.names:
            if now - self._asked_at.get(sibling, _NEVER) < RETRY_S:
                continue
            due = self._claims_to(sibling)
            if due:
                self._asked_at[sibling] = now
                effects.extend(SendClaim(sibling, claim) for claim in due)
        return effects

    def due_fence_requests(self, now: float) -> list[SendFence]:
        """Return the fence requests that are due."""
        effects = []
        for sibling in self._siblings.names:
            is_due = now - self._fenced_at.get(sibling, _NEVER) >= RETRY_S
            if is_due and self._needs_fence(now, sibling):
                self._fenced_at[sibling] = now
                request = self._fences.request(now, sibling, self._target)
                effects.append(SendFence(request))
        return effects

    def _claims_to(self, sibling: str) -> list[ClaimBuckets]:
        groups: dict[tuple[int, int], list[int]] = {}
        for bucket in self._asked_of(sibling):
            state = self._states[bucket]
            key = (state.claim_id, state.round_number)
            groups.setdefault(key, []).append(bucket)
        return [
            ClaimBuckets(
                self._service,
                self._target,
                self.epoch.incarnation,
                self.epoch.term,
                claim_id,
                round_number,
                self._siblings.registry_version,
                tuple(sorted(buckets)),
            )
            for (claim_id, round_number), buckets in groups.items()
        ]

    def _asked_of(self, sibling: str) -> list[int]:
        gone = self._siblings.is_dead_or_left(sibling)
        asked: list[int] = []
        if not (gone and self._fences.is_fenced(sibling)):
            asked.extend(
                bucket
                for bucket in self.pending
                if sibling not in self._states[bucket].grants
            )
        if not gone:
            asked.extend(self._holders.unreported_buckets(sibling))
        return asked

    def _is_current(self, bucket: int, claim_id: int) -> bool:
        known = 0 <= bucket < len(self._states)
        return known and self._states[bucket].claim_id == claim_id

    def _is_expected(self, bucket: int, reply: ClaimReply) -> bool:
        if not self._is_current(bucket, reply.claim_id):
            return False
        state = self._states[bucket]
        return not state.owned or reply.sibling in state.unreported

    def _is_granted(self, bucket: int) -> bool:
        grants = self._states[bucket].grants
        return all(
            name in grants or self._fences.is_fenced(name)
            for name in self._siblings.names
        )

    def _apply_grant(
        self, now: float, bucket: int, reply: ClaimReply, epoch: Epoch
    ) -> None:
        state = self._states[bucket]
        is_transferred = any(one.bucket == bucket for one in reply.transferred)
        if state.denied_by == reply.sibling and not is_transferred:
            # The former owner has transferred the bucket to another sibling,
            # which may have the directory and must be asked again.
            self._last_claim_id += 1
            self._directory.mark_unconfirmed((bucket,))
            state.restart(now, self._last_claim_id)
            self._asked_at.clear()
            return
        state.grants[reply.sibling] = epoch
        state.denied_by = None

    def _apply_horizons(self, reply: ClaimReply, valid: set[int]) -> None:
        for bucket, horizon in reply.transferred:
            state = self._states[bucket]
            if bucket in valid and not state.owned:
                state.transferred_horizon = max(
                    state.transferred_horizon or horizon, horizon
                )

    def _apply_denial(self, now: float, bucket: int, reply: ClaimReply) -> None:
        if not self._is_current(bucket, reply.claim_id):
            return
        state = self._states[bucket]
        if state.claiming and reply.sibling not in state.grants:
            state.denied_by = reply.sibling
            state.set_owner_hint(now, reply.sibling)

    def _needs_fence(self, now: float, sibling: str) -> bool:
        if self._fences.is_fenced(sibling):
            return False
        silent_s = self._siblings.silent_s(now, sibling)
        if not self._siblings.is_dead_or_left(sibling) and silent_s < ABSENT_S:
            return False
        return any(
            sibling not in self._states[bucket].grants
            for bucket in self.pending
        )
