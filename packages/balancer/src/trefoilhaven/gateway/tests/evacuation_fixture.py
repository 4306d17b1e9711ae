"""A gateway with a scripted store, for tests of evacuations and policies."""

import random
from typing import Any, NamedTuple
from unittest import mock

from expression import Error, Ok, Result
from trefoilhaven.gateway.discovery import DiscoveryTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import (
    GatewayState,
)
from trefoilhaven.gateway.tests.test_discovery import (
    HandlerRecorder,
    make_member,
    make_state,
)
from trefoilhaven.gateway.tests.test_membership import RecordingEndpoint
from trefoilhaven_core.connections.evacuations import (
    EVACUATIONS_NAME,
    Evacuations,
    encode_evacuations,
)
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.policies import (
    Policies,
)
from trefoilhaven_core.connections.routes import RouteConfiguration
from trefoilhaven_core.membership.messages import (
    Address,
    ConfigurationNotice,
)
from trefoilhaven_core.platform.adapters import ROUTES_PATH, PlatformAdapter
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    ObjectChange,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError, Unavailable
from trefoilhaven_core.wire.codec import make_codec

PEER = Address('127.0.0.2', 7000)
PREFIX = 'evacuations/'


class _Copy(NamedTuple):
    """Content of a store at a revision."""

    revision: int
    contents: dict[str, Any]


class ScriptedStore(PlatformClient):
    """A store of evacuations that answers at once.

    ``refuses`` makes all calls fail. A restored store has a copy of an
    earlier moment and a higher era.
    """

    def __init__(self) -> None:
        """Start empty at a revision, as other kinds have been written."""
        self.era = 0
        self.refuses = False
        self.revision = 10
        self.calls = 0
        self._contents: dict[str, Any] = {}
        self._events: list[ObjectChange] = []
        self._copied = _Copy(self.revision, {})

    @property
    def domains(self) -> set[str]:
        """The evacuated domains in the store."""
        return {path.removeprefix(PREFIX) for path in self._contents}

    def write(self, domain: str, content: Any = None) -> None:
        """Evacuate a domain."""
        self._change(f'{PREFIX}{domain}', content, deleted=False)

    def remove(self, domain: str) -> None:
        """Take a domain back."""
        if domain in self.domains:
            self._change(f'{PREFIX}{domain}', None, deleted=True)

    def copy(self) -> None:
        """Make a copy, which ``restore`` serves."""
        self._copied = _Copy(self.revision, dict(self._contents))

    def restore(self) -> None:
        """Return from the last copy."""
        self.revision = self._copied.revision
        self._contents = dict(self._copied.contents)
        self._events.clear()
        self.era += 1

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all evacuations."""
        self.calls += 1
        if self.refuses:
            return Error(Unavailable(False, 'refused'))
        found = tuple(
            PlatformObject(path, 1, content)
            for path, content in self._contents.items()
        )
        return Ok(Listing(self.revision, found, self.era))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[Changes, PlatformError]:
        """Return the changes since a revision."""
        self.calls += 1
        if self.refuses or after > self.revision:
            return Error(Unavailable(False, 'refused'))
        events = tuple(each for each in self._events if each.revision > after)
        return Ok(Changes(self.revision, events, self.era))

    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        """Fail; evacuations are listed and watched."""
        return Error(Unavailable(False, 'not part of this store'))

    async def put(
        self, path: str, content: Any, expected_version: int
    ) -> Result[int, PlatformError]:
        """Fail; gateways write no evacuations."""
        return Error(Unavailable(False, 'not part of this store'))

    async def delete(
        self, path: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Fail; gateways delete no evacuations."""
        return Error(Unavailable(False, 'not part of this store'))

    def _change(self, path: str, content: Any, *, deleted: bool) -> None:
        self.revision += 1
        if deleted:
            self._contents.pop(path)
        else:
            self._contents[path] = content
        change = ObjectChange(path, 1, content, deleted, self.revision)
        self._events.append(change)


class Gateway:
    """A gateway with a scripted store and recorded messages."""

    def __init__(
        self, store: ScriptedStore, *, evacuations: bool = True
    ) -> None:
        """Start with a target in each of two domains."""
        self.state: GatewayState = make_state()
        cfg = self.state.cfg._replace(evacuations=evacuations)
        self.state.cfg = cfg
        self.endpoint = RecordingEndpoint(self.state)
        clock = self.state.runtime.clock
        self.transfers = HandlerRecorder(codec=make_codec(), clock=clock)
        self.adapter = mock.Mock(spec=PlatformAdapter)
        self.adapter.make_client.return_value = store
        segments = SegmentTask(self.state, self.adapter, self.endpoint)
        self.segments = segments
        self.task = DiscoveryTask(
            self.state,
            self.adapter,
            self.endpoint,
            self.transfers,
            segments,
            random.Random(1),
        )
        far = make_member('t2')._replace(failure_domain='b')
        self.state.store.merge([make_member('t1'), far])
        self.state.refresh(['certify'])

    @property
    def evacuated(self) -> set[str]:
        """The domains that get no new connections."""
        return set(self.state.target_selector.evacuated_domains)

    async def poll(self) -> PlatformError | None:
        """Make one call to the store."""
        return await self.task.evacuations.poll()

    def receive(self, *notices: ConfigurationNotice) -> None:
        """Let the notices of a peer arrive."""
        for notice in notices:
            self.task.gossip._on_configuration(  # noqa: SLF001
                notice, PEER
            )

    def notice(self) -> ConfigurationNotice:
        """Return the evacuations in force as they are distributed."""
        stored = self.state.store.configuration(EVACUATIONS_NAME)
        return ConfigurationNotice('g2', *stored)

    def policies_sent(self) -> list[TargetPolicy]:
        """Return the policies sent so far, and forget them."""
        sent = [each.message for each in self.endpoint.sent]
        self.endpoint.sent.clear()
        return [each for each in sent if isinstance(each, TargetPolicy)]

    def hello(self) -> None:
        """Send what goes with a hello to all agents."""
        members = self.state.targets()
        policies = self.task._target_policies  # noqa: SLF001
        policies.send_with_hello(members)

    def read_configuration(
        self, version: int, policies: Policies, *, is_readable: bool = True
    ) -> None:
        """Let the operator's configuration arrive."""
        routes = RouteConfiguration(version, (), 15)
        read = Ok(routes) if is_readable else Error(())
        self.adapter.read_routes.return_value = read
        self.adapter.read_policies.return_value = policies
        change = ObjectChange(ROUTES_PATH, version, {}, False, version)
        self.task._on_routes(change)  # noqa: SLF001


def notice_of(evacuations: Evacuations) -> ConfigurationNotice:
    """Return evacuations as a peer distributes them."""
    content = encode_evacuations(evacuations)
    return ConfigurationNotice(
        'g2', EVACUATIONS_NAME, evacuations.version, content
    )
