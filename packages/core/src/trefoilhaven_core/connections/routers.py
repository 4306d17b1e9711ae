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
from trefoilhaven_core.connections.holder_search import Search
from trefoilhaven_core.connections.messages import (
    ConnectionAccepted,
    HolderReply,
    ReturnReason,
    RouteQuery,
    RouteReply,
    Segment,
    SegmentFlag,
    SegmentForward,
    SegmentReturn,
    TargetReport,
)
from trefoilhaven_core.connections.opening_refusals import OpeningRefusals
from trefoilhaven_core.connections.policies import Policies
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.searches import SearchTable
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.confirmations import (
    MembershipConfirmation,
    Origin,
)
from trefoilhaven_core.membership.messages import Address, Member

# Targets at which an opening segment is tried before it is dropped.
OPENING_TRIES: Final = 4


class ConnectionRouter:
    """Routes the segments that reach one balancer.

    ``peers`` are the other balancers of the failure domain. Times are
    monotonic, in seconds.
    """

    def __init__(
        self,
        routes: AddressRoutes,
        selector: TargetSelector,
        rng: random.Random,
        confirmation: MembershipConfirmation | None = None,
    ) -> None:
        """Start with an empty cache.

        Without ``confirmation``, the list of targets counts as confirmed.
        """
        self.peers: tuple[Address, ...] = ()
        self.searches = SearchTable(
            routes,
            selector,
            confirmation or MembershipConfirmation(Origin('', 0)),
            self._settle,
        )
        self._routes = routes
        self._overload = OpeningRefusals(routes, selector)
        self._selector = selector
        self._rng = rng
        self._cache = RouteCache()

    def __len__(self) -> int:
        """Return the number of cached connections."""
        return len(self._cache)

    def set_policies(self, policies: Policies) -> None:
        """Refuse new connections by these policies in an overload."""
        self._overload.set_policies(policies)

    def on_segment(self, now: float, segment: Segment) -> list[Effect]:
        """Route a client's segment, or search for its target."""
        address = segment.key[2:]
        known = self._cache.get(segment.key)
        if not self._routes.holder_services(address):
            self._cache.remove(segment.key)
            return self._on_no_route(segment)
        if known is not None and not self._is_usable(known, segment):
            self._cache.remove(segment.key)
            known = None
        if segment.is_opening:
            # A search for a former connection of the port would reset the
            # new one.
            dropped = self.searches.cancel(segment.key)
            return [*dropped, *self._on_opening(now, segment, known)]
        if known is not None:
            self._cache.touch(segment.key)
            if segment.flags & SegmentFlag.reset:
                self._cache.remove(segment.key)
            return [self._forward(known, segment)]
        search = self.searches.get(segment.key)
        if search is not None and search.queue.is_same_connection(segment):
            return search.queue.add(segment)
        dropped = self.searches.cancel(segment.key)
        return [*dropped, *self.searches.start(now, segment, self.peers)]

    def on_return(
        self, now: float, returned: SegmentReturn, segment: Segment
    ) -> list[Effect]:
        """Find another target for a segment that an agent returned."""
        key = segment.key
        search = self.searches.get(key)
        if search is not None and not segment.is_opening:
            return self.searches.on_return(now, search, returned)
        known = self._cache.get(key)
        is_from_known = known is not None and (
            known.target == returned.target or not returned.target
        )
        if segment.is_opening:
            if returned.reason is ReturnReason.not_accepted:
                self._selector.on_refused_opening(
                    now, returned.service, returned.target
                )
            if known is None or known.is_accepted or not is_from_known:
                return []
            if known.opening_sequence != segment.sequence:
                return []
            tried = (*known.tried, known.target)
            return self._place(
                now, segment, tried, is_unanswered=known.is_unanswered
            )
        if returned.reason is ReturnReason.not_held and is_from_known:
            self._cache.remove(key)
        elif known is not None:
            return [self._forward(known, segment)]
        return self.searches.start(now, segment)

    def on_reply(
        self, now: float, reply: HolderReply, agent: Address
    ) -> list[Effect]:
        """Process the answers of the agent at an address."""
        return self.searches.on_reply(now, reply, agent)

    def on_route_query(self, query: RouteQuery) -> RouteReply:
        """Return the cached routes for another balancer's query."""
        return self._cache.answer(query, self._is_current)

    def on_route_reply(
        self, now: float, reply: RouteReply, peer: Address
    ) -> list[Effect]:
        """Use the routes of a peer; the agents verify them as any others."""
        return self.searches.on_route_reply(now, reply, peer)

    def on_accepted(self, now: float, accepted: ConnectionAccepted) -> None:
        """Record that a target accepted a connection."""
        self._selector.on_accepted(
            now, accepted.service, accepted.target, accepted.load
        )
        self._selector.on_round_trip(now, accepted)
        route = self._cache.get(accepted.key)
        if route is not None and route.target == accepted.target:
            route.is_accepted = True

    def on_report(self, now: float, report: TargetReport) -> None:
        """Record an agent's periodic report."""
        self._selector.on_report(now, report)

    def tick(self, now: float) -> list[Effect]:
        """Continue all searches; to be called about every 20 ms."""
        self._selector.tick(now)
        return self.searches.tick(now)

    def _is_usable(self, route: CachedRoute, segment: Segment) -> bool:
        """Return whether a segment may go where the connection was placed.

        An opening segment may only if it is a copy of the one that was
        placed. Otherwise the client has reused the port, and the routes and
        targets may have changed since.
        """
        if segment.is_opening and route.opening_sequence != segment.sequence:
            return False
        return self._is_current(route)

    def _is_current(self, route: CachedRoute) -> bool:
        member = self._selector.member(route.service, route.target)
        return is_current(member, route.incarnation)

    def _settle(
        self, now: float, search: Search, holder: Member
    ) -> list[Effect]:
        """Forward the queued segments of a search to the holder."""
        route = self._cache.add(search.key, holder)
        route.is_accepted = True
        found = HolderFound(
            search.key,
            holder,
            now - search.started_at,
            len(search.queue.segments),
        )
        return [
            found,
            *(
                self._forward(route, segment)
                for segment in search.queue.segments
            ),
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
            # Another balancer may have placed a retransmitted one.
            is_unanswered = bool(segment.acknowledged)
            return self._place(now, segment, (), is_unanswered=is_unanswered)
        is_retransmission = segment.acknowledged > len(known.tried)
        if is_retransmission and not known.is_accepted:
            tried = (*known.tried, known.target)
            return self._place(now, segment, tried, is_unanswered=True) or [
                self._forward(known, segment)
            ]
        return [self._forward(known, segment)]

    def _place(
        self,
        now: float,
        segment: Segment,
        tried: tuple[str, ...],
        *,
        is_unanswered: bool,
    ) -> list[Effect]:
        """Choose a target for a new connection.

        ``is_unanswered`` tells whether a target may have accepted it before,
        so that it must not be reset.
        """
        if len(tried) >= OPENING_TRIES:
            # The client's next copy is placed anew.
            self._cache.remove(segment.key)
            return [DropSegment(segment, DropCause.no_target)]
        address = segment.key[2:]
        services = self._routes.ordered_services(address, self._rng)
        if not services:
            return self._on_no_route(segment)
        if not tried and not is_unanswered:
            refused = self._overload.refuse(now, segment, services)
            if refused:
                return refused
        chosen = (
            self._selector.choose(now, self._rng, service, tried, segment.key)
            for service in services
        )
        member = next(filter(None, chosen), None)
        if member is None:
            is_complete = self.searches.is_membership_complete
            is_evacuated = is_complete and self._selector.is_evacuated(services)
            if is_evacuated and not is_unanswered:
                cause = ResetCause.evacuated
                return [ResetClient(segment.key, segment.acknowledged, cause)]
            return [DropSegment(segment, DropCause.no_target)]
        route = self._cache.add(segment.key, member)
        route.is_unanswered = is_unanswered
        route.opening_sequence = segment.sequence
        route.tried = tried
        placed = self._selector.placement(now, segment.key, member, tried)
        return [placed, self._forward(route, segment)]

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
