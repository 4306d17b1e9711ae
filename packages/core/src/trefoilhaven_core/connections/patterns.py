"""How the clients of an address use their connections.

Some keep a connection for many requests, others open one for each. Where a
connection stays, its target has to bear all requests to come, so that the
number of connections matters more for its place than the load of the
moment.
"""

from typing import Final

# Requests for each opening from which connections count as long ones.
LONG_REQUESTS: Final = 3.0

# Openings after which both counts are halved, so that the latest count most.
HALVED_AT: Final = 200


class ConnectionPattern:
    """Counts openings and requests of one address."""

    __slots__ = ('_openings', '_requests')

    def __init__(self) -> None:
        """Start without either."""
        self._openings = 0.0
        self._requests = 0.0

    @property
    def is_long(self) -> bool:
        """Whether connections carry several requests each."""
        return self._requests >= LONG_REQUESTS * max(1.0, self._openings)

    def on_opening(self) -> None:
        """Count a new connection."""
        self._openings += 1
        if self._openings >= HALVED_AT:
            self._openings /= 2
            self._requests /= 2

    def on_request(self) -> None:
        """Count a client's segment with data.

        A large request is several of them; only the order of size matters.
        """
        self._requests += 1
