"""Queues of packets that wait for their bucket."""

from collections import deque
from collections.abc import Collection
from typing import Final, NamedTuple

from trefoilhaven_core.flows.messages import FlowPacket

# Packets queued for one bucket; 64 packets of 1,400 bytes in each of 150
# buckets stay below 14 MB.
MAX_PACKETS_PER_BUCKET: Final = 64

# Longest time in a queue, in seconds. Callers retransmit after it.
QUEUE_TIMEOUT_S: Final = 1.0


class _QueuedPacket(NamedTuple):
    packet: FlowPacket
    deadline: float
    needs_ownership: bool


class PacketQueues:
    """One bounded FIFO queue for each bucket."""

    def __init__(self) -> None:
        self._queues: dict[int, deque[_QueuedPacket]] = {}

    def __len__(self) -> int:
        """Return the number of queued packets."""
        return sum(len(queue) for queue in self._queues.values())

    def buckets(self) -> Collection[int]:
        """Return the buckets with queued packets."""
        return tuple(self._queues)

    def put(
        self,
        now: float,
        bucket: int,
        packet: FlowPacket,
        needs_ownership: bool = False,
    ) -> bool:
        """Queue a packet; return False when the queue is full.

        With ``needs_ownership`` the packet waits for the lease of an owned
        bucket and must be dropped when the bucket is no longer owned.
        """
        queue = self._queues.setdefault(bucket, deque())
        if len(queue) >= MAX_PACKETS_PER_BUCKET:
            return False
        queue.append(
            _QueuedPacket(packet, now + QUEUE_TIMEOUT_S, needs_ownership)
        )
        return True

    def expire(self, now: float) -> int:
        """Drop the packets that waited too long; return their number."""
        expired = 0
        for bucket in tuple(self._queues):
            queue = self._queues[bucket]
            while queue and queue[0].deadline <= now:
                queue.popleft()
                expired += 1
            if not queue:
                self._queues.pop(bucket)
        return expired

    def drop_unowned(self, bucket: int) -> int:
        """Drop the packets that need ownership; return their number."""
        queue = self._queues.get(bucket, deque())
        kept = deque(
            waiting for waiting in queue if not waiting.needs_ownership
        )
        if kept:
            self._queues[bucket] = kept
        else:
            self._queues.pop(bucket, None)
        return len(queue) - len(kept)

    def take(self, bucket: int) -> list[FlowPacket]:
        """Remove and return the packets of a bucket, oldest first."""
        queue = self._queues.pop(bucket, ())
        return [waiting.packet for waiting in queue]
