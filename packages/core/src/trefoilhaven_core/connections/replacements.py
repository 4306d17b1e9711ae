"""Targets that a later target of the same host has replaced.

An agent represents one target only. After a loss of power each host runs a
target of another name, and nobody announces the end of the earlier one.
"""

from collections.abc import Iterable

from trefoilhaven_core.connections.target_states import TargetState
from trefoilhaven_core.membership.messages import MemberState


class HostTable:
    """The target of each host whose agent has reported last.

    A target replaces those of its host with a lower incarnation. One that
    reports again is present, whatever its incarnation: the clock of its host
    may have been set back.
    """

    def __init__(self) -> None:
        """Start before the first report."""
        self._latest: dict[str, TargetState] = {}

    def on_added(self, target: TargetState) -> None:
        """Mark a target that was added as replaced, if it is."""
        latest = self._latest.get(target.member.host)
        if latest is not None and latest.member.state < MemberState.left:
            target.is_replaced = _replaces(latest, target)

    def on_report(
        self, target: TargetState, targets: Iterable[TargetState]
    ) -> bool:
        """Mark the targets that one which has reported replaces.

        ``targets`` are all known ones. Returns whether anything changed.
        """
        host = target.member.host
        is_changed = target.is_replaced
        target.is_replaced = False
        if self._latest.get(host) is target:
            return is_changed
        self._latest[host] = target
        for known in targets:
            if known.is_present and _replaces(target, known):
                known.is_replaced = True
                is_changed = True
        return is_changed

    def keep(self, hosts: Iterable[str]) -> None:
        """Forget the hosts that are not among ``hosts``."""
        kept = set(hosts)
        self._latest = {
            host: target
            for host, target in self._latest.items()
            if host in kept
        }


def _replaces(later: TargetState, earlier: TargetState) -> bool:
    return (
        later.member.host == earlier.member.host
        and later.member.target != earlier.member.target
        and later.member.incarnation > earlier.member.incarnation
    )
