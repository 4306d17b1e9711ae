"""Members that a search queries, and what their agents answered."""

from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.connections.messages import Verdict
from trefoilhaven_core.membership.messages import Address, Member

TargetKey = tuple[str, str]

# Targets named in one log line, which bounds its length.
MAX_NAMED_TARGETS: Final = 8


def target_key(member: Member) -> TargetKey:
    """Return the service and the target of a member."""
    return member.service, member.target


class QueriedMembers:
    """The possible holders of one connection.

    A member is pending until its agent denies the connection. Members whose
    agents seem to have failed are pending only until ``excuse_failed``.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        """Start with members of which no agent has answered."""
        self._members = {target_key(member): member for member in members}
        self._pending = set(self._members)
        self._unsure: set[TargetKey] = set()
        self._failed: set[TargetKey] = set()
        self._former_addresses: set[tuple[TargetKey, Address]] = set()

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def __contains__(self, key: TargetKey) -> bool:
        """Return whether a target is among the members."""
        return key in self._members

    def add(self, member: Member) -> None:
        """Add a member, unless this incarnation of it is known."""
        key = target_key(member)
        known = self._members.get(key)
        if known is not None:
            if known.incarnation == member.incarnation:
                return
            if known.control != member.control:
                self._former_addresses.add((key, known.control))
        self._members[key] = member
        self._pending.add(key)
        self._unsure.discard(key)

    def add_failed(self, members: Iterable[Member]) -> None:
        """Add members whose agents seem to have failed."""
        for member in members:
            key = target_key(member)
            if key not in self._members:
                self._failed.add(key)
                self.add(member)

    def note_failed(self, members: Iterable[Member]) -> None:
        """Record that the agents of pending members seem to have failed."""
        self._failed.update(map(target_key, members))

    def excuse_failed(self) -> None:
        """Take the failed agents that have not answered for absent."""
        self._pending -= self._failed - self._unsure

    def on_verdict(
        self, key: TargetKey, verdict: Verdict, agent: Address | None
    ) -> Member | None:
        """Record an agent's answer; return the member if it is the holder.

        The answer is ignored if the target has restarted elsewhere since
        and ``agent`` is its former one.
        """
        member = self._members.get(key)
        if member is None or (key, agent) in self._former_addresses:
            return None
        if verdict is Verdict.held:
            return member
        if verdict is Verdict.unsure:
            self._pending.add(key)
            self._unsure.add(key)
        else:
            self._pending.discard(key)
            self._unsure.discard(key)
        return None

    def unanswered(self) -> list[Member]:
        """Return the members whose agents have not answered."""
        return [
            member
            for key, member in self._members.items()
            if key in self._pending and key not in self._unsure
        ]

    def unsure(self) -> list[Member]:
        """Return the members whose agents are unsure."""
        return [self._members[key] for key in sorted(self._unsure)]

    def are_answered(self) -> bool:
        """Return whether all agents have answered."""
        return self._pending == self._unsure

    def are_absent(self) -> bool:
        """Return whether none of the members is the holder."""
        return bool(self._members) and not self._pending

    def summary_text(self) -> str:
        """Return how many members were asked and which failed, as log text."""
        failed = sorted(target for _, target in self._failed)
        summary = f'{len(self)} targets asked, {len(failed)} gone'
        named = ','.join(failed[:MAX_NAMED_TARGETS])
        return f'{summary}: {named}' if failed else summary

    def pending_text(self) -> str:
        """Return the members without a definite answer, as log text."""
        return ','.join(
            f'{key[1]}:{"unsure" if key in self._unsure else "silent"}'
            for key in sorted(self._pending)
        )
