"""Settings and adjustable behaviour of a target."""

from typing import NamedTuple

import xxhash

_SHARE_STEPS = 1_000_000


class TargetSettings(NamedTuple):
    """Settings of a target; addresses are ``ip:port``, times in seconds.

    A ``straggler_share`` of the requests takes ``straggler_factor`` times as
    long. All requests take ``cold_factor`` times as long for ``cold_s`` after
    the start.
    """

    service: str
    name: str
    flow: str
    rpc: str
    control: str
    slots: int = 2
    service_time_s: float = 0.02
    straggler_share: float = 0
    straggler_factor: float = 20
    cold_s: float = 0
    cold_factor: float = 3


class Behaviour(NamedTuple):
    """Behaviour that ``POST /behaviour`` changes.

    ``load_lag_s`` delays the values that ``/load`` returns and
    ``load_factor`` multiplies them. ``/health`` returns ``healthy``
    regardless of the actual state.
    """

    service_time_s: float
    straggler_share: float
    straggler_factor: float
    cold_s: float
    cold_factor: float
    shedding: bool = False
    draining: bool = False
    healthy: bool = True
    load_lag_s: float = 0
    load_factor: float = 1

    def duration(self, key: str, requested_s: float, age_s: float) -> float:
        """Return the service time of a request in seconds.

        Stragglers are chosen by a hash of the key, so that a run with the
        same seed has the same ones.
        """
        base = self.service_time_s if requested_s < 0 else requested_s
        step = xxhash.xxh64_intdigest(key.encode()) % _SHARE_STEPS
        if step < self.straggler_share * _SHARE_STEPS:
            base *= self.straggler_factor
        return base * self.cold_factor if age_s < self.cold_s else base


def initial_behaviour(cfg: TargetSettings) -> Behaviour:
    """Return the behaviour that the settings describe."""
    return Behaviour(
        cfg.service_time_s,
        cfg.straggler_share,
        cfg.straggler_factor,
        cfg.cold_s,
        cfg.cold_factor,
    )
