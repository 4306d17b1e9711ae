"""Targets after the return of the store from an older copy.

The copy lacks the latest registrations and has objects that were deleted
since. A balancer compares the list of the new era with what it knows. Agents
that have been heard register again; what is neither listed nor heard by any
balancer has gone.
"""

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.connections.messages import TargetIdentity
from trefoilhaven_core.membership.messages import Member, MemberState

# Targets of one query, so that it fits into a datagram.
MAX_QUERY_TARGETS: Final = 16

# A balancer that has heard a smaller share of the targets may itself be cut
# off, and draws no conclusion from silence.
MIN_HEARD_SHARE: Final = 0.5


class RegistrationRequest(NamedTuple):
    """Asks an agent to register its target again, from a balancer.

    The store lacks the object, or balancers have recorded that the target has
    left, although its agent reports it. ``sequence`` is the lowest sequence
    number that supersedes the record of the balancers.
    """

    sender: str
    target: TargetIdentity
    sequence: int


class HeardQuery(NamedTuple):
    """Asks a balancer which targets it has heard within ``within_s``.

    ``sent_at`` is the sender's monotonic time in seconds; replies return it.
    """

    sender: str
    sent_at: float
    within_s: float
    targets: tuple[TargetIdentity, ...]


class HeardReply(NamedTuple):
    """Returns those targets of a query that the sender has heard."""

    sender: str
    sent_at: float
    heard: tuple[TargetIdentity, ...]


class Comparison(NamedTuple):
    """Differences between the list of the store and the known targets.

    ``unregistered`` have been heard but are not listed; ``silent`` are
    neither. ``departed`` are listed, although they have left.
    """

    unregistered: tuple[Member, ...]
    silent: tuple[Member, ...]
    departed: tuple[Member, ...]


def identity_of(member: Member) -> TargetIdentity:
    """Return what identifies one start of a target."""
    return TargetIdentity(member.service, member.target, member.incarnation)


def compare_targets(
    listed: Iterable[Member],
    present: Collection[Member],
    departed: Iterable[Member],
    heard: Collection[TargetIdentity],
) -> Comparison:
    """Compare the listed targets with those that are present or departed.

    The object of a host that has a present target is never taken for one of
    a departed target: the agent of the host replaces it.
    """
    listed_by_name = {(each.service, each.target): each for each in listed}
    hosts = {member.host for member in present}
    unlisted = [
        member
        for member in present
        if not _is_listed(
            member, listed_by_name.get((member.service, member.target))
        )
    ]
    left = {
        (member.service, member.target): member.incarnation
        for member in departed
    }
    return Comparison(
        tuple(each for each in unlisted if identity_of(each) in heard),
        tuple(each for each in unlisted if identity_of(each) not in heard),
        tuple(
            record
            for name, record in listed_by_name.items()
            if name in left
            and record.incarnation <= left[name]
            and record.host not in hosts
        ),
    )


def _is_listed(member: Member, record: Member | None) -> bool:
    return record is not None and record.incarnation >= member.incarnation


def may_conclude(
    present: Collection[Member], heard: Collection[TargetIdentity]
) -> bool:
    """Return whether enough targets are heard to conclude from silence."""
    count = sum(identity_of(member) in heard for member in present)
    return count >= MIN_HEARD_SHARE * len(present)


class HeardPoll:
    """Asks all other balancers whether one of them has heard some targets."""

    def __init__(
        self,
        query: HeardQuery,
        members: Iterable[Member],
        peers: Iterable[str],
    ) -> None:
        """Prepare a poll of the named peers about the members."""
        self.query = query
        self.peers = frozenset(peers)
        self._members = {identity_of(member): member for member in members}
        self._replied: set[str] = set()

    def on_reply(self, reply: HeardReply) -> None:
        """Process a reply; one to another query is ignored."""
        if reply.sent_at != self.query.sent_at:
            return
        if reply.sender in self.peers:
            self._replied.add(reply.sender)
            for heard in reply.heard:
                self._members.pop(heard, None)

    @property
    def is_decided(self) -> bool:
        """Whether more than half of the peers have replied."""
        return 2 * len(self._replied) > len(self.peers) or not self.peers

    @property
    def is_complete(self) -> bool:
        """Whether all peers have replied."""
        return len(self._replied) == len(self.peers)

    def gone(self) -> tuple[Member, ...]:
        """Return the members that no replying balancer has heard."""
        return tuple(self._members.values()) if self.is_decided else ()


def is_contradicted(known: Member | None, reported: Member) -> bool:
    """Return whether a target that counts as left is reported by its agent.

    The record that it has left supersedes the report, until the agent
    reports a later sequence number.
    """
    return (
        known is not None
        and known.incarnation == reported.incarnation
        and known.state is MemberState.left
        and reported.state is MemberState.alive
    )
