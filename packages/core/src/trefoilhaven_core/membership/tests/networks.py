"""Simulated network with faults from a seeded random generator."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple


class Faults(NamedTuple):
    """Shares of lost and duplicated messages, and the longest delay in s."""

    loss: float = 0
    duplication: float = 0
    max_delay_s: float = 0.005


class Delivery(NamedTuple):
    """A message that arrives at time ``at``; ``order`` breaks ties."""

    at: float
    order: int
    sender: str
    receiver: str
    message: object


def _ignore(message: object) -> None:
    """Do nothing; the default observer of sent messages."""


class MessageNetwork:
    """Delivers messages reordered, duplicated, late or not at all.

    Messages between two processes in ``cut`` are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start empty, without faults."""
        self.faults = Faults()
        self.cut: set[frozenset[str]] = set()
        self.on_send: Callable[[object], object] = _ignore
        self._rng = rng
        self._queue: list[Delivery] = []

    def send(
        self, now: float, sender: str, receiver: str, message: object
    ) -> None:
        """Queue a message for delivery, or drop it."""
        self.on_send(message)
        if frozenset((sender, receiver)) in self.cut:
            return
        if self._rng.random() < self.faults.loss:
            return
        copies = 2 if self._rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            at = now + self._rng.uniform(0.001, self.faults.max_delay_s)
            order = self._rng.getrandbits(32)
            delivery = Delivery(at, order, sender, receiver, message)
            heapq.heappush(self._queue, delivery)

    def due(self, now: float) -> list[Delivery]:
        """Return the messages that have arrived by now."""
        arrived = []
        while self._queue and self._queue[0].at <= now:
            arrived.append(heapq.heappop(self._queue))
        return arrived
