"""Intervals of regular messages within a budget of bytes.

The number of receivers grows with the fleet, and the budget of a node
does not: with many receivers, the interval grows in place of the volume.
"""

from typing import Final

# Bytes of a greeting and of a report, with UDP and IP headers.
HELLO_BYTES: Final = 110
REPORT_BYTES: Final = 260

# Parts of the 20 KB/s that a node may spend for control at the target size.
HELLO_BYTES_PER_S: Final = 2_500
REPORT_BYTES_PER_S: Final = 8_000

HELLO_S: Final = 1.0
MIN_REPORT_INTERVAL_S: Final = 0.25

# Balancers of other failure domains choose a target less often and get only
# every second report.
FAR_INTERVAL_FACTOR: Final = 2

# A load that changed is reported to the near balancers after this time.
MIN_CHANGED_REPORT_INTERVAL_S: Final = 0.08


def hello_interval_s(targets: int) -> float:
    """Return the interval between two greetings of all targets."""
    return max(HELLO_S, targets * HELLO_BYTES / HELLO_BYTES_PER_S)


def changed_report_interval_s(near_balancers: int) -> float:
    """Return the least interval between reports of a changed load."""
    budget_s = near_balancers * REPORT_BYTES / REPORT_BYTES_PER_S
    return max(MIN_CHANGED_REPORT_INTERVAL_S, budget_s)


def report_interval_s(balancers: int) -> float:
    """Return the interval between two reports to the near balancers."""
    return max(
        MIN_REPORT_INTERVAL_S, balancers * REPORT_BYTES / REPORT_BYTES_PER_S
    )


def far_report_interval_s(balancers: int) -> float:
    """Return the interval between two reports to the other balancers."""
    return FAR_INTERVAL_FACTOR * report_interval_s(balancers)
