"""Cache of the connections that a balancer routed recently."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    KnownRoute,
    RouteQuery,
    RouteReply,
)
from trefoilhaven_core.membership.messages import Member, MemberState

# Limit of the cached connections; an entry takes about 400 bytes.
CACHED_CONNECTIONS: Final = 50_000


def is_current(member: Member | None, incarnation: int) -> bool:
    """Return whether a route's incarnation is known and has not left."""
    return (
        member is not None
        and member.incarnation == incarnation
        and member.state < MemberState.left
    )


class CachedRoute:
    """The target to which the segments of one connection are routed.

    ``opening_sequence`` is the sequence number of the opening segment, None
    if this balancer has not placed the connection. ``tried`` names the targets
    at which that segment was tried before, and ``is_unanswered`` tells whether
    one of them left it unanswered and may have accepted it.
    """

    __slots__ = (
        'incarnation',
        'is_accepted',
        'is_unanswered',
        'opening_sequence',
        'service',
        'target',
        'tried',
    )

    def __init__(self, member: Member) -> None:
        """Create a route that the target has not accepted yet."""
        self.incarnation = member.incarnation
        self.is_accepted = False
        self.is_unanswered = False
        self.opening_sequence: int | None = None
        self.service = member.service
        self.target = member.target
        self.tried: tuple[str, ...] = ()


class RouteCache:
    """Least-recently-used cache of the routes of connections."""

    def __init__(self) -> None:
        self._routes: OrderedDict[ConnectionKey, CachedRoute] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached connections."""
        return len(self._routes)

    def get(self, key: ConnectionKey) -> CachedRoute | None:
        """Return the route of a connection, None if it is not cached."""
        return self._routes.get(key)

    def touch(self, key: ConnectionKey) -> None:
        """Mark a cached connection as used most recently."""
        self._routes.move_to_end(key)

    def add(self, key: ConnectionKey, member: Member) -> CachedRoute:
        """Set the route of a connection; evict the oldest entry if full."""
        route = CachedRoute(member)
        self._routes[key] = route
        self._routes.move_to_end(key)
        if len(self._routes) > CACHED_CONNECTIONS:
            self._routes.popitem(last=False)
        return route

    def answer(
        self, query: RouteQuery, is_usable: Callable[[CachedRoute], bool]
    ) -> RouteReply:
        """Answer another balancer's query by the routes that were accepted.

        Routes for which ``is_usable`` is false count as unknown.
        """
        routes = []
        unknown = []
        for key in query.keys:
            route = self._routes.get(key)
            if route is None or not route.is_accepted or not is_usable(route):
                unknown.append(key)
                continue
            known = KnownRoute(
                key, route.service, route.target, route.incarnation
            )
            routes.append(known)
        return RouteReply(tuple(routes), tuple(unknown))

    def remove(self, key: ConnectionKey) -> None:
        """Remove a connection, if it is cached."""
        self._routes.pop(key, None)
