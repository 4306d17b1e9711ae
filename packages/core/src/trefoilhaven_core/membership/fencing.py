"""Count of the votes that fence one term of an agent.

A majority proves that the term's lease has ended only if its votes were
cast close together: a witness loses its vote in a restart and may
acknowledge the term again after its quiet period of 2.5 s.

``FenceTally`` is used by the tests of leases only. Agents count votes by
``ownership.fences.FenceTracker`` and repeat requests every 0.2 s
(``ownership.claimants.RETRY_S``), not after ``REQUEST_INTERVAL_S``.
"""

from typing import Final

from trefoilhaven_core.membership.leases import LEASE_S
from trefoilhaven_core.membership.messages import FenceRequest, FenceVote

# A vote counts for this time from the send time of its request. This is the
# quiet period of a restarted witness less the margin for clock rates.
VOTE_LIFE_S: Final = LEASE_S

REQUEST_INTERVAL_S: Final = 0.5

_NEVER: Final = float('-inf')


class FenceTally:
    """A claimant's attempt to fence one target.

    If a witness votes against the request and reports a higher incarnation
    or term, the claimant requests that one from then on.
    """

    def __init__(
        self, request: FenceRequest, witnesses: tuple[str, ...]
    ) -> None:
        """Start without votes; the majority is one of ``witnesses``."""
        self.request = request
        self.fenced = False
        self._witnesses = witnesses
        self._agreed_at: dict[str, float] = {}
        self._sent_at = _NEVER

    def due_request(self, now: float) -> FenceRequest | None:
        """Return the request if it is due to be sent to all witnesses."""
        if self.fenced or now - self._sent_at < REQUEST_INTERVAL_S:
            return None
        self._sent_at = now
        return self.request._replace(sent_at=now)

    def on_vote(self, now: float, vote: FenceVote) -> bool:
        """Count a vote and return whether the target is fenced."""
        identity = (self.request.service, self.request.target)
        if (vote.service, vote.target) != identity or self.fenced:
            return self.fenced
        if vote.witness not in self._witnesses:
            return False
        pair = (vote.incarnation, vote.term)
        wanted = (self.request.incarnation, self.request.term)
        if not vote.agreed:
            self._agreed_at.pop(vote.witness, None)
            if pair > wanted:
                self._ask_for(*pair)
            return False
        if pair == wanted:
            self._agreed_at[vote.witness] = vote.sent_at
        self.fenced = self._count(now) > len(self._witnesses) // 2
        return self.fenced

    def _ask_for(self, incarnation: int, term: int) -> None:
        self.request = self.request._replace(incarnation=incarnation, term=term)
        self._agreed_at.clear()
        self._sent_at = _NEVER

    def _count(self, now: float) -> int:
        return sum(
            now - agreed_at <= VOTE_LIFE_S
            for agreed_at in self._agreed_at.values()
        )
