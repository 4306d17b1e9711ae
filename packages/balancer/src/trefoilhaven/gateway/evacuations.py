"""Watch of the evacuations in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Final

from trefoilhaven.balancer.gossip import GossipTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.evacuations import (
    EVACUATIONS_NAME,
    DomainChange,
    Evacuations,
    StoreEvacuations,
    encode_evacuations,
)
from trefoilhaven_core.membership.messages import ConfigurationNotice
from trefoilhaven_core.platform.adapters import EVACUATIONS_PREFIX
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    PlatformClient,
)
from trefoilhaven_core.platform.errors import (
    PlatformError,
    RateLimited,
    Unavailable,
    describe_error,
)
from trefoilhaven_core.timeline.monotonic import monotonic

logger = logging.getLogger(__name__)

# Longest delay in seconds between two attempts to reach the store; an
# evacuation has to be in force 5 s after it was written.
BACKOFF_LIMIT_S: Final = 0.5

# Time in seconds by which a watch outlasts the hold of a new era, so that its
# answer does not come just before the end.
DUE_MARGIN_S: Final = 0.05


class EvacuationTask:
    """Reads the evacuations and distributes what changed."""

    def __init__(
        self,
        state: GatewayState,
        client: PlatformClient,
        gossip: GossipTask,
        rng: random.Random,
        watch_timeout_s: Callable[[], float],
    ) -> None:
        """Create the task; it does nothing unless the settings ask for it."""
        self._state = state
        self._client = client
        self._gossip = gossip
        self._watch_timeout_s = watch_timeout_s
        self._backoff = Backoff(rng, limit_s=BACKOFF_LIMIT_S)
        self._seen = StoreEvacuations()
        self._revision: int | None = None

    async def run(self) -> None:
        """Watch the evacuations until cancelled."""
        while self._state.cfg.evacuations:
            error = await self.poll()
            if error is None:
                self._backoff.reset()
                continue
            self._revision = None
            at_least_s = (
                error.retry_after_s if isinstance(error, RateLimited) else 0
            )
            wait_s = self._backoff.next_s(at_least_s)
            logger.warning(
                'watch of evacuations/ failed, retrying in %.1f s: %s',
                wait_s,
                describe_error(error),
            )
            await asyncio.sleep(wait_s)

    async def poll(self) -> PlatformError | None:
        """Make one list or watch call; return its error."""
        if self._revision is None:
            listing = await self._client.list(EVACUATIONS_PREFIX)
            if listing.is_error():
                return listing.error
            if not self._on_listing(listing.ok):
                return Unavailable(False, 'answer of an earlier era')
        else:
            due_s = self._seen.answer_due_s(
                monotonic(), self._state.evacuations
            )
            changes = await self._client.watch(
                EVACUATIONS_PREFIX,
                self._revision,
                min(self._watch_timeout_s(), due_s + DUE_MARGIN_S),
            )
            if changes.is_error():
                return changes.error
            self._on_changes(changes.ok)
        self.tick(monotonic())
        return None

    def tick(self, now: float) -> None:
        """Distribute what is due; to be called about every 0.25 s."""
        in_force = self._state.evacuations
        wanted = self._seen.to_distribute(now, in_force)
        if wanted is not None:
            self._gossip.disseminate_configuration(
                ConfigurationNotice(
                    self._state.cfg.name,
                    EVACUATIONS_NAME,
                    wanted.version,
                    encode_evacuations(wanted),
                )
            )
            return
        applied = self._seen.to_apply(in_force)
        if applied.is_known and not in_force.is_known:
            self._state.use_evacuated_domains(applied.domains)

    def _on_listing(self, listing: Listing) -> bool:
        for found in listing.objects:
            _check_content(found.path, found.content)
        domains = frozenset(_domain(found.path) for found in listing.objects)
        listed = Evacuations(listing.era, listing.revision, domains)
        is_current = self._seen.on_listing(
            monotonic(), self._state.evacuations, listed
        )
        self._revision = listing.revision if is_current else None
        return is_current

    def _on_changes(self, answer: Changes) -> None:
        changes = []
        for change in answer.objects:
            if not change.deleted:
                _check_content(change.path, change.content)
            changes.append(
                DomainChange(_domain(change.path), not change.deleted)
            )
        is_applied = self._seen.on_changes(
            monotonic(), answer.era, answer.revision, changes
        )
        self._revision = answer.revision if is_applied else None


def _domain(path: str) -> str:
    return path.removeprefix(EVACUATIONS_PREFIX)


def _check_content(path: str, content: Any) -> None:
    """Log content that is not empty; its name counts all the same."""
    if content:
        logger.warning('malformed evacuation', extra={'path': path})
