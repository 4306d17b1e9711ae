"""What an agent may conclude about the connections of its target.

An agent denies a connection that it does not know only on evidence that no
earlier agent has served its target: a connection to the target's address was
refused while the agent was running, the target is as young as the agent, or
the target refused a segment. A heartbeat that names another target, a missing
record in the store and a low sequence number are no such evidence. See
decision 0012.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections.messages import TargetIdentity
from trefoilhaven_core.timeline.clocks import MS_PER_S

# Time in seconds within which no earlier agent can have loaded its modules,
# or, if it was running, have been killed and replaced by this one.
MIN_PREDECESSOR_S: Final = 0.1


class LoadingTime(NamedTuple):
    """When an agent began to load, and when it had checked its target.

    Both are Unix times in seconds of the host's clock, as a target's start.
    """

    started_at: float
    checked_at: float

    def has_no_predecessor(self, incarnation: int) -> bool:
        """Return whether no earlier agent can have served a target.

        ``incarnation`` is its start as Unix time in milliseconds. After a
        power loss, targets start a few hundredths of a second before their
        agents, which take longer to load.
        """
        started_at = incarnation / MS_PER_S
        earliest = self.started_at - MIN_PREDECESSOR_S
        return earliest <= started_at <= self.checked_at


class TargetEvidence:
    """Whether a target may hold connections that its agent does not know.

    ``saw_start`` means that no earlier agent has served the target, which then
    holds no connection that the agent does not know. Once it is known of one
    target, it holds for all later ones of the host while the agent runs.

    ``is_confirmed`` means that the target was heard for long enough to exclude
    that a late heartbeat named it. Until then, a query under another name may
    be about the living target.
    """

    __slots__ = ('identity', 'is_confirmed', 'loading_time', 'saw_start')

    def __init__(self) -> None:
        """Start without a target, and without knowing whether one runs."""
        self.identity: TargetIdentity | None = None
        self.is_confirmed = False
        self.loading_time: LoadingTime | None = None
        self.saw_start = False

    def on_announced(self, identity: TargetIdentity) -> None:
        """Record the target that announced itself."""
        if identity != self.identity:
            self.is_confirmed = False
        loading_time = self.loading_time
        if loading_time and loading_time.has_no_predecessor(
            identity.incarnation
        ):
            self.saw_start = True
        self.identity = identity

    def on_no_listener(self) -> None:
        """Record that a connection to the target's address was refused."""
        self.identity = None
        self.saw_start = True

    def may_be_named(self, target: str) -> bool:
        """Return whether a name may be that of the agent's target.

        After a target has left, its host may run another one.
        """
        if self.identity is None or not self.is_confirmed:
            return True
        return self.identity.target == target
