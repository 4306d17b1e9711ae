"""Hybrid logical clock with timestamps packed into an integer.

The upper 48 bits of a timestamp are Unix milliseconds and the lower 16 bits a
counter. If one event may have caused another, the other has the greater
timestamp.
"""

from typing import Final

COUNTER_BITS: Final = 16
MS_PER_S: Final = 1000

# A remote timestamp further ahead of the local clock is attributed to a broken
# clock and not adopted, since timestamps never decrease afterwards.
MAX_AHEAD_S: Final = 60.0

_MAX_AHEAD: Final = int(MAX_AHEAD_S * MS_PER_S) << COUNTER_BITS
_MAX_STAMP: Final = (1 << 64) - 1


class HybridClock:
    """Hybrid logical clock of one process.

    Callers pass the Unix time in seconds. ``rejected`` counts the remote
    timestamps that were not adopted.
    """

    def __init__(self) -> None:
        self.rejected = 0
        self._last = 0

    @property
    def last(self) -> int:
        """The latest timestamp returned or adopted, 0 before the first."""
        return self._last

    def tick(self, now_s: float) -> int:
        """Return the timestamp of a local event or an outgoing message."""
        self._last = max(self._last + 1, pack_stamp(now_s))
        return self._last

    def receive(self, remote: int, now_s: float) -> int:
        """Return the timestamp of the arrival of a message with a remote one."""
        local = pack_stamp(now_s)
        if 0 <= remote <= local + _MAX_AHEAD:
            if remote > self._last:
                self._last = remote
        else:
            self.rejected += 1
        self._last = max(self._last + 1, local)
        return self._last


def pack_stamp(now_s: float, counter: int = 0) -> int:
    """Return the timestamp of a Unix time in seconds and a counter."""
    stamp = (int(now_s * MS_PER_S) << COUNTER_BITS) + counter
    return min(max(stamp, 0), _MAX_STAMP)


def stamp_time_s(stamp: int) -> float:
    """Return the Unix time of a timestamp, in seconds."""
    return (stamp >> COUNTER_BITS) / MS_PER_S


def stamp_counter(stamp: int) -> int:
    """Return the counter of a timestamp."""
    return stamp & ((1 << COUNTER_BITS) - 1)
