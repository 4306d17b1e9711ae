"""Hybrid logical clock, packed into an integer.

The upper 48 bits are Unix milliseconds and the lower 16 bits a counter.
An event that could have been caused by another has the higher stamp.
"""

from typing import Final

COUNTER_BITS: Final = 16
MS_PER_S: Final = 1000

# A stamp this far ahead of the own time is taken for a broken clock and
# not adopted, since stamps never go back afterwards.
MAX_AHEAD_S: Final = 60.0

_MAX_AHEAD: Final = int(MAX_AHEAD_S * MS_PER_S) << COUNTER_BITS
_MAX_STAMP: Final = (1 << 64) - 1


class HybridClock:
    """Stamps of one process; Unix time in seconds is passed in."""

    def __init__(self) -> None:
        """Start before every stamp."""
        self.rejected = 0
        self._last = 0

    @property
    def last(self) -> int:
        """The latest stamp given or taken, 0 before the first."""
        return self._last

    def tick(self, now_s: float) -> int:
        """Return the stamp of a local event or of a message to be sent."""
        self._last = max(self._last + 1, pack_stamp(now_s))
        return self._last

    def receive(self, remote: int, now_s: float) -> int:
        """Return the stamp of the arrival of a message."""
        own = pack_stamp(now_s)
        if 0 <= remote <= own + _MAX_AHEAD:
            if remote > self._last:
                self._last = remote
        else:
            self.rejected += 1
        self._last = max(self._last + 1, own)
        return self._last


def pack_stamp(now_s: float, counter: int = 0) -> int:
    """Return the stamp of a time in seconds and a counter."""
    stamp = (int(now_s * MS_PER_S) << COUNTER_BITS) + counter
    return min(max(stamp, 0), _MAX_STAMP)


def stamp_time_s(stamp: int) -> float:
    """Return the Unix time of a stamp in seconds."""
    return (stamp >> COUNTER_BITS) / MS_PER_S


def stamp_counter(stamp: int) -> int:
    """Return the counter of a stamp."""
    return stamp & ((1 << COUNTER_BITS) - 1)
