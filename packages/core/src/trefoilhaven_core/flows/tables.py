"""Flow table of an agent, which decides where each packet goes."""

from collections.abc import Collection
from typing import Final

from trefoilhaven_core.flows.counters import FlowCounters
from trefoilhaven_core.flows.effects import (
    Deliver,
    Dropped,
    DropReason,
    Effect,
    Forward,
    Queued,
    ResetReason,
    SendReset,
)
from trefoilhaven_core.flows.held import HeldFlows
from trefoilhaven_core.flows.messages import (
    FlowFlag,
    FlowKey,
    FlowPacket,
    FlowsEnded,
)
from trefoilhaven_core.flows.queues import PacketQueues
from trefoilhaven_core.flows.resolvers import (
    Admit,
    Loads,
    OwnTarget,
    Resolver,
)
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import OwnershipState
from trefoilhaven_core.ownership.messages import DirectoryEntry
from trefoilhaven_core.routing.tables import BUCKET_COUNT

# Defaults of the service file, in seconds and in flows.
IDLE_TIMEOUT_S: Final = 3600
CONNECTION_LIMIT: Final = 2000

_ENDING_FLAGS: Final = FlowFlag.last | FlowFlag.reset


class FlowTable:
    """Holds the flows of one target and decides about every packet.

    The agent sets ``is_draining`` at once when its target drains, before
    any view shows it, and ``is_cold`` while the target warms up.
    ``target_lost`` is true from the end of the target's process until the
    agent clears it.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        buckets: int = BUCKET_COUNT,
        connection_limit: int = CONNECTION_LIMIT,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.is_draining = False
        self.target_lost = False
        self.is_cold = False
        self.counters = FlowCounters()
        self._service = service
        self._incarnation = incarnation
        self._resolver = Resolver(
            service, buckets, connection_limit, self.counters
        )
        self._queues = PacketQueues()
        self._held = HeldFlows(
            service, target, incarnation, buckets, idle_timeout_s
        )

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._held)

    def set_limits(self, connection_limit: int, idle_timeout_s: float) -> None:
        """Change the limits; open flows above a lower limit are kept."""
        self._resolver.set_connection_limit(connection_limit)
        self._held.idle_timeout_s = idle_timeout_s

    def on_packet(
        self,
        now: float,
        packet: FlowPacket,
        ownership: BucketOwnership,
        loads: Loads,
    ) -> list[Effect]:
        """Decide about a packet.

        ``loads`` are the siblings' loads by target, as received in
        heartbeat acknowledgements.
        """
        if packet.service != self._service:
            self.counters.wrong_service += 1
            return [Dropped(DropReason.wrong_service)]
        if packet.flags & FlowFlag.answer:
            return self._drop(DropReason.malformed)
        if self._held.is_open(packet.flow):
            return self._deliver(now, packet, is_new=False)
        if self._held.has_ended(packet.flow):
            return self._drop(DropReason.flow_ended)
        if packet.flags & FlowFlag.placed:
            return self._admit_placed(now, packet, ownership)
        return self._resolve(now, packet, ownership, loads)

    def on_answer(
        self, now: float, flow: FlowKey, payload: bytes, is_last: bool = False
    ) -> FlowPacket | None:
        """Return the packet that carries a target's answer to the fabric.

        Returns None when the flow is not open.
        """
        if not self._held.is_open(flow):
            return None
        self._held.touch(now, flow)
        flags = FlowFlag.answer
        if is_last:
            flags |= FlowFlag.last
            self._end(now, flow)
        return FlowPacket(self._service, flow, flags, 0, 0, payload)

    def on_acquired(
        self,
        now: float,
        buckets: Collection[int],
        ownership: BucketOwnership,
        loads: Loads,
    ) -> list[Effect]:
        """Decide about the packets that are queued for some buckets."""
        return [
            effect
            for bucket in buckets
            for packet in self._queues.take(bucket)
            for effect in self.on_packet(now, packet, ownership, loads)
        ]

    def on_flows_ended(
        self, notice: FlowsEnded, ownership: BucketOwnership
    ) -> None:
        """Remove the ended flows of a sibling from the directory."""
        if notice.service != self._service:
            self.counters.wrong_service += 1
            return
        for bucket, item in notice.items:
            entry = ownership.directory.find(bucket, item)
            if entry is not None and entry.holder == notice.holder:
                ownership.directory.remove(bucket, item)

    def on_target_lost(self, now: float) -> list[Effect]:
        """Reset all flows because the target's process has ended."""
        self.target_lost = True
        flows = self._held.open_flows()
        for flow in flows:
            self._end(now, flow)
        self.counters.reset += len(flows)
        return [SendReset(flow, ResetReason.target_lost) for flow in flows]

    def tick(
        self, now: float, ownership: BucketOwnership, loads: Loads
    ) -> list[Effect]:
        """End idle flows, drop expired packets and process ready queues.

        Also drops queued packets that need a bucket which the agent no longer
        owns, and tells the owners of other buckets which flows in them ended
        long ago.
        """
        self._resolver.observe(len(self), loads)
        effects: list[Effect] = []
        for flow in self._held.idle_flows(now):
            self._end(now, flow)
            self.counters.reset += 1
            effects.append(SendReset(flow, ResetReason.idle))
        expired = self._queues.expire(now)
        self.counters.dropped += expired
        effects.extend([Dropped(DropReason.queue_timeout)] * expired)
        effects.extend(self._drop_stale(ownership))
        ready = [
            bucket
            for bucket in self._queues.buckets()
            if self._is_ready(now, bucket, ownership)
        ]
        effects.extend(self.on_acquired(now, ready, ownership, loads))
        effects.extend(self._held.expire_ended(now, ownership))
        return effects

    def directory_entries(
        self, buckets: Collection[int]
    ) -> list[DirectoryEntry]:
        """Return the directory entries of the flows held in some buckets.

        Recently ended flows are included, since their late packets must
        reach this agent, which drops them without a reset.
        """
        return self._held.directory_entries(frozenset(buckets))

    def _resolve(
        self,
        now: float,
        packet: FlowPacket,
        ownership: BucketOwnership,
        loads: Loads,
    ) -> list[Effect]:
        leaves = self.is_draining or ownership.siblings.is_draining()
        own = OwnTarget(
            len(self), not (leaves or self.target_lost), self.is_cold
        )
        resolution = self._resolver.resolve(now, packet, ownership, loads, own)
        if isinstance(resolution, Admit):
            return self._admit(now, packet)
        if isinstance(resolution, Queued):
            return self._enqueue(now, resolution, packet, ownership)
        return self._count(resolution)

    def _admit_placed(
        self, now: float, packet: FlowPacket, ownership: BucketOwnership
    ) -> list[Effect]:
        if not ownership.lease.may_decide(now):
            # The packet may have waited in the socket buffer while the
            # process was paused, and another owner may have placed the flow
            # elsewhere since.
            return self._drop(DropReason.stale)
        if packet.incarnation != self._incarnation:
            # The flow may have been placed again since the restart, so only
            # the owner may decide that it is lost.
            return self._drop(DropReason.holder_restarted)
        if self.target_lost:
            return self._count(SendReset(packet.flow, ResetReason.target_lost))
        self.counters.admitted_placed += 1
        return self._admit(now, packet)

    def _admit(self, now: float, packet: FlowPacket) -> list[Effect]:
        self._held.open(now, packet.flow)
        self.counters.opened += 1
        return self._deliver(now, packet, is_new=True)

    def _deliver(
        self, now: float, packet: FlowPacket, is_new: bool
    ) -> list[Effect]:
        is_last = bool(packet.flags & _ENDING_FLAGS)
        self._held.touch(now, packet.flow)
        if is_last:
            self._end(now, packet.flow)
        return [Deliver(packet.flow, packet.payload, is_new, is_last)]

    def _end(self, now: float, flow: FlowKey) -> None:
        self._held.end(now, flow)
        self.counters.ended += 1

    def _enqueue(
        self,
        now: float,
        queued: Queued,
        packet: FlowPacket,
        ownership: BucketOwnership,
    ) -> list[Effect]:
        owned = ownership.state_of(queued.bucket) is OwnershipState.owned
        is_first = bool(packet.flags & FlowFlag.first)
        if not self._queues.put(now, queued.bucket, packet, owned and is_first):
            return self._drop(DropReason.queue_full)
        self.counters.queued += 1
        return [queued]

    def _drop_stale(self, ownership: BucketOwnership) -> list[Effect]:
        dropped = sum(
            self._queues.drop_unowned(bucket)
            for bucket in self._queues.buckets()
            if ownership.state_of(bucket) is not OwnershipState.owned
        )
        self.counters.dropped += dropped
        return [Dropped(DropReason.stale)] * dropped

    def _is_ready(
        self, now: float, bucket: int, ownership: BucketOwnership
    ) -> bool:
        state = ownership.state_of(bucket)
        if state is OwnershipState.owned:
            return ownership.lease.may_decide(now)
        return state is OwnershipState.elsewhere

    def _count(self, resolution: Forward | SendReset | Dropped) -> list[Effect]:
        if isinstance(resolution, Forward):
            self.counters.forwarded += 1
        elif isinstance(resolution, Dropped):
            self.counters.dropped += 1
        elif resolution.reason is not ResetReason.lost:
            self.counters.refused += 1
        return [resolution]

    def _drop(self, reason: DropReason) -> list[Effect]:
        self.counters.dropped += 1
        return [Dropped(reason)]
