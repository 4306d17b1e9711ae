"""Latest load of each target, as reported in its heartbeats."""

from typing import Final, NamedTuple

import xxhash

from trefoilhaven_core.membership.messages import Load, TargetLoad

# An older load is no longer meaningful and is dropped.
MAX_LOAD_AGE_S: Final = 5.0

# Loads in one acknowledgement. With 11 agents, a witness then sends about
# 3 KB/s of acknowledgements, and an agent gets the load of each other target
# of its service about once a second.
LOADS_PER_ACK: Final = 1


class _Report(NamedTuple):
    """A load and the time at which it was received."""

    seen_at: float
    load: Load


class LoadTable:
    """Keeps the latest load of each target of each service."""

    def __init__(self, name: str = '') -> None:
        """Start empty, at the balancer called ``name``.

        The name determines where the round robin over the targets starts,
        so that the witnesses of one agent send it different loads at a time.
        """
        self._loads: dict[str, dict[str, _Report]] = {}
        self._positions: dict[tuple[str, str], int] = {}
        self._start_position = xxhash.xxh64_intdigest(name.encode())

    def record(self, now: float, service: str, target: str, load: Load) -> None:
        """Store the load from a heartbeat."""
        self._loads.setdefault(service, {})[target] = _Report(now, load)

    def loads(
        self,
        now: float,
        service: str,
        requester: str = '',
        limit: int = LOADS_PER_ACK,
    ) -> tuple[TargetLoad, ...]:
        """Return up to ``limit`` loads of targets other than the requester.

        Each load comes with its age. Successive calls go through all targets
        of the service in turn.
        """
        self._expire(now, service)
        reports = self._loads.get(service, {})
        names = sorted(reports.keys() - {requester})
        position = self._positions.get(
            (service, requester), self._start_position
        )
        self._positions[service, requester] = position + 1
        chosen = [
            names[(position * limit + step) % len(names)]
            for step in range(min(limit, len(names)))
        ]
        return tuple(
            TargetLoad(name, reports[name].load, now - reports[name].seen_at)
            for name in chosen
        )

    def _expire(self, now: float, service: str) -> None:
        reports = self._loads.get(service, {})
        expired = [
            target
            for target, report in reports.items()
            if now - report.seen_at > MAX_LOAD_AGE_S
        ]
        for target in expired:
            reports.pop(target)
            self._positions.pop((service, target), None)
