"""All searches of a balancer for the holders of connections."""

from collections.abc import Callable, Iterable

from trefoilhaven_core.connections.caches import is_current
from trefoilhaven_core.connections.effects import (
    ConfirmMembership,
    DropCause,
    DropSegment,
    Effect,
    QueryMember,
    UnknownTarget,
)
from trefoilhaven_core.connections.holder_search import Search
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
from trefoilhaven_core.connections.preferences import likely_holders
from trefoilhaven_core.connections.queried_members import TargetKey
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
    joined later than the list. Targets that count as failed are asked too.
    Times are monotonic, in seconds.
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
        likely = likely_holders(
            segment.key, members, self._selector.failure_domain
        )
        search = Search(
            now,
            segment,
            members,
            fallback,
            self.is_membership_complete,
            self._selector.revision,
            likely,
        )
        self._searches[segment.key] = search
        return search.start(peers)

    def cancel(self, key: ConnectionKey) -> list[Effect]:
        """End the search for a connection that its client has replaced."""
        search = self._searches.get(key)
        return [] if search is None else self._drop(search)

    def on_return(
        self, now: float, search: Search, returned: SegmentReturn
    ) -> list[Effect]:
        """Record that an agent returned a probe, as its target refused it."""
        key = (returned.service, returned.target)
        search.on_verdict(key, Verdict.absent)
        return self._conclude(now, search)

    def on_reply(
        self, now: float, reply: HolderReply, agent: Address
    ) -> list[Effect]:
        """Process the answers of the agent at an address."""
        self._selector.on_answer(reply.service, reply.target)
        effects: list[Effect] = []
        target = (reply.service, reply.target)
        for answer in reply.answers:
            effects.extend(self._on_answer(now, target, answer, agent))
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
            queries = search.tick(now)
            if queries and search.is_repeated:
                search.excuse(self._record_queries(now, queries))
                queries += self._query_added(now, search)
                queries += search.query_other_members(now)
            effects.extend(queries)
            effects.extend(self._conclude(now, search))
        return effects

    def on_confirmation(self, now: float) -> list[Effect]:
        """Conclude the searches that wait for a confirmation by peers."""
        effects: list[Effect] = []
        for search in tuple(self._searches.values()):
            if search.is_absent():
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
        self, now: float, target: TargetKey, answer: Answer, agent: Address
    ) -> list[Effect]:
        search = self._searches.get(answer.key)
        if search is None:
            return []
        holder = search.on_verdict(target, answer.verdict, agent)
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
        is_over = search.is_over(now)
        if not search.is_absent():
            return self._drop(search) if is_over else []
        if not search.is_membership_complete:
            return self._query_more(now, search) or self._drop(search)
        effects = self._query_more(now, search)
        if not effects and self._may_reset(now, search):
            del self._searches[search.key]
            return [search.reset()]
        if is_over:
            return self._drop(search)
        return [*effects, ConfirmMembership(search.started_at)]

    def _record_queries(
        self, now: float, effects: Iterable[Effect]
    ) -> list[Member]:
        """Record repeated queries; return the members that are gone."""
        queried = [
            effect.member
            for effect in effects
            if isinstance(effect, QueryMember)
        ]
        for member in queried:
            self._selector.on_query(now, member)
        return [
            member for member in queried if self._selector.is_gone(now, member)
        ]

    def _drop(self, search: Search) -> list[Effect]:
        del self._searches[search.key]
        unconfirmed = self._confirmation.unconfirmed_peers(search.started_at)
        return search.drops(unconfirmed)

    def _may_reset(self, now: float, search: Search) -> bool:
        confirmed_as_of = self._confirmation.confirmed_as_of(
            now,
            is_connected=self._selector.failure_detector.is_connected(now),
        )
        is_confirmed = confirmed_as_of >= search.started_at
        return is_confirmed and not search.is_named_target_unknown()

    def _query_added(self, now: float, search: Search) -> list[Effect]:
        """Query the members that were added since the search read them."""
        if search.members_revision == self._selector.revision:
            return []
        search.members_revision = self._selector.revision
        services = self._routes.holder_services(search.key[2:])
        return search.add_members(
            now,
            self._selector.possible_holders(now, services),
            self._selector.possible_holders(
                now, self._selector.services - services
            ),
        )

    def _query_more(self, now: float, search: Search) -> list[Effect]:
        """Query the members that a search has not considered yet."""
        added = self._query_added(now, search)
        added += search.query_other_members(now)
        if added:
            return added
        effects = search.query_fallback_members(now)
        if effects or search.has_queried_failed:
            return effects
        failed = self._selector.failed_members(now, silent_s=0)
        effects = search.query_failed_members(now, failed)
        self._record_queries(now, effects)
        return effects
