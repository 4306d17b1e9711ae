"""A witness with the rules of leases and fencing, for the schedules."""

from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import FenceRequest, FenceVote
from trefoilhaven_core.ownership.fences import Epoch

# Lease time and margin for clock rates, in seconds.
LEASE_S: Final = 2.0
FENCE_S: Final = 2.5


class Beat(NamedTuple):
    """A heartbeat, reduced to what the lease needs."""

    target: str
    epoch: Epoch
    draining: bool
    sent_at: float


class FakeWitness:
    """Acknowledges heartbeats and votes on fences."""

    def __init__(self, service: str, name: str, now: float) -> None:
        """Start silent for one period, as a restarted witness must."""
        self.name = name
        self._service = service
        self._silent_until = now + FENCE_S
        self._acked: dict[str, tuple[Epoch, float]] = {}
        self._fenced: dict[str, Epoch] = {}

    def on_beat(self, now: float, beat: Beat) -> bool | None:
        """Return True to acknowledge, False to refuse, None to ignore."""
        if now < self._silent_until:
            return None
        fenced = self._fenced.get(beat.target)
        if fenced is not None and beat.epoch <= fenced:
            return False
        acked = self._acked.get(beat.target)
        if acked is not None and beat.epoch < acked[0]:
            return None
        self._acked[beat.target] = (beat.epoch, now)
        return True

    def on_request(self, now: float, request: FenceRequest) -> FenceVote:
        """Vote; a refusal names the newest epoch that is known."""
        epoch = Epoch(request.incarnation, request.term)
        acked_epoch, acked_at = self._acked.get(
            request.target, (epoch, float('-inf'))
        )
        agreed = (
            now >= self._silent_until
            and acked_epoch <= epoch
            and now - acked_at >= FENCE_S
        )
        if agreed:
            fenced = self._fenced.get(request.target, epoch)
            self._fenced[request.target] = max(fenced, epoch)
        newest = epoch if agreed else max(epoch, acked_epoch)
        return FenceVote(
            self._service,
            request.target,
            newest.incarnation,
            newest.term,
            self.name,
            agreed,
            now - acked_at,
        )
