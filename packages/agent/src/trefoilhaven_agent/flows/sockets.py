"""UDP sockets between the agent and its target, one for each open flow.

The target is an ordinary UDP server that distinguishes flows by the source
address, so each flow has a connected socket of its own. These are plain
sockets with a reader callback in place of asyncio transports, because
opening one must not wait: the first packet of a flow is delivered at once.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import Final

from trefoilhaven_core.flows.messages import FlowKey
from trefoilhaven_core.membership.messages import Address

logger = logging.getLogger(__name__)

_READ_BYTES: Final = 65_536

# Datagrams read from one socket before the event loop serves others.
_READ_BURST: Final = 16

AnswerHandler = Callable[[FlowKey, bytes], None]
LossHandler = Callable[[], None]


class TargetSockets:
    """The connected sockets of all open flows."""

    def __init__(
        self,
        target: Address,
        on_answer: AnswerHandler,
        on_target_lost: LossHandler,
    ) -> None:
        """Start without sockets; they connect to ``target``."""
        self._target = target
        self._on_answer = on_answer
        self._on_target_lost = on_target_lost
        self._sockets: dict[FlowKey, socket.socket] = {}

    def __len__(self) -> int:
        """Return the number of open sockets."""
        return len(self._sockets)

    def deliver(self, flow: FlowKey, payload: bytes) -> None:
        """Send a payload to the target, opening the flow's socket first.

        If the socket buffer is full, the payload is dropped, as a network
        would do. A refused datagram reports the target as lost.
        """
        sock = self._sockets.get(flow) or self._open(flow)
        try:
            sock.send(payload)
        except BlockingIOError:
            logger.debug('socket buffer of the target is full; payload dropped')
        except ConnectionRefusedError:
            self._report_loss()

    def close(self, flow: FlowKey) -> None:
        """Close the socket of a flow, if there is one."""
        sock = self._sockets.pop(flow, None)
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()

    def close_all(self) -> None:
        """Close all sockets."""
        for flow in tuple(self._sockets):
            self.close(flow)

    def _open(self, flow: FlowKey) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.connect((self._target.host, self._target.port))
        self._sockets[flow] = sock
        asyncio.get_running_loop().add_reader(
            sock.fileno(),
            self._read,
            flow,
            sock,
        )
        return sock

    def _read(self, flow: FlowKey, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            for _ in range(_READ_BURST):
                if self._sockets.get(flow) is not sock:
                    return
                try:
                    answer = sock.recv(_READ_BYTES)
                except ConnectionRefusedError:
                    self._report_loss()
                    return
                self._on_answer(flow, answer)

    def _report_loss(self) -> None:
        # The callback runs later, so that the flow table does not change
        # while the effects of a packet are applied.
        asyncio.get_running_loop().call_soon(self._on_target_lost)
