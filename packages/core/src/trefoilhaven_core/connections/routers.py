"""Routing of clients' segments by a balancer.

A balancer remembers the connections whose segments it routed recently. This
table is only a cache: any balancer may receive any segment, and one that
does not know the connection searches for the target that holds it.
"""

import random
from typing import Final

from trefoilhaven_core.connections.caches import (
    CachedRoute,
    RouteCache,
    is_current,
)
from trefoilhaven_core.connections.effects import (
    DropCause,
    DropSegment,
    Effect,
    HolderFound,
    ResetCause,
    ResetClient,
    SendMessage,
)
from trefoilhaven_core.connections.holder_search import SEARCH_TIMEOUT_S, Search
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionAccepted,
    ConnectionKey,
    HolderReply,
    ReturnReason,
    RouteQuery,
    RouteReply,
    Segment,
    SegmentForward,
    SegmentReturn,
    TargetReport,
    Verdict,
)
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.messages import Address, Member

# Targets at which an opening segment is tried before it is dropped.
OPENING_TRIES: Final = 4


class ConnectionRouter:
    """Routes the segments that reach one balancer.

    ``is_membership_complete`` means that all targets are known, so that a
    connection which none of them holds may be reset. ``peers`` are the
    other balancers of the failure domain. Times are monotonic, in seconds.
    """

    def __init__(
        self,
        routes: AddressRoutes,
        selector: TargetSelector,
        rng: random.Random,
    ) -> None:
        self.is_membership_complete = False
        self.peers: tuple[Address, ...] = ()
        self._routes = routes
        self._selector = selector
        self._rng = rng
        self._cache = RouteCache()
        self._searches: dict[ConnectionKey, Search] = {}

    def __len__(self) -> int:
        """Return the number of cached connections."""
        return len(self._cache)

    @property
    def searches(self) -> int:
        """Number of searches in progress."""
        return len(self._searches)

    def on_segment(self, now: float, segment: Segment) -> list[Effect]:
        """Route a client's segment, or search for its target."""
        address = segment.key[2:]
        known = self._cache.get(segment.key)
        if not self._routes.holder_services(address):
            return self._on_no_route(segment)
        if known is not None and not is_current(
            self._selector.member(known.service, known.target),
            known.incarnation,
        ):
            self._cache.remove(segment.key)
            known = None
        if segment.is_opening:
            return self._on_opening(now, segment, known)
        if known is not None:
            self._cache.touch(segment.key)
            return [self._forward(known, segment)]
        search = self._searches.get(segment.key)
        if search is not None:
            return search.add(segment)
        return self._search(now, segment, self.peers)

    def on_return(
        self, now: float, returned: SegmentReturn, segment: Segment
    ) -> list[Effect]:
        """Find another target for a segment that an agent returned."""
        key = segment.key
        search = self._searches.get(key)
        if search is not None:
            search.on_verdict(
                now, returned.service, returned.target, Verdict.absent
            )
            return self._conclude(now, search)
        known = self._cache.get(key)
        is_from_known = known is not None and (
            known.target == returned.target or not returned.target
        )
        if segment.is_opening:
            if known is None or known.is_accepted or not is_from_known:
                return []
            return self._place(now, segment, (*known.tried, known.target))
        if returned.reason is ReturnReason.not_held and is_from_known:
            self._cache.remove(key)
        elif known is not None:
            return [self._forward(known, segment)]
        return self._search(now, segment)

    def on_reply(self, now: float, reply: HolderReply) -> list[Effect]:
        """Process an agent's answers about connections."""
        effects: list[Effect] = []
        for answer in reply.answers:
            effects.extend(self._on_answer(now, reply, answer))
        return effects

    def on_route_query(self, query: RouteQuery) -> RouteReply:
        """Return the cached routes for another balancer's query."""
        return self._cache.answer(query)

    def on_route_reply(
        self, now: float, reply: RouteReply, peer: Address
    ) -> list[Effect]:
        """Use the routes of a peer; the agents verify them as any others."""
        effects: list[Effect] = []
        for known in reply.routes:
            search = self._searches.get(known.key)
            member = self._selector.member(known.service, known.target)
            if search is None:
                continue
            if member is None or not is_current(member, known.incarnation):
                effects.extend(search.on_peer_miss(peer))
                continue
            effects.extend(self._settle(now, search, member))
        for key in reply.unknown:
            search = self._searches.get(key)
            if search is not None:
                effects.extend(search.on_peer_miss(peer))
        return effects

    def on_accepted(self, now: float, accepted: ConnectionAccepted) -> None:
        """Record that a target accepted a connection."""
        self._selector.on_accepted(
            now, accepted.service, accepted.target, accepted.load
        )
        route = self._cache.get(accepted.key)
        if route is not None and route.target == accepted.target:
            route.is_accepted = True

    def on_report(self, now: float, report: TargetReport) -> None:
        """Record an agent's periodic report."""
        self._selector.on_report(now, report)

    def tick(self, now: float) -> list[Effect]:
        """Continue all searches; to be called about every 20 ms."""
        self._selector.tick(now)
        effects: list[Effect] = []
        for search in tuple(self._searches.values()):
            effects.extend(search.tick(now))
            effects.extend(self._conclude(now, search))
        return effects

    def _on_answer(
        self, now: float, reply: HolderReply, answer: Answer
    ) -> list[Effect]:
        search = self._searches.get(answer.key)
        if search is None:
            return []
        holder = search.on_verdict(
            now, reply.service, reply.target, answer.verdict
        )
        if holder is None:
            return [*search.tick(now), *self._conclude(now, search)]
        return self._settle(now, search, holder)

    def _settle(
        self, now: float, search: Search, holder: Member
    ) -> list[Effect]:
        """Forward the queued segments of a search to the holder."""
        del self._searches[search.key]
        route = self._cache.add(search.key, holder)
        route.is_accepted = True
        found = HolderFound(
            search.key,
            holder,
            now - search.started_at,
            len(search.segments),
        )
        return [
            found,
            *(self._forward(route, segment) for segment in search.segments),
        ]

    def _on_no_route(self, segment: Segment) -> list[Effect]:
        if segment.is_opening and self._routes.version:
            cause = ResetCause.no_route
            return [ResetClient(segment.key, segment.acknowledged, cause)]
        # The connection may belong to a configuration that this balancer has
        # not received yet, so that it must not be reset.
        return [DropSegment(segment, DropCause.no_route)]

    def _on_opening(
        self, now: float, segment: Segment, known: CachedRoute | None
    ) -> list[Effect]:
        if known is None:
            return self._place(now, segment, ())
        is_retransmission = segment.acknowledged > len(known.tried)
        if is_retransmission and not known.is_accepted:
            tried = (*known.tried, known.target)
            return self._place(now, segment, tried) or [
                self._forward(known, segment)
            ]
        return [self._forward(known, segment)]

    def _place(
        self, now: float, segment: Segment, tried: tuple[str, ...]
    ) -> list[Effect]:
        """Choose a target for a new connection."""
        if len(tried) >= OPENING_TRIES:
            return [DropSegment(segment, DropCause.no_target)]
        address = segment.key[2:]
        services = self._routes.ordered_services(address, self._rng)
        if not services:
            return self._on_no_route(segment)
        chosen = (
            self._selector.choose(now, self._rng, service, tried)
            for service in services
        )
        member = next(filter(None, chosen), None)
        if member is None:
            return [DropSegment(segment, DropCause.no_target)]
        route = self._cache.add(segment.key, member)
        route.tried = tried
        placed = self._selector.placement(now, segment.key, member, tried)
        return [placed, self._forward(route, segment)]

    def _search(
        self,
        now: float,
        segment: Segment,
        peers: tuple[Address, ...] = (),
    ) -> list[Effect]:
        services = self._routes.holder_services(segment.key[2:])
        members = self._selector.possible_holders(now, services)
        fallback = self._selector.possible_holders(
            now, self._selector.services - services
        )
        if not members:
            return [DropSegment(segment, DropCause.no_target)]
        listed = self._selector.members(self._selector.services)
        failed = len(listed) - len(members) - len(fallback)
        search = Search(
            now, segment, members, fallback, self.is_membership_complete, failed
        )
        self._searches[segment.key] = search
        return search.start(peers)

    def _conclude(self, now: float, search: Search) -> list[Effect]:
        effects = search.query_fallback_members(now)
        if effects:
            return effects
        if search.is_absent():
            del self._searches[search.key]
            if search.is_membership_complete:
                return [search.reset()]
        elif now - search.started_at >= SEARCH_TIMEOUT_S:
            del self._searches[search.key]
        else:
            return []
        return search.drops()

    def _forward(self, route: CachedRoute, segment: Segment) -> SendMessage:
        member = self._selector.member(route.service, route.target)
        forward = SegmentForward(
            route.service,
            route.target,
            route.incarnation,
            is_probe=False,
            raw=segment.raw,
        )
        if member is None:
            raise LookupError(f'{route.target} is not a member')
        return SendMessage(member.control, forward)
