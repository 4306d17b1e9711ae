"""State of the target beside an agent, as its heartbeats announce it.

Pure decision code: the caller passes in the time and carries out the
effects that are returned.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import Effect
from trefoilhaven_core.connections.messages import TargetIdentity
from trefoilhaven_core.membership.messages import (
    Address,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.records import mark_left
from trefoilhaven_core.platform.adapters import TargetAnnouncement

# A heartbeat of another target, or of another start of the same one, counts
# only if the current target was not heard for this time, in seconds: it may be
# late, or another writer's. Targets send a heartbeat about each second.
REPLACEMENT_SILENCE_S: Final = 3.0


class Location(NamedTuple):
    """Host, failure domain and control address of an agent."""

    host: str
    failure_domain: str
    control: Address


class TargetUpdate(NamedTuple):
    """What a heartbeat, or the end of a target, has changed.

    ``is_current`` is false for a heartbeat that is discarded: a stale one, and
    one of another target or service. ``is_acknowledged`` tells that what it
    announces is in force, or promises nothing. ``left_member`` is the last
    record of a target that has ended, with the state ``left``; it is None when
    the target restarted under the same name. ``effects`` reset the connections
    of a target that has ended, or ask a target whether it still holds them.
    """

    is_current: bool
    is_acknowledged: bool = True
    is_changed: bool = False
    left_member: Member | None = None
    effects: tuple[Effect, ...] = ()


class TargetTracker:
    """Keeps the member record of the target beside an agent."""

    def __init__(
        self,
        service: str,
        location: Location,
        connections: ConnectionTracker,
    ) -> None:
        """Start without a target."""
        self.member: Member | None = None
        self._service = service
        self._location = location
        self._connections = connections
        self._announced_incarnation = 0
        self._heard_at = 0.0
        self._only_heard_since = 0.0
        self._sequence = 0

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is still warming up after its start."""
        return self._connections.warm_up.is_cold(now)

    def silent_s(self, now: float) -> float:
        """Return the seconds since the last heartbeat, 0 without a target."""
        return now - self._heard_at if self.member else 0.0

    def on_announcement(
        self, now: float, announcement: TargetAnnouncement
    ) -> TargetUpdate:
        """Process a heartbeat.

        The announced state is in force when this returns, unless the result
        says that the heartbeat is not to be acknowledged.
        """
        if announcement.service != self._service:
            return TargetUpdate(is_current=False, is_acknowledged=False)
        member = self.member
        if member is not None and self._is_other(member, announcement):
            if now - self._heard_at < REPLACEMENT_SILENCE_S:
                self._connections.warm_up.on_heartbeat(
                    now, announcement.cold_s, is_current=False
                )
                return self._discard_other(now, announcement)
        elif member is not None and announcement.sequence <= self._sequence:
            return TargetUpdate(is_current=False)
        self._heard_at = now
        self._sequence = announcement.sequence
        self._connections.warm_up.on_heartbeat(now, announcement.cold_s)
        if member is None or self._is_other(member, announcement):
            self._only_heard_since = now
            return self._replace(member, announcement)
        if now - self._only_heard_since >= REPLACEMENT_SILENCE_S:
            self._connections.evidence.is_confirmed = True
        if member.state == announcement.state:
            return TargetUpdate(is_current=True)
        self.member = member._replace(
            state=announcement.state,
            sequence=announcement.sequence,
            slots=announcement.slots,
        )
        self._connections.accepts = announcement.state is MemberState.alive
        return TargetUpdate(is_current=True, is_changed=True)

    def renew(self, sequence: int) -> Member | None:
        """Return the record with the number of the latest heartbeat.

        It is None if that number is below ``sequence``, from which on it
        supersedes another record that balancers have of the target.
        """
        if self.member is None or self._sequence < sequence:
            return None
        self.member = self.member._replace(sequence=self._sequence)
        return self.member

    def on_departure(self, target: str) -> bool:
        """Stop new connections to a target that departs.

        Returns whether it is the target of this agent.
        """
        member = self.member
        if member is None or member.target != target:
            return False
        self._connections.accepts = False
        return True

    def on_gone(self) -> TargetUpdate:
        """Remove a target that has ended; its connections are reset."""
        effects = tuple(self._connections.on_target_gone())
        left_member = self.member and mark_left(self.member)
        self.member = None
        return TargetUpdate(
            is_current=True,
            is_changed=True,
            left_member=left_member,
            effects=effects,
        )

    def _discard_other(
        self, now: float, announcement: TargetAnnouncement
    ) -> TargetUpdate:
        """Keep the current target, and ask for its connections.

        If it has restarted, the target refuses the repeated requests, whose
        clients would otherwise wait for their responses.
        """
        self._only_heard_since = now
        self._connections.evidence.is_confirmed = False
        return TargetUpdate(
            is_current=False,
            is_acknowledged=announcement.state is MemberState.alive,
            effects=tuple(self._connections.repeat_requests()),
        )

    def _replace(
        self, member: Member | None, announcement: TargetAnnouncement
    ) -> TargetUpdate:
        left_member = member and mark_left(member)
        incarnation = announcement.incarnation
        if member is not None and member.target == announcement.target:
            # The clock of the host may have been set back between the two
            # starts; the incarnation under one name must not decrease.
            incarnation = max(incarnation, member.incarnation + 1)
            left_member = None
        location = self._location
        self.member = Member(
            self._service,
            announcement.target,
            location.host,
            announcement.failure_domain or location.failure_domain,
            incarnation,
            announcement.sequence,
            announcement.state,
            location.control,
            location.control,
            location.control,
            announcement.slots,
        )
        identity = TargetIdentity(
            self._service, announcement.target, incarnation
        )
        self._connections.set_target(identity, announcement.slots)
        self._connections.accepts = announcement.state is MemberState.alive
        self._announced_incarnation = announcement.incarnation
        return TargetUpdate(
            is_current=True, is_changed=True, left_member=left_member
        )

    def _is_other(
        self, member: Member, announcement: TargetAnnouncement
    ) -> bool:
        return (
            announcement.target != member.target
            or announcement.incarnation != self._announced_incarnation
        )
