"""Lists of the balancers in the platform's store."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from typing import Final

from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_core.membership.objects import (
    BALANCERS_PREFIX,
    read_balancer,
)
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.errors import describe_error
from trefoilhaven_core.timeline.monotonic import monotonic

logger = logging.getLogger(__name__)

LIST_BACKOFF_S: Final = 0.6
LIST_BACKOFF_LIMIT_S: Final = 1.2


class BalancerLister:
    """Lists the balancers when an agent may not know all of them."""

    def __init__(
        self,
        client: PlatformClient,
        balancers: KnownBalancers,
        rng: random.Random,
        on_listed: Callable[[], None],
    ) -> None:
        """Create the task; ``on_listed`` is called after each list.

        ``registered`` is to be set when the target has been registered.
        """
        self.registered = asyncio.Event()
        self._client = client
        self._balancers = balancers
        self._backoff = Backoff(rng, LIST_BACKOFF_S, LIST_BACKOFF_LIMIT_S)
        self._on_listed = on_listed

    async def run(self) -> None:
        """List the balancers in the store after a registration.

        A balancer registers itself before it lists the targets. Either it
        finds the target's object, or this list has the balancer. Agents may
        also start before all balancers, and list them while none sends a
        hello. A balancer that knows this agent announces it to the others.
        """
        while True:
            is_registered = self.registered.is_set()
            if is_registered or self._balancers.is_hello_overdue(monotonic()):
                # A stale list may miss a balancer that has just joined.
                is_listed = await self._list_once(allow_stale=not is_registered)
                if is_registered and is_listed:
                    self.registered.clear()
            if is_registered:
                await asyncio.sleep(self._backoff.next_s())
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._backoff.next_s()):
                    await self.registered.wait()

    async def _list_once(self, *, allow_stale: bool) -> bool:
        """List the balancers and report to them; return whether it worked."""
        listed = await self._client.list(
            BALANCERS_PREFIX, allow_stale=allow_stale
        )
        if listed.is_error():
            logger.warning(
                'could not list the balancers',
                extra={'reason': describe_error(listed.error)},
            )
            return False
        read = [read_balancer(each.content) for each in listed.ok.objects]
        for each in read:
            if each.is_error():
                logger.warning(
                    'malformed object', extra={'reason': each.error.reason}
                )
        records = [each.ok for each in read if each.is_ok()]
        self._balancers.on_listed(monotonic(), records)
        self._on_listed()
        return True
