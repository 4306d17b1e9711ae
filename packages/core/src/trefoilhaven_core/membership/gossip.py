"""Gossip of changes to random peers, with a bounded number of sends.

Each change goes to 4 random peers at once and to more peers on later ticks,
until it was sent about log2(peers) + 2 times. Anti-entropy digests repair
what gossip misses.
"""

import math
import random
from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Changes,
    ConfigurationNotice,
    Digest,
    Member,
    MemberState,
    RegistryNotice,
    SilentDomain,
)

# Number of peers that receive each send of a change.
FANOUT: Final = 4

# Number of sends of a change above the logarithm of the number of peers.
EXTRA_RELAYS: Final = 2

# Fits an Ethernet frame of 1,500 bytes together with IP and UDP headers.
DATAGRAM_BYTES: Final = 1_400

# Room for the kind, the clock and the array headers of a datagram, without
# the sender's name.
ENVELOPE_BYTES: Final = 64

# Unused send budget accumulates for at most this long.
BURST_S: Final = 4.0

Notice = ConfigurationNotice | RegistryNotice | Digest
Message = Changes | Notice
Item = Member | BalancerRecord | SilentDomain | Notice
ItemKey = tuple[str, ...]

_encode: Final = msgspec.msgpack.Encoder().encode


class Send(NamedTuple):
    """Effect: send a message to the balancer with the name ``peer``."""

    peer: str
    message: Message


def size_of(item: object) -> int:
    """Return the size of an item in bytes, encoded as msgpack."""
    return len(_encode(item))


def pack(sender: str, items: Iterable[Item]) -> list[Message]:
    """Return the items as messages that fit a datagram each.

    Records and domain reports share ``Changes`` messages. Notices and
    digests stay messages of their own and are not checked for size.
    """
    messages: list[Message] = []
    batch: list[Item] = []
    room = DATAGRAM_BYTES - ENVELOPE_BYTES - len(sender.encode())
    used = 0
    for item in items:
        if isinstance(item, ConfigurationNotice | RegistryNotice | Digest):
            messages.append(item)
            continue
        size = size_of(item)
        if batch and used + size > room:
            messages.append(_bundle(sender, batch))
            batch, used = [], 0
        batch.append(item)
        used += size
    if batch:
        messages.append(_bundle(sender, batch))
    return messages


class _QueuedItem:
    """A change and the number of sends that remain."""

    __slots__ = ('item', 'remaining')

    def __init__(self, item: Item, remaining: int) -> None:
        self.item = item
        self.remaining = remaining


class GossipQueue:
    """Changes that this process still has to relay, within a byte budget."""

    def __init__(
        self, sender: str, rng: random.Random, bytes_per_s: float
    ) -> None:
        """Start empty, with a send budget of ``BURST_S`` seconds."""
        self._sender = sender
        self._rng = rng
        self._rate = bytes_per_s
        self._credit = bytes_per_s * BURST_S
        self._credited_at = 0.0
        self._items: dict[ItemKey, _QueuedItem] = {}
        self._unsent: set[ItemKey] = set()

    def add(self, items: Iterable[Item], peer_count: int) -> None:
        """Queue changes; one replaces a queued change with the same key."""
        relays = math.ceil(math.log2(peer_count + 1)) + EXTRA_RELAYS
        for item in items:
            key = _key(item)
            self._items[key] = _QueuedItem(item, max(relays, FANOUT))
            self._unsent.add(key)

    def send_new(self, now: float, peers: list[str]) -> list[Send]:
        """Return the first sends of changes that were not sent yet."""
        return self._send(now, peers, self._unsent)

    def send_pending(self, now: float, peers: list[str]) -> list[Send]:
        """Return the next sends of all queued changes."""
        return self._send(now, peers, set(self._items))

    def _send(
        self, now: float, peers: list[str], keys: set[ItemKey]
    ) -> list[Send]:
        self._refill(now)
        if not peers or not keys:
            return []
        chosen = self._rng.sample(peers, min(FANOUT, len(peers)))
        items = self._take(keys, len(chosen))
        sends: list[Send] = []
        for message in pack(self._sender, items):
            sends.extend(Send(peer, message) for peer in chosen)
        return sends

    def _take(self, keys: set[ItemKey], count: int) -> list[Item]:
        """Return the least sent changes that fit the byte budget.

        Configurations, drains, and the versions sent instead of an oversized
        configuration or registry do not wait for the budget: they are rare
        and have to take effect within seconds.
        """
        items = []
        for key in sorted(keys, key=self._send_order):
            if self._credit <= 0 and not self._is_urgent(key):
                break
            self._unsent.discard(key)
            item = self._use(key, count)
            self._credit -= size_of(item) * count
            items.append(item)
        return items

    def _send_order(self, key: ItemKey) -> tuple[bool, int, ItemKey]:
        remaining = self._items[key].remaining
        return not self._is_urgent(key), -remaining, key

    def _is_urgent(self, key: ItemKey) -> bool:
        item = self._items[key].item
        if isinstance(item, Member):
            return item.state == MemberState.draining
        return isinstance(item, ConfigurationNotice | Digest)

    def _use(self, key: ItemKey, count: int) -> Item:
        queued = self._items[key]
        queued.remaining -= count
        if queued.remaining <= 0:
            self._items.pop(key)
        return queued.item

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._credited_at)
        self._credited_at = now
        limit = self._rate * BURST_S
        self._credit = min(limit, self._credit + elapsed * self._rate)


def _bundle(sender: str, items: list[Item]) -> Changes:
    return Changes(
        sender,
        tuple(item for item in items if isinstance(item, Member)),
        tuple(item for item in items if isinstance(item, BalancerRecord)),
        tuple(item for item in items if isinstance(item, SilentDomain)),
    )


def _key(item: Item) -> ItemKey:
    match item:
        case Member():
            return ('member', item.service, item.target)
        case BalancerRecord():
            return ('balancer', item.name)
        case SilentDomain():
            return ('domain', item.reporter, str(item.number))
        case ConfigurationNotice():
            return ('configuration', item.service)
        case RegistryNotice():
            return ('registry', item.service)
    return ('mark', item.versions[0].service)
