"""Interface of a platform adapter to the processes.

An adapter translates between a platform and the types below. It decides
nothing and keeps no state of connections, members or configuration.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.connections.messages import ConnectionKey, SegmentCodec
from trefoilhaven_core.connections.policies import Policies
from trefoilhaven_core.connections.routes import RouteConfiguration
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.settings.findings import Findings
from trefoilhaven_core.telemetry.metrics import Metrics

# Prefix and path of the object that holds the operator's routes.
ROUTES_PREFIX = 'config/'
ROUTES_PATH = 'config/main'

# Prefix of the objects that evacuate failure domains; their names are those of
# the domains, and their content is empty.
EVACUATIONS_PREFIX = 'evacuations/'


class TargetAnnouncement(NamedTuple):
    """Announcement in which a target describes itself.

    ``incarnation`` is its start as Unix time in milliseconds. The target
    numbers its announcements in ``sequence``; ``cold_s`` is the time in
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
    """Last message of a target, sent when it stops."""

    target: str


AnnouncementHandler = Callable[
    [TargetAnnouncement | TargetDeparture], Awaitable[bool]
]


class PlatformAdapter(ABC):
    """Translates between the protocols of one platform and the core types."""

    @property
    @abstractmethod
    def codec(self) -> SegmentCodec:
        """Codec of the platform's segments."""

    @abstractmethod
    def client_address(self, key: ConnectionKey) -> Address:
        """Return the address to which segments for a client are sent."""

    @abstractmethod
    def make_client(self) -> PlatformClient:
        """Return a client of the platform's object store.

        The clients of one adapter share what they know of the store: its era
        and whether it is available.
        """

    @abstractmethod
    def read_routes(self, content: Any) -> Result[RouteConfiguration, Findings]:
        """Return the routes in the operator's configuration, or findings."""

    @abstractmethod
    def read_policies(self, content: Any) -> Policies:
        """Return the policies in the operator's configuration.

        A route or service without readable policies has none.
        """

    @abstractmethod
    async def serve_readiness(self, is_ready: Callable[[], bool]) -> None:
        """Answer the fabric's readiness checks of this process."""

    @abstractmethod
    async def serve_announcements(self, handler: AnnouncementHandler) -> None:
        """Receive announcements of the target.

        Those for which the handler returns True are acknowledged.
        """

    def register_metrics(self, metrics: Metrics) -> None:  # noqa: B027
        """Export what the adapter counts; it counts nothing by default."""

    @abstractmethod
    def close(self) -> None:
        """Close the listening sockets and the clients' connections."""
