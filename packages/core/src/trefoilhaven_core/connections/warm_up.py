"""Admission of new connections to a target that is cold or evacuated.

An agent counts the opening segments that it delivers in a sliding window.
While the target is cold, the window holds at most the openings that the
service can handle in a second; while the target's failure domain is evacuated,
no new connection is admitted. See ``docs/design/warm-up.md``.
"""

import math
from collections import OrderedDict
from enum import Enum
from typing import Final, NamedTuple

from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    Segment,
)
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.settings.types import WarmUpLimits

# Length of the window in seconds. The limit applies to any second at the
# target, where openings may arrive closer together than they were sent.
WINDOW_S: Final = 1.1

# A target counts as cold for at least this time, in seconds, after its failure
# domain has returned to service: it may have become cold shortly before.
RESTORED_COLD_S: Final = 2.0

# A heartbeat that is received within this time, in seconds, after the return
# may have been sent before the target became cold.
HEARTBEAT_DELAY_S: Final = 1.0

# Limit of the rates and times in a policy, far above any usual one.
MAX_POLICY_VALUE: Final = 1e6


class RefusalCause(Enum):
    """Why an agent returns the opening segment of a new connection."""

    cold = 'the target is cold'
    evacuated = 'the failure domain is evacuated'


class PolicyUpdate(NamedTuple):
    """What a policy has changed.

    ``is_restored`` means that the target counts as cold from now on, since
    its failure domain has returned to service.
    """

    is_changed: bool = False
    is_restored: bool = False


class WarmUp:
    """Decides which new connections a target gets.

    Times are monotonic, in seconds.
    """

    def __init__(
        self,
        limits: WarmUpLimits | None = None,
        started_at: float = -math.inf,
    ) -> None:
        """Start at the start of the agent; without ``limits`` none apply."""
        self.is_evacuated = False
        self._limits = limits
        self._started_at = started_at
        self._cold_until = -math.inf
        self._next_cold_until = -math.inf
        # Whether any heartbeat since the start of the agent has said so.
        self._was_announced_cold = False
        self._restored_at: float | None = None
        # None before the first policy.
        self._version: int | None = None
        self._evacuations_version: int | None = None
        self._cold_s = 0.0
        self._openings_per_s = 0.0
        # Openings in the window, with the time of their latest delivery.
        self._delivered: OrderedDict[tuple[ConnectionKey, int], float] = (
            OrderedDict()
        )

    @property
    def limit(self) -> int | None:
        """Openings that a cold target gets in a window, None if unlimited."""
        if self._limits is None:
            return None
        overage, slack = self._limits
        return math.floor(self._openings_per_s * overage + slack)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is, or may be, slow after its start.

        That is as long as its heartbeats say so, and after the return of its
        failure domain to service.
        """
        if now < max(self._cold_until, self._next_cold_until):
            return True
        if self._restored_at is None:
            return False
        cold_s = max(RESTORED_COLD_S, self._cold_s)
        return now - self._restored_at < cold_s

    def on_heartbeat(
        self, now: float, cold_s: float, *, is_current: bool = True
    ) -> None:
        """Record the remaining cold time that a heartbeat announces.

        One that is not current may be of the next target of the host, which
        already gets the openings. A late heartbeat of the previous target does
        not end the cold time of the next one.
        """
        cold_until = now + cold_s
        self._was_announced_cold |= cold_s > 0
        if not is_current:
            self._next_cold_until = max(self._next_cold_until, cold_until)
            return
        self._cold_until = cold_until
        restored_at = self._restored_at
        if restored_at is not None and now - restored_at > HEARTBEAT_DELAY_S:
            self._restored_at = None

    def on_policy(self, now: float, policy: TargetPolicy) -> PolicyUpdate:
        """Apply a policy, unless it is older than those applied.

        The rates and the evacuation have separate versions. A policy with
        negative or excessive values is ignored.
        """
        values = (policy.cold_s, policy.cold_openings_per_s)
        if not all(0 <= value <= MAX_POLICY_VALUE for value in values):
            return PolicyUpdate()
        is_changed = False
        if self._version is None or policy.version > self._version:
            is_changed = values != (self._cold_s, self._openings_per_s)
            self._version = policy.version
            self._cold_s = policy.cold_s
            self._openings_per_s = policy.cold_openings_per_s
        known = self._evacuations_version
        if known is not None and policy.evacuations_version <= known:
            return PolicyUpdate(is_changed)
        is_restored = not policy.is_evacuated and (
            self.is_evacuated or self._may_have_missed(now, policy)
        )
        is_changed |= is_restored or policy.is_evacuated != self.is_evacuated
        self._evacuations_version = policy.evacuations_version
        self.is_evacuated = policy.is_evacuated
        if is_restored:
            self._restored_at = now
        return PolicyUpdate(is_changed, is_restored)

    def refusal(
        self, now: float, segment: Segment, *, saw_start: bool
    ) -> RefusalCause | None:
        """Return why an opening segment must not be delivered, if it must not.

        ``saw_start`` means that no earlier agent has served the target.
        """
        self._expire(now)
        if (segment.key, segment.sequence) in self._delivered:
            return None
        if self.is_evacuated:
            return RefusalCause.evacuated
        if self.limit is None or not self._may_be_cold(now, saw_start):
            return None
        # An earlier agent may have delivered as many as are allowed, unless the
        # target became cold after the start of this one.
        is_used_up = (
            self._was_announced_cold
            and not saw_start
            and now - self._started_at < WINDOW_S
        )
        if is_used_up or len(self._delivered) >= self.limit:
            return RefusalCause.cold
        return None

    def on_delivered(self, now: float, segment: Segment) -> None:
        """Count an opening segment that is delivered.

        A copy counts once, at its latest delivery: the target may have missed
        the earlier ones.
        """
        if self._limits is None:
            return
        opening = (segment.key, segment.sequence)
        self._delivered[opening] = now
        self._delivered.move_to_end(opening)
        self._expire(now)

    def _may_be_cold(self, now: float, saw_start: bool) -> bool:
        """Return whether the limit applies.

        Without a policy, a new agent does not know whether the failure domain
        has just returned to service. It waits for one for a limited time, as
        balancers of an earlier version send none.
        """
        if self.is_cold(now):
            return True
        is_new = now - self._started_at < RESTORED_COLD_S
        return self._version is None and is_new and not saw_start

    def _may_have_missed(self, now: float, policy: TargetPolicy) -> bool:
        """Return whether the domain may have been evacuated before the start.

        The first evacuations that a new agent learns of may be the ones by
        which its failure domain has just returned to service.
        """
        is_first = not self._evacuations_version
        is_new = now - self._started_at < RESTORED_COLD_S
        return is_first and is_new and policy.evacuations_version > 0

    def _expire(self, now: float) -> None:
        """Remove the openings that were delivered before the window."""
        while self._delivered:
            opening = next(iter(self._delivered))
            if now - self._delivered[opening] < WINDOW_S:
                return
            del self._delivered[opening]
