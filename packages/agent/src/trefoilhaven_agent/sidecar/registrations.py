"""Object of the target in the store of the platform."""

import logging
import random
from collections.abc import Callable
from typing import Any

from trefoilhaven_agent.sidecar.targets import TargetTracker
from trefoilhaven_core.connections.restorations import (
    RegistrationRequest,
    identity_of,
)
from trefoilhaven_core.membership.messages import Member
from trefoilhaven_core.membership.objects import (
    TARGETS_PREFIX,
    member_content,
    read_member,
)
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.registrar import Registrar

logger = logging.getLogger(__name__)


class TargetRegistration:
    """Keeps the object of the target, also that of an earlier agent."""

    def __init__(
        self,
        client: PlatformClient,
        host: str,
        rng: random.Random,
        on_registered: Callable[[], None],
        on_predecessor_left: Callable[[Member], None],
    ) -> None:
        """Create the registration; nothing is written without a target.

        ``on_registered`` is called after the first write of the object, and
        ``on_predecessor_left`` after the deletion of an object that an
        earlier agent wrote, with the record in it.
        """
        self._on_predecessor_left = on_predecessor_left
        self._on_registered = on_registered
        path = f'{TARGETS_PREFIX}{host}'
        self._registrar = Registrar(
            client, path, rng, self._on_first_write, self._on_deleted
        )

    def set_desired(self, member: Member | None) -> None:
        """Set the record to write, or None to delete the object."""
        self._registrar.set_desired(member_content(member) if member else None)

    def on_request(
        self, req: RegistrationRequest, tracker: TargetTracker
    ) -> Member | None:
        """Write the object again, as a balancer asks.

        Returns a record to report when balancers have a wrong one that
        supersedes the record of now.
        """
        member = tracker.member
        if member is None or req.target != identity_of(member):
            return None
        logger.info(
            'registration requested',
            extra={'balancer': req.sender, 'sequence': req.sequence},
        )
        if req.sequence <= member.sequence:
            self._registrar.write_again()
            return None
        renewed = tracker.renew(req.sequence)
        if renewed is not None:
            self.set_desired(renewed)
        return renewed

    async def run(self) -> None:
        """Write the desired record after each change, until cancelled."""
        await self._registrar.run()

    async def write(self) -> bool:
        """Make one attempt; return whether the object is as desired."""
        return await self._registrar.write()

    def _on_first_write(self, replaced: Any) -> None:
        predecessor = None if replaced is None else _read_logged(replaced)
        logger.info(
            'target registered',
            extra={'replaced': predecessor and predecessor.target},
        )
        self._on_registered()

    def _on_deleted(self, content: Any) -> None:
        predecessor = _read_logged(content)
        if predecessor is not None:
            self._on_predecessor_left(predecessor)


def _read_logged(content: Any) -> Member | None:
    """Return the member in an object; log why it cannot be decoded."""
    read = read_member(content)
    if read.is_error():
        logger.warning('malformed object', extra={'reason': read.error.reason})
        return None
    return read.ok
