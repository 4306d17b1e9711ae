"""The monotonic clock of the processes."""

import time


def monotonic() -> float:
    """Return seconds of a clock that also runs while the host is suspended.

    ``time.monotonic`` stops during a suspension, so that a lease would
    last longer than its duration on a host that was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
