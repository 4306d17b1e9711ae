"""Flows that an agent holds: open ones and recently ended ones."""

from typing import Final, NamedTuple

import msgspec

from trefoilhaven_core.flows.effects import SendFlowsEnded
from trefoilhaven_core.flows.messages import FlowKey, FlowsEnded
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import OwnershipState
from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.routing.tables import bucket_of, hash_item

# Time for which late packets of an ended flow are dropped without a reset,
# in seconds.
ENDED_RETENTION_S: Final = 30

# Interval between checks for idle flows, in seconds.
IDLE_CHECK_S: Final = 1.0

# Items in one FlowsEnded message; its datagram then stays below 20 KB.
MAX_NOTICE_ITEMS: Final = 1000


EndedItem = tuple[int, int]


class EndedFlow(NamedTuple):
    """Bucket and hash of an ended flow, and when it ended."""

    bucket: int
    item: int
    ended_at: float


class OpenFlow:
    """State of one open flow; ``seen_at`` is the time of its last packet."""

    __slots__ = ('bucket', 'item', 'seen_at')

    def __init__(self, bucket: int, item: int, seen_at: float) -> None:
        self.bucket = bucket
        self.item = item
        self.seen_at = seen_at


def hash_flow(service: str, flow: FlowKey) -> int:
    """Return the hash of a flow, from which its bucket follows."""
    return hash_item(service, msgspec.msgpack.encode(flow))


class HeldFlows:
    """Open and recently ended flows of one target."""

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        buckets: int,
        idle_timeout_s: float,
    ) -> None:
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
        """Return whether a flow ended recently."""
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
        """Record the time of a packet of an open flow."""
        self._open[flow].seen_at = now

    def end(self, now: float, flow: FlowKey) -> None:
        """End an open flow."""
        held = self._open.pop(flow)
        self._ended[flow] = EndedFlow(held.bucket, held.item, now)

    def idle_flows(self, now: float) -> list[FlowKey]:
        """Return the flows that had no packet for the idle timeout.

        Returns none when the last check is less than ``IDLE_CHECK_S`` ago.
        """
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
        """Return the directory entries of open and recently ended flows."""
        return [
            self._entry(held)
            for flows in (self._ended, self._open)
            for held in flows.values()
            if held.bucket in buckets
        ]

    def expire_ended(
        self, now: float, ownership: BucketOwnership
    ) -> list[SendFlowsEnded]:
        """Remove flows that ended long ago and notify the buckets' owners.

        The owners are notified only after the retention time, because until
        then they must forward late packets to this agent.
        """
        notices: dict[str, list[EndedItem]] = {}
        for flow in self._long_ended(now):
            ended = self._ended.pop(flow)
            owner = ownership.owner_hint(ended.bucket)
            is_owner = ownership.state_of(ended.bucket) is OwnershipState.owned
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
        # The flows are kept in the order in which they ended, oldest first.
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
