"""Tests of the UDP sockets of a process."""

import asyncio

import pytest
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.raw import open_raw
from trefoilhaven_core.wire.tests.test_http import free_address

TIMEOUT_S = 10


class TestOpen:
    """Processes that use one address."""

    async def test_second_process(self) -> None:
        """Guards against two agents of one host that both act.

        A new process that starts before the old one has ended can't open the
        socket, and ends.
        """
        address = free_address()
        first = open_raw(address, lambda raw, sender: None)
        try:
            with pytest.raises(OSError, match='in use'):
                open_raw(address, lambda raw, sender: None)
        finally:
            first.close()


class TestErrors:
    """Errors of a handler."""

    async def test_handler(self) -> None:
        """Guards against a datagram that ends the reading of the socket."""
        received: list[bytes] = []
        done = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: None)

        def handle(raw: bytes, sender: tuple[str, int]) -> None:
            received.append(raw)
            if raw == b'bad':
                raise ValueError('unexpected')
            done.set()

        endpoint = open_raw(free_address(), handle)
        address = Address(*endpoint._sock.getsockname())  # noqa: SLF001
        try:
            endpoint.send(b'bad', address)
            endpoint.send(b'good', address)
            async with asyncio.timeout(TIMEOUT_S):
                await done.wait()
        finally:
            endpoint.close()
        assert received == [b'bad', b'good']
