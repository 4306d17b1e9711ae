"""Helpers that build views, agents and votes for tests."""

from collections.abc import Callable, Collection, Iterable, Mapping

from trefoilhaven_core.membership.leases import LeaseHolder
from trefoilhaven_core.membership.messages import (
    Address,
    FenceVote,
    Member,
    MemberState,
    Registration,
    ServiceView,
)
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import Effect, SendClaim, SendFence
from trefoilhaven_core.ownership.messages import ClaimReply, DirectoryEntry

SERVICE = 'classroom-desk'
BUCKETS = 16
WITNESSES = ('entry-1', 'entry-2', 'entry-3')
WALL = float(1_800_000_000)

_NOWHERE = Address('127.0.0.1', 1)


def member(
    target: str,
    state: MemberState = MemberState.alive,
    incarnation: int = 1,
    sequence: int = 0,
) -> Member:
    """Return a member record."""
    return Member(
        SERVICE,
        target,
        target,
        'tainan-a',
        incarnation,
        sequence,
        state,
        _NOWHERE,
        _NOWHERE,
        _NOWHERE,
        2,
    )


def view(
    states: Mapping[str, MemberState],
    version: int = 1,
    incarnations: Mapping[str, int] | None = None,
) -> ServiceView:
    """Return a view in which all named members are registered."""
    known = incarnations or {}
    return ServiceView(
        SERVICE,
        version,
        tuple(Registration(name, known.get(name, 1)) for name in states),
        tuple(
            member(name, state, known.get(name, 1))
            for name, state in states.items()
        ),
    )


def alive(*names: str) -> ServiceView:
    """Return a view of live members."""
    return view({name: MemberState.alive for name in names})


def make_ownership(
    target: str, incarnation: int = 1, buckets: int = BUCKETS
) -> BucketOwnership:
    """Return the ownership of an agent whose lease never expires."""
    agent = BucketOwnership(SERVICE, target, incarnation, buckets, WITNESSES)
    agent.on_lease(float('inf'))
    return agent


def make_lease(target: str) -> LeaseHolder:
    """Return the lease of a new agent."""
    return LeaseHolder(SERVICE, target, 1, WITNESSES)


def no_items(buckets: Collection[int]) -> Iterable[DirectoryEntry]:
    """Return no items, as an agent without flows does."""
    return ()


def claims_in(effects: Iterable[Effect]) -> list[SendClaim]:
    """Return the claims among some effects."""
    return [effect for effect in effects if isinstance(effect, SendClaim)]


def fences_in(effects: Iterable[Effect]) -> list[SendFence]:
    """Return the fence requests among some effects."""
    return [effect for effect in effects if isinstance(effect, SendFence)]


def exchange(
    agents: Mapping[str, BucketOwnership],
    now: float,
    effects: Iterable[Effect],
    items: Callable[[Collection[int]], Iterable[DirectoryEntry]] = no_items,
) -> list[ClaimReply]:
    """Deliver claims and their replies immediately; return the replies."""
    replies = []
    queue = claims_in(effects)
    while queue:
        target, claim = queue.pop(0)
        if target not in agents:
            continue
        reply = agents[target].on_claim(now, claim, items)
        replies.append(reply)
        back = agents[claim.claimant].on_reply(now, WALL, reply)
        queue.extend(claims_in(back))
    return replies


def vote(
    target: str, witness: str, term: int = 1, agreed: bool = True
) -> FenceVote:
    """Return a witness's vote about the first incarnation of a target."""
    return FenceVote(SERVICE, target, 1, term, witness, agreed, 3)
