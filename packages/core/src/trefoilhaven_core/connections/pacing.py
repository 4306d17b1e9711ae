"""Intervals of periodic messages within a traffic budget.

The number of receivers grows with the fleet, but the budget of a node does
not: with many receivers, the interval grows instead of the traffic.
"""

import math
from collections.abc import Sequence
from typing import Final

from trefoilhaven_core.membership.messages import Member

# Bytes of a hello, of a policy sent along with it, and of a report, including
# UDP and IP headers.
HELLO_BYTES: Final = 110
POLICY_BYTES: Final = 120
REPORT_BYTES: Final = 260

# Shares of hellos and of reports in the 20 KB/s that a node may use for
# control traffic at the target size of the fleet.
HELLO_BYTES_PER_S: Final = 2_500
REPORT_BYTES_PER_S: Final = 8_000

# Share of policies that a balancer sends at once after a change. Balancers
# send no reports; the rest of their budget is left to gossip and questions.
PROMPT_BYTES_PER_S: Final = 12_000

HELLO_S: Final = 1.0

# An agent of a large deployment gets its policy with one of so many hellos of
# each balancer; with many balancers that is still about twice a second.
MAX_HELLOS_PER_POLICY: Final = 4

# Interval in seconds between two batches of policies after a change.
PROMPT_INTERVAL_S: Final = 0.25

# Policies of a batch that the budget allows.
MAX_PROMPT_POLICIES: Final = int(
    PROMPT_INTERVAL_S * PROMPT_BYTES_PER_S / POLICY_BYTES
)

# Hellos that the budget allows within ``HELLO_S``.
MAX_HELLOS: Final = int(HELLO_S * HELLO_BYTES_PER_S / HELLO_BYTES)

MIN_REPORT_INTERVAL_S: Final = 0.25

# Balancers of other failure domains select a target less often and get only
# every second report.
FAR_INTERVAL_FACTOR: Final = 2

# A changed load is reported to the balancers of the own failure domain, the
# near ones, after this time at the earliest, in seconds.
MIN_CHANGED_REPORT_INTERVAL_S: Final = 0.08


class HelloSchedule:
    """Decides who gets a balancer's hello; to be asked each ``HELLO_S``.

    Agents that have not reported may not know the balancer, and get further
    hellos within the same budget: a target that is silent for some seconds
    counts as failed.
    """

    def __init__(self) -> None:
        """Start with a hello to all."""
        self._all_due = -math.inf
        self._next_unheard = 0

    def recipients(
        self,
        now: float,
        members: Sequence[Member],
        unheard_members: Sequence[Member],
        hello_bytes: int = HELLO_BYTES,
    ) -> Sequence[Member]:
        """Return the members to send a hello to at the monotonic ``now``.

        ``hello_bytes`` includes what is sent along with each hello.
        """
        if now < self._all_due:
            return self._take(unheard_members, hello_bytes)
        self._all_due = now + hello_interval_s(len(members), hello_bytes)
        return members

    def _take(
        self, members: Sequence[Member], hello_bytes: int
    ) -> Sequence[Member]:
        """Return the next members in turn, as many as the budget allows."""
        start = self._next_unheard
        if start >= len(members):
            start = 0
        self._next_unheard = start + MAX_HELLOS * HELLO_BYTES // hello_bytes
        return members[start : self._next_unheard]


def hellos_per_policy(targets: int) -> int:
    """Return with how many hellos an agent gets its policy once.

    With every hello, the hellos of a balancer with 61 targets would be 5.6 s
    apart instead of 2.7 s, and an agent that restarts without the store would
    know all balancers as much later.
    """
    all_bytes = targets * (HELLO_BYTES + POLICY_BYTES)
    if all_bytes <= HELLO_S * HELLO_BYTES_PER_S:
        return 1
    return MAX_HELLOS_PER_POLICY


def hello_interval_s(targets: int, hello_bytes: int = HELLO_BYTES) -> float:
    """Return the interval in seconds between two hellos to all targets.

    ``hello_bytes`` includes what is sent along with each hello.
    """
    return max(HELLO_S, targets * hello_bytes / HELLO_BYTES_PER_S)


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
