"""All searches of a balancer for the holders of connections."""

from collections.abc import Callable

from trefoilhaven_core.connections.caches import is_current
from trefoilhaven_core.connections.effects import (
    ConfirmMembership,
    DropCause,
    DropSegment,
    Effect,
    UnknownTarget,
)
from trefoilhaven_core.connections.holder_search import SEARCH_TIMEOUT_S, Search
from trefoilhaven_core.connections.messages import (
    Answer,
    ConnectionKey,
    HolderReply,
    KnownRoute,
    RouteReply,
    Segment,
    SegmentReturn,
    Verdict,
)
from trefoilhaven_core.connections.routes import AddressRoutes
from trefoilhaven_core.connections.target_selection import TargetSelector
from trefoilhaven_core.membership.confirmations import MembershipConfirmation
from trefoilhaven_core.membership.messages import Address, Member

# Is called with a search that has found the holder.
SettleFunction = Callable[[float, Search, Member], list[Effect]]


class SearchTable:
    """Searches in progress by connection.

    ``is_membership_complete`` means that a list of all targets was received
    once. A connection that no known target holds is reset only if the peers
    have confirmed the list since the search started: a target may have
    joined later than the list. Times are monotonic, in seconds.
    """

    def __init__(
        self,
        routes: AddressRoutes,
        selector: TargetSelector,
        confirmation: MembershipConfirmation,
        settle: SettleFunction,
    ) -> None:
        """Start without searches; ``settle`` forwards queued segments."""
        self.is_membership_complete = False
        self._confirmation = confirmation
        self._routes = routes
        self._selector = selector
        self._settle = settle
        self._searches: dict[ConnectionKey, Search] = {}

    def __len__(self) -> int:
        """Return the number of searches in progress."""
        return len(self._searches)

    def get(self, key: ConnectionKey) -> Search | None:
        """Return the search for a connection, None if there is none."""
        return self._searches.get(key)

    def start(
        self,
        now: float,
        segment: Segment,
        peers: tuple[Address, ...] = (),
    ) -> list[Effect]:
        """Start a search with its first segment; query ``peers`` first."""
        services = self._routes.holder_services(segment.key[2:])
        members = self._selector.possible_holders(now, services)
        fallback = self._selector.possible_holders(
            now, self._selector.services - services
        )
        if not members:
            return [DropSegment(segment, DropCause.no_target)]
        possible = {*members, *fallback}
        failed = [
            member
            for member in self._selector.members(self._selector.services)
            if member not in possible
        ]
        search = Search(
            now, segment, members, fallback, self.is_membership_complete, failed
        )
        search.members_revision = self._selector.revision
        self._searches[segment.key] = search
        return search.start(peers)

    def on_return(
        self, now: float, search: Search, returned: SegmentReturn
    ) -> list[Effect]:
        """Record that an agent returned a probe, as its target refused it."""
        search.on_verdict(
            now, returned.service, returned.target, Verdict.absent
        )
        return self._conclude(now, search)

    def on_reply(self, now: float, reply: HolderReply) -> list[Effect]:
        """Process an agent's answers about connections."""
        effects: list[Effect] = []
        for answer in reply.answers:
            effects.extend(self._on_answer(now, reply, answer))
        return effects

    def on_route_reply(
        self, now: float, reply: RouteReply, peer: Address
    ) -> list[Effect]:
        """Use the routes of a peer; the agents verify them as any others."""
        effects: list[Effect] = []
        for known in reply.routes:
            effects.extend(self._on_known_route(now, known, peer))
        for key in reply.unknown:
            search = self._searches.get(key)
            if search is not None:
                effects.extend(search.on_peer_miss(peer))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Continue all searches; to be called about every 20 ms."""
        effects: list[Effect] = []
        for search in tuple(self._searches.values()):
            effects.extend(search.tick(now))
            effects.extend(self._conclude(now, search))
        return effects

    def _on_known_route(
        self, now: float, known: KnownRoute, peer: Address
    ) -> list[Effect]:
        search = self._searches.get(known.key)
        if search is None:
            return []
        member = self._selector.member(known.service, known.target)
        if member is not None and is_current(member, known.incarnation):
            return self._found(now, search, member)
        missed = search.on_peer_miss(peer)
        if member is None:
            search.on_unknown_target(known.service, known.target)
            return [UnknownTarget(known, peer), *missed]
        return missed

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
        return self._found(now, search, holder)

    def _found(
        self, now: float, search: Search, holder: Member
    ) -> list[Effect]:
        del self._searches[search.key]
        return self._settle(now, search, holder)

    def _conclude(self, now: float, search: Search) -> list[Effect]:
        """End a search that has an outcome, or continue it."""
        is_absent = search.is_absent()
        if is_absent:
            effects = self._query_more(now, search)
            if effects:
                return effects
        is_complete = search.is_membership_complete
        if is_absent and is_complete:
            if self._may_reset(search):
                del self._searches[search.key]
                return [search.reset()]
        is_over = now - search.started_at >= SEARCH_TIMEOUT_S
        if is_over or (is_absent and not is_complete):
            del self._searches[search.key]
            return search.drops()
        return [ConfirmMembership()] if is_absent else []

    def _may_reset(self, search: Search) -> bool:
        is_confirmed = self._confirmation.is_confirmed(search.started_at)
        return is_confirmed and not search.is_named_target_unknown()

    def _query_more(self, now: float, search: Search) -> list[Effect]:
        """Query the members that a search has not considered yet."""
        if search.members_revision != self._selector.revision:
            search.members_revision = self._selector.revision
            services = self._routes.holder_services(search.key[2:])
            effects = search.add_members(
                now,
                self._selector.possible_holders(now, services),
                self._selector.possible_holders(
                    now, self._selector.services - services
                ),
            )
            if effects:
                return effects
        return search.query_fallback_members(now)
