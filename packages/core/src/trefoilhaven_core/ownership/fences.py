"""Proof that the lease of a silent sibling is over.

A sibling's term counts as fenced when a majority of the configured
witnesses agreed for exactly its highest known incarnation and term.
"""

from collections.abc import Collection
from typing import NamedTuple

from trefoilhaven_core.membership.fencing import VOTE_LIFE_S
from trefoilhaven_core.membership.messages import FenceRequest, FenceVote
from trefoilhaven_core.ownership.messages import SeenTerm


class Epoch(NamedTuple):
    """Incarnation and term of an agent; the higher pair is the newer."""

    incarnation: int
    term: int


class FenceTracker:
    """Highest known epoch of each sibling, and the votes against it."""

    def __init__(self, service: str, witnesses: Collection[str]) -> None:
        """Start with no votes.

        Without witnesses nothing can be proved.
        """
        self._service = service
        self._witnesses = frozenset(witnesses)
        self._majority = len(self._witnesses) // 2 + 1
        self._epochs: dict[str, Epoch] = {}
        # Send times of the requests that witnesses agreed to.
        self._votes: dict[str, dict[str, float]] = {}
        self._fenced: set[str] = set()

    def epoch(self, target: str) -> Epoch | None:
        """Return the highest epoch seen of a target, None if none was."""
        return self._epochs.get(target)

    def observe_epoch(self, target: str, epoch: Epoch) -> None:
        """Note an epoch; votes against an older one no longer count."""
        known = self._epochs.get(target)
        if known is None or epoch > known:
            self._epochs[target] = epoch
            self._votes.pop(target, None)
            self._fenced.discard(target)

    def is_old(self, target: str, epoch: Epoch) -> bool:
        """Return whether a newer epoch of the target was seen."""
        known = self._epochs.get(target)
        return known is not None and epoch < known

    def is_fenced(self, target: str) -> bool:
        """Return whether a majority fenced the highest known epoch."""
        return target in self._fenced

    def add_vote(self, now: float, vote: FenceVote) -> bool:
        """Count a vote; return whether it completed the proof.

        A vote for another term than the highest known one proves nothing.
        Votes of processes that aren't configured as witnesses and repeated
        votes of one witness don't count, and neither do votes that were
        cast far apart, since a restarted witness forgets its own. A
        complete proof stays, because an agent never resumes a term whose
        lease lapsed.
        """
        if vote.service != self._service or vote.witness not in self._witnesses:
            return False
        epoch = Epoch(vote.incarnation, vote.term)
        if self._epochs.get(vote.target) != epoch or self.is_fenced(
            vote.target
        ):
            return False
        votes = self._votes.setdefault(vote.target, {})
        votes.pop(vote.witness, None)
        if vote.agreed:
            votes[vote.witness] = vote.sent_at
        recent = [
            sent_at
            for sent_at in votes.values()
            if 0 <= now - sent_at <= VOTE_LIFE_S
        ]
        if len(recent) < self._majority:
            return False
        self._fenced.add(vote.target)
        return True

    def request(self, now: float, target: str, claimant: str) -> FenceRequest:
        """Return the request to fence a target's highest known epoch."""
        epoch = self._epochs[target]
        return FenceRequest(
            self._service,
            target,
            epoch.incarnation,
            epoch.term,
            claimant,
            now,
        )

    def seen(self) -> tuple[SeenTerm, ...]:
        """Return the highest epochs seen, for the replies to siblings."""
        return tuple(
            SeenTerm(target, *epoch) for target, epoch in self._epochs.items()
        )
