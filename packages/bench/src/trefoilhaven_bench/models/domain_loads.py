"""Scenarios of the simulation of several failure domains."""

import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

DOMAINS: Final = ('a', 'b', 'c')

# Time of a usual request at a target of speed 1, in seconds.
SERVICE_S: Final = 0.03

# Targets of all failure domains; each has one slot.
TARGETS: Final = 24

SAME_SPEEDS: Final = (1.0,) * TARGETS
# A quarter of the targets is slow; each failure domain has two of them.
MIXED_SPEEDS: Final = (
    *(1.2,) * (TARGETS - TARGETS // 4),
    *(0.55,) * (TARGETS // 4),
)

# Long requests: their share, and how many times longer they are.
LONG_SHARE: Final = 0.03
LONG_FACTOR: Final = 7.0


class Scenario(NamedTuple):
    """One load of three failure domains, times in seconds.

    ``load`` is relative to the targets' mean rate; ``weights`` divide it among
    the callers' failure domains, from ``change_at_s`` on ``later_weights``.
    From then on, the targets with the numbers ``away`` are gone, and the two
    failure domains ``cut`` do not reach each other. Demand varies by
    ``wave_share`` in ``wave_s``.
    """

    load: float
    away: frozenset[int] = frozenset()
    change_at_s: float = 4.0
    cut: frozenset[str] = frozenset()
    duration_s: float = 14.0
    far_report_s: float = 0.5
    gateways: int = 6
    later_weights: Mapping[str, float] | None = None
    long_share: float = LONG_SHARE
    seed: int = 1
    speeds: tuple[float, ...] = SAME_SPEEDS
    wave_s: float = 0.0
    wave_share: float = 0.0
    weights: Mapping[str, float] = dict.fromkeys(DOMAINS, 1 / len(DOMAINS))

    def rate_per_s(self, now: float, domain: str) -> float:
        """Return the rate of requests of a domain's callers.

        Callers move to other domains evenly within a second.
        """
        weight = self.weights[domain]
        if self.later_weights is not None:
            moved = min(1.0, max(0.0, now - self.change_at_s))
            weight += moved * (self.later_weights[domain] - weight)
        wave = 1.0
        if self.wave_s:
            wave += self.wave_share * math.sin(2 * math.pi * now / self.wave_s)
        return self._whole_rate_per_s() * weight * wave

    def peak_rate_per_s(self, domain: str) -> float:
        """Return an upper limit of ``rate_per_s``."""
        later = self.later_weights or self.weights
        weight = max(self.weights[domain], later[domain])
        return self._whole_rate_per_s() * weight * (1 + self.wave_share)

    def draw_factor(self, rng: random.Random) -> float:
        """Return the work of a request, relative to a usual one."""
        factor = rng.uniform(0.8, 1.2)
        is_long = rng.random() < self.long_share
        return factor * LONG_FACTOR if is_long else factor

    def _whole_rate_per_s(self) -> float:
        mean = 1 + self.long_share * (LONG_FACTOR - 1)
        return self.load * sum(self.speeds) / (SERVICE_S * mean)
