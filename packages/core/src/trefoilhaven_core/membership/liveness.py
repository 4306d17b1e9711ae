"""Timer of the silence of one agent or peer balancer."""

from typing import Final

# Silence in seconds after which an agent or peer is reported suspect, and
# after which it is reported dead.
SUSPECT_AFTER_S: Final = 1.5
DEAD_AFTER_S: Final = 2.5


class LivenessTimer:
    """Time since which an agent or peer is silent, and what was reported.

    ``since`` is the time of the last message of an agent, or of a later start
    or restart of its timer. For a peer it is the time of the first unanswered
    digest.

    Times are monotonic seconds, 0 for an event that did not happen.
    """

    __slots__ = (
        'dead_at',
        'failure_domain',
        'grace_until',
        'min_dead_after_s',
        'probed_at',
        'since',
        'suspected',
    )

    def __init__(
        self, now: float, failure_domain: str, min_dead_after_s: float = 0
    ) -> None:
        """Start the timer at ``now``.

        ``min_dead_after_s`` is the shortest silence in seconds after which
        the agent or peer is reported dead.
        """
        self.failure_domain = failure_domain
        self.min_dead_after_s = min_dead_after_s
        self.probed_at = now
        self.restart(now)

    def restart(self, now: float) -> None:
        """Clear the reports and measure the silence from ``now``."""
        self.since = now
        self.suspected = False
        self.dead_at = 0.0
        self.grace_until = 0.0
