"""Flows that an agent holds, open ones and those that ended lately."""

from typing import Final, NamedTuple

import msgspec

from trefoilhaven_core.flows.effects import SendFlowsEnded
from trefoilhaven_core.flows.messages import FlowKey, FlowsEnded
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import Standing
from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.routing.tables import bucket_of, hash_item

# Late packets of an ended flow are dropped quietly for this time, seconds.
ENDED_RETENTION_S: Final = 30

# Idle flows are looked for once in this time, in seconds.
IDLE_CHECK_S: Final = 1.0

# Items in one notice; it then stays below 20 KB in a datagram.
MAX_NOTICE_ITEMS: Final = 1000


EndedItem = tuple[int, int]


class EndedFlow(NamedTuple):
    """Where a flow lived that ended, and when it did."""

    bucket: int
    item: int
    ended_at: float


class OpenFlow:
    """State of one open flow."""

    __slots__ = ('bucket', 'item', 'seen_at')

    def __init__(self, bucket: int, item: int, seen_at: float) -> None:
        """Start with the time of the first packet."""
        self.bucket = bucket
        self.item = item
        self.seen_at = seen_at


def hash_flow(service: str, flow: FlowKey) -> int:
    """Return the item hash of a flow."""
    return hash_item(service, msgspec.msgpack.encode(flow))


class HeldFlows:
    """Open and lately ended flows of one target."""

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        buckets: int,
        idle_timeout_s: float,
    ) -> None:
        """Start without flows."""
        self._service = service
        self._target = target
        self._incarnation = incarnation
        self._buckets = buckets
        self.idle_timeout_s = idle_timeout_s
        self._idle_checked_at = float('-inf')
        self._open: dict[FlowKey, OpenFlow] = {}
        self._ended: dict[FlowKey, EndedFlow] = {}

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._open)

    def is_open(self, flow: FlowKey) -> bool:
        """Return whether a flow is open."""
        return flow in self._open

    def has_ended(self, flow: FlowKey) -> bool:
        """Return whether a flow ended a short time ago."""
        return flow in self._ended

    def open_flows(self) -> list[FlowKey]:
        """Return all open flows."""
        return list(self._open)

    def open(self, now: float, flow: FlowKey) -> None:
        """Add a flow."""
        item = hash_flow(self._service, flow)
        bucket = bucket_of(item, self._buckets)
        self._open[flow] = OpenFlow(bucket, item, now)

    def touch(self, now: float, flow: FlowKey) -> None:
        """Note that a packet of an open flow passed."""
        self._open[flow].seen_at = now

    def end(self, now: float, flow: FlowKey) -> None:
        """End an open flow."""
        held = self._open.pop(flow)
        self._ended[flow] = EndedFlow(held.bucket, held.item, now)

    def idle_flows(self, now: float) -> list[FlowKey]:
        """Return the flows without a packet for the idle timeout."""
        if now - self._idle_checked_at < IDLE_CHECK_S:
            return []
        self._idle_checked_at = now
        oldest = now - self.idle_timeout_s
        return [
            flow for flow, held in self._open.items() if held.seen_at <= oldest
        ]

    def directory_entries(
        self, buckets: frozenset[int]
    ) -> list[DirectoryEntry]:
        """Return the entries of open and lately ended flows."""
        return [
            self._entry(held)
            for flows in (self._ended, self._open)
            for held in flows.values()
            if held.bucket in buckets
        ]

    def expire_ended(
        self, now: float, ownership: BucketOwnership
    ) -> list[SendFlowsEnded]:
        """Forget flows that ended long ago and tell the buckets' owners.

        The owners learn it only now, because until then they must send
        late packets here.
        """
        notices: dict[str, list[EndedItem]] = {}
        for flow in self._long_ended(now):
            ended = self._ended.pop(flow)
            owner = ownership.owner_hint(ended.bucket)
            is_owner = ownership.standing(ended.bucket) is Standing.owned
            if owner is not None and not is_owner:
                items = notices.setdefault(owner, [])
                items.append((ended.bucket, ended.item))
        return [
            SendFlowsEnded(
                owner, self._notice(items[start:][:MAX_NOTICE_ITEMS])
            )
            for owner, items in notices.items()
            for start in range(0, len(items), MAX_NOTICE_ITEMS)
        ]

    def _long_ended(self, now: float) -> list[FlowKey]:
        # Flows end in the order of time, so the oldest come first.
        old = []
        for flow, ended in self._ended.items():
            if now - ended.ended_at < ENDED_RETENTION_S:
                break
            old.append(flow)
        return old

    def _notice(self, items: list[EndedItem]) -> FlowsEnded:
        return FlowsEnded(
            self._service, self._target, self._incarnation, tuple(items)
        )

    def _entry(self, held: OpenFlow | EndedFlow) -> DirectoryEntry:
        return DirectoryEntry(
            held.bucket,
            held.item,
            ItemKind.flow,
            self._target,
            self._incarnation,
            0,
            0,
        )
