"""Routing of packets whose flow the agent does not hold."""

import logging
from collections.abc import Mapping
from typing import Final, NamedTuple

from trefoilhaven_core.flows.counters import FlowCounters
from trefoilhaven_core.flows.effects import (
    Dropped,
    DropReason,
    Forward,
    Queued,
    ResetReason,
    SendReset,
)
from trefoilhaven_core.flows.held import hash_flow
from trefoilhaven_core.flows.messages import FlowFlag, FlowPacket
from trefoilhaven_core.flows.placement import Placement
from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import OwnershipState
from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.routing.tables import bucket_of

logger = logging.getLogger(__name__)

# Agents that a packet may pass. While views differ, it passes the old and the
# new owner on its way to the holder; beyond the limit it is in a loop.
HOP_LIMIT: Final = 6

Loads = Mapping[str, Load]


class Admit(NamedTuple):
    """The agent's own target serves the flow."""


Resolution = Admit | Forward | SendReset | Queued | Dropped


class OwnTarget(NamedTuple):
    """State of the agent's own target, for the choice of a target."""

    open_flows: int
    accepts_flows: bool
    is_cold: bool


class Resolver:
    """Decides about packets of flows that this agent does not hold."""

    def __init__(
        self,
        service: str,
        buckets: int,
        connection_limit: int,
        counters: FlowCounters,
    ) -> None:
        """Use ``counters`` of the flow table for unknown and redirected flows."""
        self._service = service
        self._buckets = buckets
        self._limit = connection_limit
        self._counters = counters
        self._placement = Placement(connection_limit)

    def set_connection_limit(self, connection_limit: int) -> None:
        """Change the number of open flows that a target may have."""
        self._limit = connection_limit
        self._placement.connection_limit = connection_limit

    def observe(self, own_flows: int, loads: Loads) -> None:
        """Record new loads of the siblings."""
        self._placement.observe(own_flows, loads)

    def resolve(
        self,
        now: float,
        packet: FlowPacket,
        ownership: BucketOwnership,
        loads: Loads,
        own: OwnTarget,
    ) -> Resolution:
        """Return what to do with a packet."""
        item = hash_flow(self._service, packet.flow)
        bucket = bucket_of(item, self._buckets)
        state = ownership.state_of(bucket)
        if state is not OwnershipState.owned and _is_stale(
            now, packet, ownership
        ):
            return Dropped(DropReason.stale)
        if state is OwnershipState.acquiring:
            return Queued(bucket)
        if state is OwnershipState.elsewhere:
            return _forward(ownership.owner_hint(bucket), packet)
        if not ownership.lease.may_decide(now):
            return Queued(bucket)
        entry = _find_entry(ownership, bucket, item)
        if entry is not None:
            return _forward_to_holder(packet, entry, ownership)
        if not packet.flags & FlowFlag.first:
            return self._handle_unknown_flow(now, packet, bucket, ownership)
        sibling = self._choose_sibling(ownership, loads, own)
        if sibling is None:
            return self._admit_or_refuse(packet, own)
        entry = _make_entry(ownership, bucket, item, sibling)
        ownership.directory.put(entry)
        self._counters.redirected += 1
        return _forward_to_holder(packet, entry, ownership)

    def _choose_sibling(
        self, ownership: BucketOwnership, loads: Loads, own: OwnTarget
    ) -> str | None:
        is_full = own.open_flows >= self._limit
        siblings = ownership.siblings
        return self._placement.choose_sibling(
            own.open_flows,
            is_full or own.is_cold or not own.accepts_flows,
            filter(siblings.is_eligible, siblings.names),
            loads,
        )

    def _admit_or_refuse(
        self, packet: FlowPacket, own: OwnTarget
    ) -> Admit | SendReset:
        if not own.accepts_flows:
            return SendReset(packet.flow, ResetReason.no_target)
        if own.open_flows >= self._limit:
            return SendReset(packet.flow, ResetReason.connection_limit)
        return Admit()

    def _handle_unknown_flow(
        self,
        now: float,
        packet: FlowPacket,
        bucket: int,
        ownership: BucketOwnership,
    ) -> SendReset | Dropped:
        if packet.flags & FlowFlag.reset:
            return Dropped(DropReason.flow_ended)
        if not ownership.is_complete(bucket):
            return Dropped(DropReason.holder_silent)
        if not ownership.lease.is_valid(now):
            return Dropped(DropReason.no_lease)
        self._counters.broken += 1
        logger.warning(
            'unknown flow %s reset: not in the directory of bucket %d',
            packet.flow,
            bucket,
        )
        return SendReset(packet.flow, ResetReason.lost)


def _find_entry(
    ownership: BucketOwnership, bucket: int, item: int
) -> DirectoryEntry | None:
    entry = ownership.directory.find(bucket, item)
    if entry is None or entry.kind is not ItemKind.flow:
        return None
    known = ownership.siblings.incarnation_of(entry.holder)
    if known <= entry.holder_incarnation:
        return entry
    # The holder has restarted, so its flows are lost.
    ownership.directory.remove(bucket, item)
    return None


def _make_entry(
    ownership: BucketOwnership, bucket: int, item: int, holder: str
) -> DirectoryEntry:
    incarnation = ownership.siblings.incarnation_of(holder)
    return DirectoryEntry(
        bucket, item, ItemKind.flow, holder, incarnation, 0, 0
    )


def _forward_to_holder(
    packet: FlowPacket, entry: DirectoryEntry, ownership: BucketOwnership
) -> Forward | Dropped:
    if entry.holder not in ownership.siblings.names:
        # The previous owner had a newer registry than this agent.
        return Dropped(DropReason.holder_unknown)
    flagged = packet._replace(
        flags=packet.flags | FlowFlag.placed,
        incarnation=entry.holder_incarnation,
    )
    return _forward(entry.holder, flagged)


def _is_stale(
    now: float, packet: FlowPacket, ownership: BucketOwnership
) -> bool:
    """Return whether a first packet may have waited through a process pause.

    Its caller has retransmitted it, and another target may hold the flow now.
    """
    is_first = bool(packet.flags & FlowFlag.first)
    return is_first and not ownership.lease.may_decide(now)


def _forward(target: str | None, packet: FlowPacket) -> Forward | Dropped:
    if target is None:
        return Dropped(DropReason.no_owner)
    if packet.hops >= HOP_LIMIT:
        return Dropped(DropReason.hop_limit)
    return Forward(target, packet._replace(hops=packet.hops + 1))
