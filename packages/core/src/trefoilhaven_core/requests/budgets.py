"""Retry budget of a service and the decision to hedge.

Retries and hedges of idempotent requests draw on one budget, which a
balancer fills with a tenth of the requests that it forwards. During an
outage they therefore add at most a tenth to the load.
"""

from collections import deque
from typing import Final

RETRY_SHARE: Final = 0.1

# Lets a service with little load retry at all.
BUDGET_BURST: Final = 10.0

# A percentile of fewer samples is mostly noise.
MIN_HEDGE_SAMPLES: Final = 20

HEDGE_PERCENTILE: Final = 0.95

# Samples of the measured service time that count for the percentile.
HEDGE_WINDOW: Final = 256

# Sorting the window for each answer would cost more than it gains.
_SAMPLES_PER_UPDATE: Final = 16


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = BUDGET_BURST,
    ) -> None:
        """Start with a full bucket of ``burst`` retries."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry out of the budget; False when it is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class HedgePolicy:
    """Decides when a second copy of an idempotent request is sent."""

    def __init__(self, budget: RetryBudget) -> None:
        """Start without measured service times."""
        self._budget = budget
        self._samples: deque[float] = deque(maxlen=HEDGE_WINDOW)
        self._until_update = 0
        self._delay_s: float | None = None

    @property
    def delay_s(self) -> float | None:
        """Time in seconds after which to hedge, None while unknown."""
        return self._delay_s

    def on_service_time(self, elapsed_s: float) -> None:
        """Note the time that a whole answer took, in seconds."""
        self._samples.append(elapsed_s)
        self._until_update -= 1
        if len(self._samples) < MIN_HEDGE_SAMPLES or self._until_update > 0:
            return
        self._until_update = _SAMPLES_PER_UPDATE
        ordered = sorted(self._samples)
        self._delay_s = ordered[int(len(ordered) * HEDGE_PERCENTILE)]

    def should_hedge(
        self,
        now: float,
        sent_at: float,
        idempotent: bool,
        copies: int,
    ) -> bool:
        """Return whether to send a second copy now; takes the budget.

        ``copies`` is the number of copies that were sent so far. A third
        one is never sent.
        """
        if not idempotent or copies != 1 or self._delay_s is None:
            return False
        return now - sent_at >= self._delay_s and self._budget.take()
