"""Connections whose segments passed a balancer lately."""

from collections import OrderedDict
from typing import Final

from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    KnownRoute,
    RouteQuery,
    RouteReply,
)
from trefoilhaven_core.membership.messages import Member, MemberState

# Connections in the cache; an entry takes about 400 bytes.
CACHED_CONNECTIONS: Final = 50_000


def is_current(member: Member | None, incarnation: int) -> bool:
    """Tell whether a target still runs since the start that a route names."""
    return (
        member is not None
        and member.incarnation == incarnation
        and member.state < MemberState.left
    )


class CachedRoute:
    """Where the segments of one connection go.

    ``tried`` names the targets that were tried before this one.
    """

    __slots__ = ('incarnation', 'is_accepted', 'service', 'target', 'tried')

    def __init__(self, member: Member) -> None:
        """Start before the target has accepted the connection."""
        self.incarnation = member.incarnation
        self.is_accepted = False
        self.service = member.service
        self.target = member.target
        self.tried: tuple[str, ...] = ()


class RouteCache:
    """Routes of connections; the one that passed longest ago goes first."""

    def __init__(self) -> None:
        """Start empty."""
        self._routes: OrderedDict[ConnectionKey, CachedRoute] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached connections."""
        return len(self._routes)

    def get(self, key: ConnectionKey) -> CachedRoute | None:
        """Return the route of a connection."""
        return self._routes.get(key)

    def touch(self, key: ConnectionKey) -> None:
        """Note that a segment of a cached connection has passed."""
        self._routes.move_to_end(key)

    def add(self, key: ConnectionKey, member: Member) -> CachedRoute:
        """Replace the route of a connection."""
        route = CachedRoute(member)
        self._routes[key] = route
        self._routes.move_to_end(key)
        if len(self._routes) > CACHED_CONNECTIONS:
            self._routes.popitem(last=False)
        return route

    def answer(self, query: RouteQuery) -> RouteReply:
        """Return the accepted connections of another balancer's query."""
        routes = []
        unknown = []
        for key in query.keys:
            route = self._routes.get(key)
            if route is None or not route.is_accepted:
                unknown.append(key)
                continue
            known = KnownRoute(
                key, route.service, route.target, route.incarnation
            )
            routes.append(known)
        return RouteReply(tuple(routes), tuple(unknown))

    def remove(self, key: ConnectionKey) -> None:
        """Forget a connection, if it is known."""
        self._routes.pop(key, None)
