"""Whether the store is available, shared by all calls of one process.

While the store is unavailable, one call at a time probes it and the others
wait, so that the number of calls does not grow with the watches and writes of
a process.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum
from random import Random
from typing import Any, Final, NamedTuple

from trefoilhaven_core.platform.backoffs import Backoff

logger = logging.getLogger(__name__)

# Range of the first delay before a probe, and of the longest one, in seconds.
# A delay is drawn from the upper half of its range, so that probes of one
# process are at least 0.25 s and at most 2 s apart.
FIRST_PROBE_RANGE_S: Final = 0.5
PROBE_RANGE_LIMIT_S: Final = 2.0


class CallOutcome(Enum):
    """Outcome of a call, as it is counted.

    ``rejected`` is an answer that concerns the call and not the store, such
    as a conflict; ``failed`` is any other status.
    """

    succeeded = 'succeeded'
    rejected = 'rejected'
    failed = 'failed'
    unavailable = 'unavailable'
    limited = 'limited'
    unanswered = 'unanswered'
    outdated = 'outdated'


_UNAVAILABLE: Final = frozenset(
    (CallOutcome.unavailable, CallOutcome.limited, CallOutcome.unanswered)
)
_AVAILABLE: Final = frozenset((CallOutcome.succeeded, CallOutcome.rejected))


class Admission(NamedTuple):
    """Permission for one call; ``admitted_at`` is in monotonic seconds."""

    is_probe: bool
    admitted_at: float


class StoreAvailability:
    """Admits the calls of one process to the store."""

    def __init__(
        self,
        rng: Random,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[Any]] = asyncio.sleep,
    ) -> None:
        """Start with an available store.

        ``now`` returns the monotonic time in seconds.
        """
        self.is_available = True
        self.counts = dict.fromkeys(CallOutcome, 0)
        self._rng = rng
        self._now = now
        self._sleep = sleep
        self._limit_s = PROBE_RANGE_LIMIT_S
        self._backoff = self._make_backoff()
        self._probe_lock = asyncio.Lock()
        self._waits: set[asyncio.Timeout] = set()
        self._is_waiting_allowed = True
        self._succeeded_at = now()
        self._failed_at = 0.0
        self._probe_at = 0.0

    def limit_probe_interval(self, limit_s: float) -> None:
        """Set the longest delay between two probes, in seconds."""
        if limit_s != self._limit_s:
            self._limit_s = limit_s
            self._backoff = self._make_backoff()
            self._probe_at = min(self._probe_at, self._now() + limit_s)

    def count(self, outcome: CallOutcome) -> int:
        """Return the number of calls with an outcome."""
        return self.counts[outcome]

    def end_waits(self) -> None:
        """Admit all waiting and later calls at once."""
        self._is_waiting_allowed = False
        self._wake_waiters()

    @contextlib.asynccontextmanager
    async def admission(self) -> AsyncIterator[Admission]:
        """Wait until a call may be made, and make it in the context.

        There is no limit to the wait while the store is unavailable; callers
        that need one set a timeout. Only a probe holds the lock during its
        call, as other calls may take long.
        """
        is_probe = await self._acquire_probe()
        try:
            yield Admission(is_probe, self._now())
        finally:
            if is_probe:
                self._probe_lock.release()

    def record(
        self,
        admission: Admission,
        outcome: CallOutcome,
        reason: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """Count a call, and note what it shows of the store.

        The failure of a call that was made before the latest success, or of
        one beside the probe, changes nothing: many calls that fail together
        would otherwise delay the first probe. A probe without success is a
        failed one, whatever its answer, so that the next one is delayed.
        """
        self.counts[outcome] += 1
        if outcome in _AVAILABLE:
            self._on_success()
        elif not self.is_available:
            if admission.is_probe:
                self._on_failure(reason, retry_after_s)
        elif (
            outcome in _UNAVAILABLE
            and admission.admitted_at >= self._succeeded_at
        ):
            self._on_failure(reason, retry_after_s)

    @property
    def _is_admitting(self) -> bool:
        return self.is_available or not self._is_waiting_allowed

    async def _acquire_probe(self) -> bool:
        """Wait; return whether the caller has to probe, with the lock held."""
        while not self._is_admitting:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(None) as wait:
                    self._waits.add(wait)
                    try:
                        await self._wait_for_probe()
                    finally:
                        self._waits.discard(wait)
                if not self._is_admitting:
                    return True
                self._probe_lock.release()
        return False

    async def _wait_for_probe(self) -> None:
        """Acquire the lock, and sleep until the probe is due."""
        await self._probe_lock.acquire()
        try:
            await self._sleep(max(0.0, self._probe_at - self._now()))
        except BaseException:
            self._probe_lock.release()
            raise

    def _wake_waiters(self) -> None:
        """End the waits for the lock and for the time of the probe."""
        for wait in self._waits:
            wait.reschedule(0)
        self._waits.clear()

    def _make_backoff(self) -> Backoff:
        first_s = min(FIRST_PROBE_RANGE_S, self._limit_s)
        return Backoff(self._rng, first_s, self._limit_s)

    def _on_success(self) -> None:
        now = self._now()
        self._succeeded_at = now
        if self.is_available:
            return
        self.is_available = True
        self._backoff.reset()
        self._wake_waiters()
        logger.info(
            'store available again',
            extra={'unavailable_s': round(now - self._failed_at, 2)},
        )

    def _on_failure(self, reason: str, retry_after_s: float) -> None:
        now = self._now()
        wait_s = self._backoff.next_s(retry_after_s)
        self._probe_at = now + wait_s
        if not self.is_available:
            return
        self.is_available = False
        self._failed_at = now
        logger.warning(
            'store unavailable',
            extra={'reason': reason, 'next_probe_s': round(wait_s, 2)},
        )
