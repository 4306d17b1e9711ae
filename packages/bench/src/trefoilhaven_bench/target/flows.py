"""UDP server of the target for flows."""

import asyncio
import random
import time
from collections import Counter
from typing import Any, NamedTuple

from trefoilhaven_bench.payloads import (
    FlowQuestion,
    FlowReply,
    decode_payload,
    encode_payload,
)


class Session(NamedTuple):
    """State of the flow from one source address."""

    flow: int
    session: int
    replies: int


class FlowServer(asyncio.DatagramProtocol):
    """Answers packets of its service; counts those of other services."""

    def __init__(self, service: str, target: str) -> None:
        """Serve one service under the target's name."""
        self.counts: Counter[str] = Counter()
        self.started: list[float] = []
        self._service = service
        self._target = target
        self._sessions: dict[tuple[str, int], Session] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket for replies."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a packet if it is intact and belongs to this service."""
        question = decode_payload(data, FlowQuestion)
        if question is None:
            self.counts['malformed'] += 1
            return
        if question.service != self._service:
            self.counts['cross_service'] += 1
            return
        self.counts['packets'] += 1
        session = self._update_session(question, addr)
        reply = FlowReply(
            self._service,
            self._target,
            session.session,
            question.flow,
            session.replies,
            question.sequence,
            0,
            question.padding,
        )
        if self._transport is not None:
            self._transport.sendto(encode_payload(reply), addr)

    def clear_sessions(self) -> None:
        """Drop all sessions, as a restart of the server does."""
        self._sessions.clear()

    def _update_session(
        self,
        question: FlowQuestion,
        source: tuple[str, int],
    ) -> Session:
        session = self._sessions.get(source)
        if session is None or session.flow != question.flow:
            self.started.append(time.time())
            session = Session(question.flow, random.getrandbits(62), 0)
        session = session._replace(replies=session.replies + 1)
        self._sessions[source] = session
        return session
