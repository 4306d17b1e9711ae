"""Intervals of periodic messages within a traffic budget.

The number of receivers grows with the fleet, but the budget of a node does
not: with many receivers, the interval grows instead of the traffic.
"""

from typing import Final

# Bytes of a hello and of a report, including UDP and IP headers.
HELLO_BYTES: Final = 110
REPORT_BYTES: Final = 260

# Shares of hellos and of reports in the 20 KB/s that a node may use for
# control traffic at the target size of the fleet.
HELLO_BYTES_PER_S: Final = 2_500
REPORT_BYTES_PER_S: Final = 8_000

HELLO_S: Final = 1.0
MIN_REPORT_INTERVAL_S: Final = 0.25

# Balancers of other failure domains select a target less often and get only
# every second report.
FAR_INTERVAL_FACTOR: Final = 2

# A changed load is reported to the balancers of the own failure domain, the
# near ones, after this time at the earliest, in seconds.
MIN_CHANGED_REPORT_INTERVAL_S: Final = 0.08


def hello_interval_s(targets: int) -> float:
    """Return the interval in seconds between two hellos to all targets."""
    return max(HELLO_S, targets * HELLO_BYTES / HELLO_BYTES_PER_S)


def changed_report_interval_s(near_balancers: int) -> float:
    """Return the least interval in seconds of reports of a changed load."""
    budget_s = near_balancers * REPORT_BYTES / REPORT_BYTES_PER_S
    return max(MIN_CHANGED_REPORT_INTERVAL_S, budget_s)


def report_interval_s(balancers: int) -> float:
    """Return the interval in seconds of reports to the near balancers."""
    return max(
        MIN_REPORT_INTERVAL_S, balancers * REPORT_BYTES / REPORT_BYTES_PER_S
    )


def far_report_interval_s(balancers: int) -> float:
    """Return the interval in seconds of reports to the other balancers."""
    return FAR_INTERVAL_FACTOR * report_interval_s(balancers)
