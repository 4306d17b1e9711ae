"""Targets that have ended, as a later target of the same host shows.

An agent represents one target only. After a loss of power, each host runs a
target of another name, and nobody announces the end of its predecessor.
"""

from collections.abc import Collection, Iterable

from trefoilhaven_core.membership.messages import Member, MemberState


def mark_left(member: Member) -> Member:
    """Return the record of a target that has ended."""
    return member._replace(state=MemberState.left, sequence=member.sequence + 1)


def replaced_members(
    members: Collection[Member], hosts: Iterable[str]
) -> list[Member]:
    """Return the earlier targets of some hosts, marked as left.

    ``members`` are all records, those of targets that have left included. Of
    two targets of one host, the one with the higher incarnation is the later
    one. Targets of equal incarnation are kept.
    """
    latest = dict.fromkeys(hosts, 0)
    for member in members:
        if member.host in latest:
            incarnation = max(latest[member.host], member.incarnation)
            latest[member.host] = incarnation
    return [
        mark_left(member)
        for member in members
        if member.state < MemberState.left
        and member.incarnation < latest.get(member.host, 0)
    ]
