"""Calls between processes over TCP, for messages that exceed a datagram.

Request and answer are one message each, sent as its length in four bytes,
big-endian, and its encoding by the datagram codec. Processes that must
start quickly use this instead of gRPC, whose import takes 0.3 s of
processor time.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings import defaults
from trefoilhaven_core.telemetry.runtimes import ProcessClock
from trefoilhaven_core.wire.codec import Codec

logger = logging.getLogger(__name__)

# Maximum size of a message in bytes; the state of a region takes 1.8 MB.
MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024

_LENGTH_BYTES: Final = 4

TransferHandler = Callable[[Any], 'NamedTuple | None']


class TransferError(NamedTuple):
    """Why a call returned no message."""

    reason: str


class TransferEndpoint:
    """Sends calls, and passes received ones to the handler of their type."""

    def __init__(self, codec: Codec, clock: ProcessClock) -> None:
        self._codec = codec
        self._clock = clock
        self._handlers: dict[type[NamedTuple], TransferHandler] = {}
        self._server: asyncio.Server | None = None

    def on(self, kind: type[NamedTuple], handler: TransferHandler) -> None:
        """Register the handler of a message type.

        When the handler returns None, the connection is closed without an
        answer. A message without a handler also closes it, without a log line.
        """
        self._handlers[kind] = handler

    async def start(self, address: Address) -> None:
        """Listen at an address; raises ``OSError`` when it is in use."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def call(
        self,
        address: Address,
        message: NamedTuple,
        timeout_s: float = defaults.PEER_CALL_TIMEOUT_S,
    ) -> Result[Any, TransferError]:
        """Send a message to another process and return its answer."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address)
                with contextlib.closing(writer):
                    self._send(writer, message)
                    raw = await _read(reader)
        except (OSError, EOFError, TimeoutError) as exc:
            return Error(TransferError(str(exc) or 'no answer in time'))
        decoded = self._codec.decode(raw)
        if decoded.is_error():
            return Error(TransferError(decoded.error.reason))
        self._clock.observe(decoded.ok.clock)
        return Ok(decoded.ok.message)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            try:
                async with asyncio.timeout(defaults.PEER_CALL_TIMEOUT_S):
                    raw = await _read(reader)
            except (OSError, EOFError, TimeoutError) as exc:
                logger.info(
                    'call from a peer failed', extra={'reason': str(exc)}
                )
                return
            decoded = self._codec.decode(raw)
            if decoded.is_error():
                reason = decoded.error.reason
                logger.warning(
                    'malformed call from a peer', extra={'reason': reason}
                )
                return
            handler = self._handlers.get(type(decoded.ok.message))
            if handler is not None:
                self._clock.observe(decoded.ok.clock)
                answer = handler(decoded.ok.message)
                if answer is not None:
                    self._send(writer, answer)

    def _send(self, writer: asyncio.StreamWriter, message: NamedTuple) -> None:
        raw = self._codec.encode(message, self._clock.stamp())
        writer.write(len(raw).to_bytes(_LENGTH_BYTES, 'big') + raw)


async def _read(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), 'big')
    if length > MAX_MESSAGE_BYTES:
        raise EOFError(f'a message of {length} bytes is too large')
    return await reader.readexactly(length)
