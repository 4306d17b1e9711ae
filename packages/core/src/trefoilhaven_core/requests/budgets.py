"""Retry budget of a service and hedging of idempotent requests.

Retries and hedges of idempotent requests share one budget. A balancer adds a
share of a token, by default a tenth, for each request that it forwards, so
that they add at most this share to the load during an outage.
"""

from collections import deque
from typing import Final

RETRY_SHARE: Final = 0.1

# Without a burst, a service with little load could hardly ever retry.
BUDGET_BURST: Final = 10.0

# The percentile of fewer samples is mostly noise.
MIN_HEDGE_SAMPLES: Final = 20

HEDGE_PERCENTILE: Final = 0.95

# Number of the latest answer times from which the percentile is taken.
HEDGE_WINDOW: Final = 256

# Sorting the window on each answer would cost more than it gains.
_SAMPLES_PER_UPDATE: Final = 16


class RetryBudget:
    """Token bucket that first attempts fill and retries drain."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = BUDGET_BURST,
    ) -> None:
        """Start with a full bucket of ``burst`` retries.

        ``share`` is the number of tokens that each first attempt adds.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    def on_request(self) -> None:
        """Add the share of a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take a token for one retry; return False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class HedgePolicy:
    """Decides when to hedge, that is, to send an idempotent request twice."""

    def __init__(self, budget: RetryBudget) -> None:
        """Start without answer times; hedges draw on ``budget``."""
        self._budget = budget
        self._samples: deque[float] = deque(maxlen=HEDGE_WINDOW)
        self._until_update = 0
        self._delay_s: float | None = None

    @property
    def delay_s(self) -> float | None:
        """Time in seconds after which to hedge, None with too few samples."""
        return self._delay_s

    def on_answer_time(self, elapsed_s: float) -> None:
        """Add the time from sending to a complete answer, in seconds."""
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
        """Return whether to send a second copy now; if so, take a token.

        ``copies`` is the number of copies sent so far; a third one is never
        sent. Times are monotonic, in seconds.
        """
        if not idempotent or copies != 1 or self._delay_s is None:
            return False
        return now - sent_at >= self._delay_s and self._budget.take()
