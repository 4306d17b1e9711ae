"""Objects that a balancer reads from and writes to the platform.

Only the balancers of the lowest ranks watch, since a pending watch counts
as a call. All others learn of changes from their peers.
"""

import asyncio
import json
import logging
import random
from typing import Any, Final


from trefoilhaven.balancer.control import ControlTask
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.messages import (
    ConfigurationNotice,
    RegistryNotice,
)
from trefoilhaven_core.membership.ranks import balancer_rank
from trefoilhaven_core.membership.registrations import (
    RegistrationPlan,
    RegistrationPlanner,
    decode_registrations,
)
from trefoilhaven_core.platform.clients import ObjectChange, PlatformClient
from trefoilhaven_core.platform.errors import Conflict
from trefoilhaven_core.platform.watchers import Watcher
from trefoilhaven_core.settings import defaults
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.decoding import DECODE_ERRORS

logger = logging.getLogger(__name__)

SERVICES_PREFIX: Final = 'services/'
MEMBERS_PREFIX: Final = 'members/'

REGISTER_INTERVAL_S: Final = 0.5

# Interval at which services without a change are planned for: a region of
# the target size has 750 services.
FULL_ROUND_INTERVAL_S: Final = 10.0
RANK_CHECK_INTERVAL_S: Final = 1.0


class PlatformTask:
    """Watches the platform and writes registrations."""

    def __init__(
        self,
        name: str,
        state: BalancerState,
        control: ControlTask,
        client: PlatformClient,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._state = state
        self._control = control
        self._client = client
        self._rng = rng
        self._planner = RegistrationPlanner(name, state.store)
        self._settled_digests: dict[str, int] = {}
        self._full_round_due = 0.0

    async def run(self) -> None:
        """Watch and register until cancelled."""
        await asyncio.gather(
            self._watch(SERVICES_PREFIX),
            self._watch(MEMBERS_PREFIX),
            self._register(),
        )

    async def _watch(self, prefix: str) -> None:
        watcher = Watcher(self._client, prefix, self._on_change, self._rng)
        await watcher.poll()
        while True:
            if self._rank() < defaults.PLATFORM_WATCHERS:
                await watcher.poll_with_backoff()
            else:
                await asyncio.sleep(RANK_CHECK_INTERVAL_S)

    def _on_change(self, change: ObjectChange) -> None:
        if not change.deleted:
            self._apply_object(change.path, change.version, change.content)

    def _apply_object(self, path: str, version: int, content: Any) -> None:
        prefix, _, service = path.partition('/')
        encoded = json.dumps(content).encode()
        if f'{prefix}/' == SERVICES_PREFIX:
            notice = ConfigurationNotice(self._name, service, version, encoded)
            self._control.gossip.disseminate_configuration(notice)
            return
        self._apply_registry(service, version, encoded)

    def _apply_registry(self, service: str, version: int, raw: bytes) -> None:
        try:
            registrations = decode_registrations(raw)
        except DECODE_ERRORS:
            logger.exception('malformed registry', extra={'service': service})
            return
        self._control.gossip.disseminate_registry(
            RegistryNotice(self._name, service, version, registrations),
        )

    async def _register(self) -> None:
        while True:
            await asyncio.sleep(REGISTER_INTERVAL_S)
            for service in self._due_services(monotonic()):
                plan = self._planner.plan(monotonic(), service)
                if plan is None:
                    digest = self._state.store.digest(service)
                    self._settled_digests[service] = digest
                else:
                    await self._write(plan)

    def _due_services(self, now: float) -> list[str]:
        """Return the services to plan for now.

        A service that needed no write and has not changed since is planned
        for in full rounds only, which measure the absence of its members.
        """
        store = self._state.store
        if now >= self._full_round_due:
            self._full_round_due = now + FULL_ROUND_INTERVAL_S
            self._settled_digests.clear()
        return [
            service
            for service in store.services
            if self._settled_digests.get(service) != store.digest(service)
        ]

    async def _write(self, plan: RegistrationPlan) -> None:
        content = json.loads(plan.content)
        path = f'{MEMBERS_PREFIX}{plan.service}'
        written = await self._client.put(path, content, plan.expected_version)
        self._planner.on_answer(plan.service)
        if written.is_ok():
            self._apply_registry(plan.service, written.ok, plan.content)
            self._state.runtime.publish(
                'members registered',
                plan.service,
                detail=f'version {written.ok}',
            )
        elif isinstance(written.error, Conflict):
            conflict = written.error
            if conflict.content is not None:
                self._apply_object(path, conflict.version, conflict.content)
        else:
            logger.info(
                'registration not written',
                extra={'service': plan.service, 'reason': str(written.error)},
            )

    def _rank(self) -> int:
        return balancer_rank(self._name, self._state.store.balancers)
