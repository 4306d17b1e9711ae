"""Latest load of each target as its heartbeats report it."""

from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Load, TargetLoad

# After this time a load says nothing about the target any more.
MAX_LOAD_AGE_S: Final = 5.0


class _Report(NamedTuple):
    """A load with the time at which it was heard."""

    seen_at: float
    load: Load


class LoadBook:
    """Keeps the latest load of each target of each service."""

    def __init__(self) -> None:
        """Start empty."""
        self._loads: dict[str, dict[str, _Report]] = {}

    def record(self, now: float, service: str, target: str, load: Load) -> None:
        """Note the load that a heartbeat carried."""
        self._loads.setdefault(service, {})[target] = _Report(now, load)

    def loads(self, now: float, service: str) -> tuple[TargetLoad, ...]:
        """Return the loads of a service with their age in seconds."""
        known = self._loads.get(service, {})
        expired = [
            target
            for target, report in known.items()
            if now - report.seen_at > MAX_LOAD_AGE_S
        ]
        for target in expired:
            known.pop(target)
        return tuple(
            TargetLoad(target, report.load, now - report.seen_at)
            for target, report in sorted(known.items())
        )
