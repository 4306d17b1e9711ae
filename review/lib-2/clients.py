"""Clients behind the routers: each socket opens many flows."""

import asyncio
import random
import time
from collections.abc import Callable

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_platform.tests.packets import (
    ACK,
    FIN,
    HEADER,
    RST,
    SEQUENCE_SPACE,
    SYN,
    PacketSocket,
    ip_to_int,
    pack,
)

# Copies of an opening packet are sent after these times, in seconds, and the
# attempt ends after the last one.
COPIES_S = (0.2, 0.6, 1.4)
# A reset of an open flow is valid within this distance of the latest
# acknowledgement.
RESET_WINDOW = 76_800


class Flow:
    """One flow of a client; times are monotonic."""

    def __init__(self, socket: 'ClientSocket', port: int, to: Address) -> None:
        self.key = (socket.host, port, ip_to_int(to.host), to.port)
        self.first = random.randrange(SEQUENCE_SPACE)
        self.sequence = self.first + 1
        self.server_sequence = 0
        self.acknowledged = 0
        self.started_at = time.monotonic()
        self.opened_at: float | None = None
        self.reset_at: float | None = None
        self.answers = 0
        self.answered_at = 0.0
        self._socket = socket

    async def open(self) -> None:
        """Open the flow, or end without."""
        for copy, at_s in enumerate(COPIES_S):
            if self.opened_at or self.reset_at:
                return
            self._send(SYN, self.first, copy)
            until = self.started_at + at_s
            while time.monotonic() < until:
                if self.opened_at or self.reset_at:
                    return
                await asyncio.sleep(0.005)

    async def request(self, limit_s: float) -> bool:
        """Send a request with retransmissions; return whether it is answered.

        Missing packets are sent again after 0.2 s, and the interval doubles
        up to 1.6 s.
        """
        answers = self.answers
        until = time.monotonic() + limit_s
        wait_s = 0.2
        while time.monotonic() < until and not self.reset_at:
            self._send(ACK, self.sequence, self.acknowledged, b'request')
            pause = min(until, time.monotonic() + wait_s)
            wait_s = min(1.6, 2 * wait_s)
            while time.monotonic() < pause and not self.reset_at:
                if self.answers > answers:
                    self.sequence += len(b'request')
                    self.acknowledge()
                    return True
                await asyncio.sleep(0.005)
        return False

    def acknowledge(self) -> None:
        """Acknowledge what the server has sent."""
        self._send(ACK, self.sequence, self.acknowledged)

    def finish(self) -> None:
        """Close the flow."""
        self._send(FIN | ACK, self.sequence, self.acknowledged)

    def on_packet(self, fields: tuple[int, ...]) -> None:
        """Process a packet that arrived for this flow."""
        now = time.monotonic()
        flags, sequence, length = fields[5], fields[7], fields[10]
        if flags & RST:
            start = self.acknowledged - RESET_WINDOW
            distance = (sequence - start) % SEQUENCE_SPACE
            if self.opened_at is None or distance <= 2 * RESET_WINDOW:
                self.reset_at = self.reset_at or now
        elif flags & SYN:
            if self.opened_at is None and not self.reset_at:
                self.opened_at = now
                self.server_sequence = sequence
                self.acknowledged = sequence + 1
                self.acknowledge()
        elif length:
            self.answers += 1
            self.answered_at = now
            self.acknowledged = sequence + length

    def _send(
        self, flags: int, sequence: int, acknowledged: int, data: bytes = b''
    ) -> None:
        raw = pack(
            self.key[:2], self.key[2:], flags, sequence, acknowledged, data
        )
        self._socket.send(self.key, raw)


class ClientSocket:
    """Socket of one client host; the routers hash each flow to a gateway."""

    def __init__(
        self, address: Address, rotation: Callable[[], list[Address]]
    ) -> None:
        self.host = ip_to_int(address.host)
        self.flows: dict[int, Flow] = {}
        self._port = random.randrange(2000, 40_000)
        self._rotation = rotation
        self._socket = PacketSocket(address, self._on_packet)

    def flow(self, to: Address) -> Flow:
        """Return a new flow to a service address."""
        self._port += 1
        flow = Flow(self, self._port, to)
        self.flows[self._port] = flow
        return flow

    def send(self, key: tuple[int, int, int, int], raw: bytes) -> None:
        """Send a packet by way of the routers."""
        gateways = self._rotation()
        if gateways:
            chosen = gateways[hash(key) % len(gateways)]
            self._socket.send(raw, chosen)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _on_packet(self, raw: bytes) -> None:
        fields = HEADER.unpack_from(raw)
        flow = self.flows.get(fields[4])
        if flow is not None:
            flow.on_packet(fields)
