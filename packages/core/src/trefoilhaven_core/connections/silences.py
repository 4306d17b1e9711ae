"""Targets whose agents have been heard lately."""

from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.connections.pacing import FAR_INTERVAL_FACTOR
from trefoilhaven_core.connections.target_states import TargetState

# A target whose agent sent nothing for this time, in seconds, and for this
# many report intervals gets no new connections while others are available.
SILENCE_TIMEOUT_S: Final = 0.8
SILENCE_TIMEOUT_INTERVALS: Final = 2.2


def heard_targets(
    now: float,
    targets: Iterable[TargetState],
    failure_domain: str,
    far_report_s: float,
) -> list[TargetState]:
    """Return the targets that respond and whose agents are not silent.

    ``failure_domain`` is that of the balancer, and ``far_report_s`` the
    interval in seconds of reports from agents of other ones.
    """
    near_since = now - _timeout_s(far_report_s / FAR_INTERVAL_FACTOR)
    far_since = now - _timeout_s(far_report_s)
    return [
        target
        for target in targets
        if not target.is_unresponsive
        and target.seen_at
        > (
            near_since
            if target.member.failure_domain == failure_domain
            else far_since
        )
    ]


def _timeout_s(report_s: float) -> float:
    return max(SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_INTERVALS * report_s)
