"""Dissemination of members, balancers and configurations to balancers.

The task owns the disseminator. It applies its effects over the control
socket and fetches larger states from peers.
"""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from trefoilhaven_core.membership.detectors import FailureDetector
from trefoilhaven_core.membership.dissemination import (
    Disseminator,
    Effect,
    PullState,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    ConfigurationNotice,
    Digest,
    MemberState,
    RegistryNotice,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# Limits the memory for senders, since they can claim any name.
MAX_SOURCE_ADDRESSES: Final = 1024


class PeerAddresses(NamedTuple):
    """Where a balancer receives datagrams and serves its state."""

    control: Address
    rpc: Address


class StateFetcher(ABC):
    """Fetches the state of a peer over a stream."""

    @abstractmethod
    async def fetch(self, address: Address, req: StateRequest) -> State | None:
        """Return the peer's state, None when it did not answer."""


class GossipTask:
    """Synchronizes the records of a balancer with its peers."""

    def __init__(
        self,
        store: ViewStore,
        disseminator: Disseminator,
        endpoint: DatagramEndpoint,
        fetcher: StateFetcher,
        on_change: Callable[[Iterable[str]], None],
        seeds: Mapping[str, PeerAddresses],
    ) -> None:
        """Register the handlers of the control socket.

        ``on_change`` is called with the services that a message touched.
        """
        name = disseminator.own.name
        self.disseminator = disseminator
        self.detector = FailureDetector(disseminator.own, store, monotonic())
        self._name = name
        self._store = store
        self._endpoint = endpoint
        self._fetcher = fetcher
        self._on_change = on_change
        self._seeds = {
            seed: addresses for seed, addresses in seeds.items() if seed != name
        }
        # Peers that are not known yet are answered at their source address.
        self._source_addresses: dict[str, Address] = {}
        self._fetches: set[asyncio.Task[bool]] = set()
        self._digest_listener: Callable[[Digest], None] | None = None
        endpoint.on(Changes, self._on_changes)
        endpoint.on(Digest, self._on_digest)
        endpoint.on(ConfigurationNotice, self._on_configuration)
        endpoint.on(RegistryNotice, self._on_registry)

    def on_digest(self, listener: Callable[[Digest], None]) -> None:
        """Call ``listener`` with each received digest, before it is used."""
        self._digest_listener = listener

    def apply(self, effects: Iterable[Effect]) -> None:
        """Apply effects: send messages and start to fetch states."""
        for effect in effects:
            if isinstance(effect, PullState):
                self._start_fetch(effect)
                continue
            address = self._control_address(effect.peer)
            if address is None:
                continue
            message = effect.message
            if isinstance(message, Digest) and not message.is_reply:
                self.detector.on_probe_sent(monotonic(), effect.peer)
            self._endpoint.send(message, address)

    def announce(self, state: MemberState, step: int = 1) -> None:
        """Disseminate a state of this balancer.

        ``step`` is added to the sequence number of its record.
        """
        self.apply(self.disseminator.announce(monotonic(), state, step))

    def disseminate_changes(self, changes: Changes) -> None:
        """Merge and disseminate records, detected, read or received."""
        self.apply(self.disseminator.on_changes(monotonic(), changes))

    def disseminate_configuration(self, notice: ConfigurationNotice) -> None:
        """Store and disseminate a configuration, read or received."""
        self.apply(
            self.disseminator.on_configuration(monotonic(), notice),
        )
        self._on_change([notice.service])

    def disseminate_registry(self, notice: RegistryNotice) -> None:
        """Store and disseminate registrations, read, written or received."""
        self.apply(self.disseminator.on_registry(monotonic(), notice))
        self._on_change([notice.service])

    def merge_state(self, state: State) -> None:
        """Merge a state that was fetched from another process."""
        self.apply(self.disseminator.on_state(monotonic(), state))
        self._on_change(self._store.services)

    async def fetch_from_seeds(self) -> bool:
        """Fetch the full state from a seed; return whether one answered."""
        for seed in self._seeds.values():
            if await self._fetch(seed.rpc, ()):
                return True
        return False

    def tick(self, now: float, probes: Iterable[str]) -> None:
        """Send the gossip and digests that are due, and probe peers."""
        self.apply(self.disseminator.probe(peer) for peer in probes)
        self.apply(self.disseminator.tick(now))

    def _on_changes(self, changes: Changes, sender: Address) -> None:
        now = monotonic()
        self.detector.on_peer_message(now, changes.sender)
        self.apply(self.disseminator.on_changes(now, changes))
        services = {member.service for member in changes.members}
        for report in changes.silent_domains:
            services.update(report.services)
        self._on_change(services)

    def _on_digest(self, digest: Digest, sender: Address) -> None:
        now = monotonic()
        self.detector.on_peer_message(now, digest.sender)
        self._record_source(digest.sender, sender)
        if self._digest_listener is not None:
            self._digest_listener(digest)
        self.apply(self.disseminator.on_digest(now, digest))

    def _on_configuration(
        self,
        notice: ConfigurationNotice,
        sender: Address,
    ) -> None:
        self.disseminate_configuration(notice)

    def _on_registry(self, notice: RegistryNotice, sender: Address) -> None:
        self.disseminate_registry(notice)

    def _record_source(self, peer: str, address: Address) -> None:
        if self._store.balancer(peer) is not None:
            self._source_addresses.pop(peer, None)
        elif len(self._source_addresses) < MAX_SOURCE_ADDRESSES:
            self._source_addresses[peer] = address

    def _control_address(self, peer: str) -> Address | None:
        record = self._store.balancer(peer)
        if record is not None:
            return record.control
        seed = self._seeds.get(peer)
        return seed.control if seed else self._source_addresses.get(peer)

    def _start_fetch(self, effect: PullState) -> None:
        record = self._store.balancer(effect.peer)
        source = record or self._seeds.get(effect.peer)
        if source is None:
            return
        task = asyncio.create_task(self._fetch(source.rpc, effect.services))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch(
        self,
        address: Address,
        services: tuple[str, ...],
    ) -> bool:
        req = StateRequest(self._name, services)
        state = await self._fetcher.fetch(address, req)
        if state is None:
            logger.info(
                'could not fetch the state', extra={'peer': str(address)}
            )
            return False
        self.merge_state(state)
        return True
