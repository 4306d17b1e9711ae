"""Fetches of the state of another process."""

from trefoilhaven.balancer.gossip import StateFetcher
from trefoilhaven_core.membership.messages import (
    Address,
    State,
    StateRequest,
)
from trefoilhaven_core.wire.transfers import TransferEndpoint


class TransferStateFetcher(StateFetcher):
    """Fetches states by plain TCP calls."""

    def __init__(self, transfers: TransferEndpoint) -> None:
        self._transfers = transfers

    async def fetch(self, address: Address, req: StateRequest) -> State | None:
        """Return the peer's state, None when it did not answer."""
        called = await self._transfers.call(address, req)
        if called.is_error() or not isinstance(called.ok, State):
            return None
        return called.ok
