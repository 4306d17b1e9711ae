"""Segments between the fabric, this gateway and the agents."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Final

from trefoilhaven.gateway.crossings import CrossingObserver
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.batches import (
    QuestionBatch,
    datagram_pause_s,
)
from trefoilhaven_core.connections.effects import (
    ConfirmMembership,
    DropCause,
    DropSegment,
    Effect,
    HolderFound,
    OverloadRefused,
    Placed,
    QueryMember,
    QueryPeer,
    ResetCause,
    ResetClient,
    SendMessage,
    UnknownTarget,
)
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    HolderReply,
    RouteQuery,
    RouteReply,
    SegmentForward,
    SegmentReturn,
    TargetReport,
)
from trefoilhaven_core.connections.texts import (
    connection_text,
    host_text,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.raw import RawEndpoint, open_raw

logger = logging.getLogger(__name__)

# Interval of the router's ticks, with and without searches in progress.
# Ticks advance the searches; answers are handled when they arrive.
TICK_S: Final = 0.02
IDLE_TICK_S: Final = 0.1


class SegmentTask:
    """Passes segments and replies to the router and applies its effects."""

    def __init__(
        self,
        state: GatewayState,
        adapter: PlatformAdapter,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handlers of the control socket."""
        self._state = state
        self._adapter = adapter
        self._endpoint = endpoint
        self._raw_endpoint: RawEndpoint | None = None
        pause_s = datagram_pause_s(state.cfg.processor_cores)
        self._questions = QuestionBatch(pause_s)
        self._confirm: Callable[[float], None] = lambda _: None
        self._log = RateLimitedLog(logger)
        metrics = state.runtime.metrics
        self._drops = {
            cause: metrics.counter('segments_dropped', reason=cause.name)
            for cause in DropCause
        }
        self._resets = {
            cause: metrics.counter('connections_reset', cause=cause.name)
            for cause in ResetCause
        }
        self._overloads = metrics.counter(
            'openings_refused', reason=ResetCause.overloaded.name
        )
        self._forwards = metrics.counter('segments_forwarded')
        self._placed = metrics.counter('connections_placed')
        self._crossings = CrossingObserver(state)
        self._search_time = metrics.histogram('holder_search')
        metrics.gauge('cached_connections', lambda: len(state.router))
        metrics.gauge('searches', lambda: len(state.router.searches))
        endpoint.on(SegmentReturn, self._on_return)
        endpoint.on(HolderReply, self._on_reply)
        endpoint.on(ConnectionAccepted, self._on_accepted)
        endpoint.on(RouteQuery, self._on_route_query)
        endpoint.on(RouteReply, self._on_route_reply)

    def open(self) -> None:
        """Open the raw socket to the fabric; raises ``OSError``."""
        self._raw_endpoint = open_raw(self._state.cfg.segments, self._on_raw)

    async def run(self) -> None:
        """Tick the router until cancelled."""
        router = self._state.router
        while True:
            await asyncio.sleep(TICK_S if router.searches else IDLE_TICK_S)
            self._apply(router.tick(monotonic()))

    def close(self) -> None:
        """Close the raw socket to the fabric."""
        if self._raw_endpoint is not None:
            self._raw_endpoint.close()

    def on_confirm(self, confirm: Callable[[float], None]) -> None:
        """Register what asks peers to confirm the list of targets.

        It is called with the monotonic time as of which the list is to be
        confirmed.
        """
        self._confirm = confirm

    def on_confirmation(self) -> None:
        """Conclude the searches that wait for a confirmation by peers."""
        searches = self._state.router.searches
        self._apply(searches.on_confirmation(monotonic()))

    def on_report(self, report: TargetReport) -> None:
        """Pass an agent's report to the router."""
        self._state.router.on_report(monotonic(), report)

    def _on_raw(self, raw: bytes, _: tuple[str, int]) -> None:
        segment = self._adapter.codec.decode_from_client(raw)
        if segment is None:
            self._drops[DropCause.malformed].add()
            self._log.warn(
                monotonic(), 'malformed', 'malformed segment', size=len(raw)
            )
            return
        self._apply(self._state.router.on_segment(monotonic(), segment))

    def _on_return(self, returned: SegmentReturn, sender: Address) -> None:
        segment = self._adapter.codec.decode_from_client(returned.raw)
        if segment is None:
            self._drops[DropCause.malformed].add()
            return
        logger.info(
            'segment returned',
            extra={
                'connection': connection_text(segment.key),
                'target': returned.target,
                'reason': returned.reason.name,
            },
        )
        self._apply(
            self._state.router.on_return(monotonic(), returned, segment)
        )

    def _on_reply(self, reply: HolderReply, sender: Address) -> None:
        router = self._state.router
        self._apply(router.on_reply(monotonic(), reply, sender))

    def _on_accepted(
        self, accepted: ConnectionAccepted, sender: Address
    ) -> None:
        self._state.router.on_accepted(monotonic(), accepted)

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._endpoint.send(effect.message, effect.address)
                if isinstance(effect.message, SegmentForward):
                    self._forwards.add()
            elif isinstance(effect, QueryMember | QueryPeer):
                self._queue_question(effect)
            elif isinstance(effect, ResetClient):
                self._reset(effect)
            elif isinstance(effect, ConfirmMembership):
                self._confirm(effect.since)
            elif isinstance(effect, DropSegment):
                self._drop(effect)
            else:
                self._log_effect(effect)

    def _log_effect(self, effect: Effect) -> None:
        if isinstance(effect, Placed):
            self._log_placed(effect)
        elif isinstance(effect, HolderFound):
            self._log_found(effect)
        elif isinstance(effect, OverloadRefused):
            self._log_overload(effect)
        elif isinstance(effect, UnknownTarget):
            self._log_unknown_target(effect)

    def _log_placed(self, effect: Placed) -> None:
        self._placed.add()
        self._crossings.on_placed(effect)
        logger.info(
            'connection placed',
            extra={
                'connection': connection_text(effect.key),
                'service': effect.member.service,
                'target': effect.member.target,
                'incarnation': effect.member.incarnation,
                'busy_share': round(effect.busy_share, 2),
                'expected_wait_s': round(effect.expected_wait_s, 4),
                'service_time_s': round(effect.service_time_s, 4),
                'failure_domain': effect.member.failure_domain,
                'report_age_s': round(effect.report_age_s, 3),
                'tried': effect.tried,
                'version': self._state.routes.version,
            },
        )

    def _log_overload(self, effect: OverloadRefused) -> None:
        self._overloads.add()
        policy, wait_s, share = effect.refusal
        host, port = policy.address
        self._log.warn(
            monotonic(),
            f'{ResetCause.overloaded.name} {host}:{port}',
            'connection refused in an overload',
            route=f'{host_text(host)}:{port}',
            service=effect.service,
            priority=policy.priority,
            expected_wait_s=round(wait_s, 3),
            objective_s=policy.objective_s,
            accepted_share=round(share, 2),
        )

    def _log_found(self, effect: HolderFound) -> None:
        self._search_time.observe(effect.searched_s)
        logger.info(
            'holder found',
            extra={
                'connection': connection_text(effect.key),
                'service': effect.member.service,
                'target': effect.member.target,
                'searched_s': round(effect.searched_s, 4),
                'segments': effect.segments,
            },
        )

    def _log_unknown_target(self, effect: UnknownTarget) -> None:
        logger.info(
            'a peer names an unknown target',
            extra={
                'connection': connection_text(effect.route.key),
                'service': effect.route.service,
                'target': effect.route.target,
                'incarnation': effect.route.incarnation,
                'peer': effect.peer.host,
            },
        )

    def _queue_question(self, effect: QueryMember | QueryPeer) -> None:
        if self._questions.is_empty:
            delay_s = self._questions.delay_s(monotonic())
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._send_questions)
        self._questions.add(effect)

    def _send_questions(self) -> None:
        for outgoing in self._questions.take(monotonic()):
            self._endpoint.send(outgoing.message, outgoing.address)

    def _on_route_query(self, query: RouteQuery, sender: Address) -> None:
        reply = self._state.router.on_route_query(query)
        self._endpoint.send(reply, sender)

    def _on_route_reply(self, reply: RouteReply, sender: Address) -> None:
        router = self._state.router
        self._apply(router.on_route_reply(monotonic(), reply, sender))

    def _drop(self, effect: DropSegment) -> None:
        self._drops[effect.cause].add()
        self._log.warn(
            monotonic(),
            effect.cause.name,
            'segment dropped',
            connection=connection_text(effect.segment.key),
            reason=effect.cause.value,
            detail=effect.detail,
            version=self._state.routes.version,
        )

    def _reset(self, effect: ResetClient) -> None:
        if self._raw_endpoint is None:
            return
        raw = self._adapter.codec.encode_reset(effect.key, effect.sequence)
        self._raw_endpoint.send(raw, self._adapter.client_address(effect.key))
        self._resets[effect.cause].add()
        if effect.cause is ResetCause.evacuated:
            self._log_evacuated(effect)
            return
        if effect.cause is ResetCause.overloaded:
            # ``OverloadRefused`` is logged, at a limited rate.
            return
        logger.info(
            'connection reset',
            extra={
                'connection': connection_text(effect.key),
                'reason': effect.cause.value,
                'detail': effect.detail,
                'version': self._state.routes.version,
            },
        )

    def _log_evacuated(self, effect: ResetClient) -> None:
        evacuations = self._state.evacuations
        self._log.warn(
            monotonic(),
            effect.cause.name,
            'connection reset',
            connection=connection_text(effect.key),
            reason=effect.cause.value,
            domains=sorted(self._state.target_selector.evacuated_domains),
            era=evacuations.era,
            revision=evacuations.revision,
        )
