"""What a platform's adapter provides to the processes of the product.

An adapter translates between a platform and the types below. It decides
nothing and keeps no state of connections, members or configuration.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.connections.messages import ConnectionKey, SegmentCodec
from trefoilhaven_core.connections.routes import RouteConfiguration
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.settings.findings import Findings

# Path of the object that holds the operator's routes.
ROUTES_PREFIX = 'config/'
ROUTES_PATH = 'config/main'


class TargetAnnouncement(NamedTuple):
    """What a target says of itself, in regular heartbeats.

    ``incarnation`` is its start in milliseconds of Unix time. The target
    counts its announcements in ``sequence``; ``cold_s`` is the time in
    seconds for which it remains slow after its start.
    """

    service: str
    target: str
    failure_domain: str
    incarnation: int
    sequence: int
    slots: int
    state: MemberState
    cold_s: float


class TargetDeparture(NamedTuple):
    """A target's last message: it ends now."""

    target: str


AnnouncementHandler = Callable[
    [TargetAnnouncement | TargetDeparture], Awaitable[bool]
]


class PlatformAdapter(ABC):
    """One platform's way of speaking."""

    @property
    @abstractmethod
    def codec(self) -> SegmentCodec:
        """Codec of segments."""

    @abstractmethod
    def client_address(self, key: ConnectionKey) -> Address:
        """Return the address that takes the segments for a client."""

    @abstractmethod
    def make_client(self) -> PlatformClient:
        """Return a client of the platform's store."""

    @abstractmethod
    def read_routes(self, content: Any) -> Result[RouteConfiguration, Findings]:
        """Return the routes of the operator's configuration."""

    @abstractmethod
    async def serve_readiness(self, is_ready: Callable[[], bool]) -> None:
        """Answer the fabric's question whether this process is ready."""

    @abstractmethod
    async def serve_announcements(self, handler: AnnouncementHandler) -> None:
        """Take announcements of the target; acknowledge when it is true."""

    @abstractmethod
    def close(self) -> None:
        """Close the listening sockets."""
