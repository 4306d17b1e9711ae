"""Fencing of unresponsive siblings by a majority of the witnesses.

A sibling's lease is over once a majority of the configured witnesses has
agreed to fence exactly its highest known incarnation and term.
"""

from collections.abc import Collection
from typing import NamedTuple

from trefoilhaven_core.membership.fencing import VOTE_LIFE_S
from trefoilhaven_core.membership.messages import FenceRequest, FenceVote
from trefoilhaven_core.ownership.messages import SeenTerm


class Epoch(NamedTuple):
    """Incarnation and term of an agent; a higher pair is newer."""

    incarnation: int
    term: int


class FenceTracker:
    """Highest known epoch of each sibling and the votes to fence it."""

    def __init__(self, service: str, witnesses: Collection[str]) -> None:
        """Without witnesses, no sibling can be fenced."""
        self._service = service
        self._witnesses = frozenset(witnesses)
        self._majority = len(self._witnesses) // 2 + 1
        self._epochs: dict[str, Epoch] = {}
        # Send times of the requests that the witnesses agreed to, by target
        # and witness.
        self._votes: dict[str, dict[str, float]] = {}
        self._fenced: set[str] = set()

    def epoch(self, target: str) -> Epoch | None:
        """Return the highest known epoch of a target, None if unknown."""
        return self._epochs.get(target)

    def observe_epoch(self, target: str, epoch: Epoch) -> None:
        """Record an epoch; a newer one invalidates votes on the older one."""
        known = self._epochs.get(target)
        if known is None or epoch > known:
            self._epochs[target] = epoch
            self._votes.pop(target, None)
            self._fenced.discard(target)

    def is_old(self, target: str, epoch: Epoch) -> bool:
        """Return whether a newer epoch of the target is known."""
        known = self._epochs.get(target)
        return known is not None and epoch < known

    def is_fenced(self, target: str) -> bool:
        """Return whether a majority has fenced the highest known epoch."""
        return target in self._fenced

    def add_vote(self, now: float, vote: FenceVote) -> bool:
        """Count a vote; return whether it completed a majority.

        Only votes on the highest known epoch count, and only from configured
        witnesses, one per witness. Votes on requests sent more than
        ``VOTE_LIFE_S`` ago don't count, since a restarted witness forgets
        its votes. A complete majority is final, because an agent never
        resumes a term whose lease has expired.
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
        """Return a request to fence the highest known epoch of a target."""
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
        """Return all known epochs, to be included in replies to claims."""
        return tuple(
            SeenTerm(target, *epoch) for target, epoch in self._epochs.items()
        )
