"""Server with slots and work times that can fall silent."""

import asyncio
import random
import time
from typing import Any

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_platform.tests.packets import (
    ACK,
    BOUNCED,
    FIN,
    HEADER,
    SEQUENCE_SPACE,
    SYN,
    Key,
    pack,
)
from trefoilhaven_platform.tests.standins import ServerStandIn


class WorkingServer(ServerStandIn):
    """Works on each request for some time, on a number of slots.

    ``arrivals`` has the time and the flow of each packet of a client.
    """

    def __init__(
        self,
        name: str,
        service: str,
        app: Address,
        outbound: Address,
        control: Address,
        zone: str = 'a',
        slots: int = 4,
        work_s: float = 0.033,
    ) -> None:
        super().__init__(name, service, app, outbound, control)
        self._zone = zone
        self.arrivals: list[tuple[float, Key, int]] = []
        self.is_silent = False
        self.runs: list[tuple[float, Key]] = []
        self._work_s = work_s
        self._free = asyncio.Semaphore(slots)
        self._opened: set[Key] = set()
        self._sent: dict[Key, int] = {}
        self._taken: dict[Key, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return super().heartbeat() | {'zone': self._zone}

    def fall_silent(self) -> None:
        """Send nothing and answer nothing from now on.

        Connections to the server are not refused, as with a process that
        hangs: nobody accepts them.
        """
        self.is_silent = True
        if self._task is not None:
            self._task.cancel()
        loop = asyncio.get_running_loop()
        for sock in self._server.sockets if self._server else ():
            loop._remove_reader(sock.fileno())

    def _on_packet(self, raw: bytes) -> None:
        fields = HEADER.unpack_from(raw)
        key: Key = fields[1:5]
        flags, sequence, length = fields[5], fields[7], fields[10]
        self.arrivals.append((time.monotonic(), key, flags))
        if self.is_silent:
            return
        if not flags & SYN and key in self.flows and key not in self._opened:
            if fields[8] != (self.flows[key] + 1) % SEQUENCE_SPACE:
                # The client chose another server that accepted its opening.
                self.refused += 1
                self._refuse(raw, flags)
                return
            self._opened.add(key)
        is_request = bool(length) and not flags & (SYN | FIN)
        if not is_request or key not in self.flows:
            super()._on_packet(raw)
            return
        end = sequence + length
        if self._taken.get(key) == end:
            # A copy of a request that is being worked on, or was answered.
            return
        self._taken[key] = end
        task = asyncio.create_task(self._work(key, end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self, key: Key, end: int) -> None:
        async with self._free:
            self.runs.append((time.monotonic(), key))
            factor = random.lognormvariate(-0.125, 0.5)
            if random.random() < 0.03:
                factor *= 7
            await asyncio.sleep(min(0.35, self._work_s * factor))
        if self.is_silent or key not in self.flows or self._socket is None:
            return
        self.requests += 1
        first = self.flows[key] + self._sent.get(key, 1)
        self._sent[key] = self._sent.get(key, 1) + len(b'answer')
        answer = pack(key[2:], key[:2], ACK, first, end, b'answer')
        self._socket.send(answer, self._outbound)

    def _refuse(self, raw: bytes, flags: int) -> None:
        if self._socket is not None:
            bounced = bytes((*raw[:16], flags | BOUNCED, 0, *raw[18:]))
            self._socket.send(bounced, self._outbound)
