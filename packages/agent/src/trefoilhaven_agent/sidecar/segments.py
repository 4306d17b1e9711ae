"""Forwarding of segments between balancers, the target and clients."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import (
    DeliverToTarget,
    DropSegment,
    Effect,
    OpeningRefused,
    ResetClient,
    SendMessage,
    SendToClient,
)
from trefoilhaven_core.connections.messages import (
    HolderQuery,
    HolderReply,
    SegmentForward,
    SegmentReturn,
    Verdict,
)
from trefoilhaven_core.connections.texts import connection_text
from trefoilhaven_core.connections.warm_up import RefusalCause
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.raw import RawEndpoint, open_raw

logger = logging.getLogger(__name__)

# Interval of the check for probes without a refusal, with and without pending
# probes, and of the removal of expired connections, in seconds.
TICK_S: Final = 0.05
IDLE_TICK_S: Final = 0.15
EXPIRY_INTERVAL_S: Final = 1.0


class SegmentTask:
    """Passes segments to the tracker and carries out its effects."""

    def __init__(
        self,
        cfg: SidecarSettings,
        runtime: ProcessRuntime,
        connections: ConnectionTracker,
        adapter: PlatformAdapter,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handlers of the control socket."""
        self._cfg = cfg
        self._connections = connections
        self._adapter = adapter
        self._endpoint = endpoint
        self._raw_endpoint: RawEndpoint | None = None
        self._log = RateLimitedLog(logger)
        metrics = runtime.metrics
        self._delivered = metrics.counter('segments_delivered')
        self._returned = metrics.counter('segments_returned')
        self._refused = {
            cause: metrics.counter('openings_refused', reason=cause.name)
            for cause in RefusalCause
        }
        self._dropped = metrics.counter('segments_dropped')
        self._resets = metrics.counter('connections_reset')
        metrics.gauge('connections', lambda: len(connections))
        metrics.gauge(
            'waiting_requests', lambda: connections.load(monotonic()).waiting
        )
        endpoint.on(SegmentForward, self._on_forward)
        endpoint.on(HolderQuery, self._on_query)

    def open(self) -> None:
        """Open the raw socket for segments; raises ``OSError``."""
        self._raw_endpoint = open_raw(self._cfg.segments, self._on_raw)

    async def run(self) -> None:
        """Resolve probes and remove old connections until cancelled."""
        expiry_due = monotonic()
        while True:
            has_pending_probes = self._connections.has_pending_probes
            await asyncio.sleep(TICK_S if has_pending_probes else IDLE_TICK_S)
            now = monotonic()
            self.apply(self._connections.tick(now))
            if now >= expiry_due:
                expiry_due = now + EXPIRY_INTERVAL_S
                self._connections.forget(now)

    def close(self) -> None:
        """Close the raw socket."""
        if self._raw_endpoint is not None:
            self._raw_endpoint.close()

    def apply(self, effects: Iterable[Effect]) -> None:
        """Carry out effects of the connection tracker."""
        for effect in effects:
            if isinstance(effect, DeliverToTarget):
                self._delivered.add()
                self._send(effect.raw, self._cfg.target)
            elif isinstance(effect, SendToClient):
                address = self._adapter.client_address(effect.key)
                self._send(effect.raw, address)
            elif isinstance(effect, SendMessage):
                if isinstance(effect.message, SegmentReturn):
                    self._returned.add()
                self._endpoint.send(effect.message, effect.address)
            elif isinstance(effect, ResetClient):
                self._reset(effect)
            elif isinstance(effect, OpeningRefused):
                self._log_refused(effect)
            elif isinstance(effect, DropSegment):
                self._drop(effect)

    def _on_forward(self, forward: SegmentForward, sender: Address) -> None:
        segment = self._adapter.codec.decode_from_client(forward.raw)
        if segment is None:
            self._dropped.add()
            return
        effects = self._connections.on_forward(
            monotonic(), forward, segment, sender
        )
        self.apply(effects)

    def _on_query(self, query: HolderQuery, sender: Address) -> None:
        effects = self._connections.on_query(monotonic(), query, sender)
        for effect in effects:
            if isinstance(effect, SendMessage) and isinstance(
                effect.message, HolderReply
            ):
                self._log_denials(query, effect.message)
        self.apply(effects)

    def _on_raw(self, raw: bytes, _: tuple[str, int]) -> None:
        segment = self._adapter.codec.decode_from_target(raw)
        if segment is None:
            self._dropped.add()
            self._log.warn(
                monotonic(), 'malformed', 'malformed segment', size=len(raw)
            )
            return
        self.apply(self._connections.on_target_segment(monotonic(), segment))

    def _send(self, raw: bytes, address: Address) -> None:
        if self._raw_endpoint is not None:
            self._raw_endpoint.send(raw, address)

    def _reset(self, effect: ResetClient) -> None:
        raw = self._adapter.codec.encode_reset(effect.key, effect.sequence)
        self._send(raw, self._adapter.client_address(effect.key))
        self._resets.add()
        logger.info(
            'connection reset',
            extra={
                'connection': connection_text(effect.key),
                'reason': effect.cause.value,
            },
        )

    def _log_denials(self, query: HolderQuery, reply: HolderReply) -> None:
        """Log the tracked connections that the agent denies.

        The target has a record of each, but its client chose another target.
        """
        for question, answer in zip(
            query.questions, reply.answers, strict=True
        ):
            entry = self._connections.get(question.key)
            if entry is None or answer.verdict is not Verdict.absent:
                continue
            logger.info(
                'tracked connection denied',
                extra={
                    'connection': connection_text(question.key),
                    'acknowledged': question.acknowledged,
                    'first_sequence': entry.first_sequence,
                    'is_closed': entry.closed_at is not None,
                },
            )

    def _log_refused(self, effect: OpeningRefused) -> None:
        self._refused[effect.cause].add()
        warm_up = self._connections.warm_up
        self._log.warn(
            monotonic(),
            effect.cause.name,
            'opening refused',
            connection=connection_text(effect.key),
            reason=effect.cause.value,
            limit=warm_up.limit,
        )

    def _drop(self, effect: DropSegment) -> None:
        self._dropped.add()
        self._log.warn(
            monotonic(),
            effect.cause.name,
            'segment dropped',
            connection=connection_text(effect.segment.key),
            reason=effect.cause.value,
        )
