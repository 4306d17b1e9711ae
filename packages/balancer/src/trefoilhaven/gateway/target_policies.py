"""Tells agents about evacuations and the warm-up of their targets."""

import logging
from collections.abc import Iterable, Sequence

from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.pacing import (
    HELLO_BYTES,
    POLICY_BYTES,
    hellos_per_policy,
)
from trefoilhaven_core.connections.target_policies import (
    PolicyState,
    PromptQueue,
    changed_members,
    is_prompt,
)
from trefoilhaven_core.membership.messages import Member
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)


class TargetPolicySender:
    """Sends policies along with hellos, and at once after a change.

    Nothing is sent unless the settings enable evacuations.
    """

    def __init__(self, state: GatewayState, endpoint: DatagramEndpoint) -> None:
        self._state = state
        self._endpoint = endpoint
        self._announced = PolicyState()
        self._queue = PromptQueue()
        # Gateways that start together begin with different agents.
        self._hellos = state.runtime.incarnation

    @property
    def hello_bytes(self) -> int:
        """Mean bytes of a hello with what is sent along."""
        if not self._is_due():
            return HELLO_BYTES
        return HELLO_BYTES + POLICY_BYTES // self._hellos_per_policy()

    def send_with_hello(self, members: Sequence[Member]) -> None:
        """Tell some of the agents that get a hello, in turn."""
        self._hellos += 1
        every = self._hellos_per_policy()
        self.send(members[self._hellos % every :: every])

    def send(self, members: Iterable[Member]) -> None:
        """Tell the agents of members what applies."""
        if not self._is_due():
            return
        current = self._current()
        for member in members:
            self._endpoint.send(current.policy_of(member), member.control)

    def tick(self, now: float) -> None:
        """Tell further agents of a change; to be called every 0.25 s."""
        self.send(self._queue.take(now))

    def on_change(self, now: float) -> None:
        """Tell the agents for which something else applies than before."""
        before = self._announced
        self._announced = self._current()
        cfg = self._state.cfg
        if not is_prompt(
            cfg.name, cfg.failure_domain, self._state.store.balancers
        ):
            return
        members = changed_members(
            before, self._announced, self._state.targets()
        )
        if not members:
            return
        self._queue.add(members)
        self.tick(now)
        logger.info(
            'agents are told of a change',
            extra={
                'agents': len(members),
                'domains': sorted({each.failure_domain for each in members}),
                'evacuations_version': self._announced.evacuations.version,
                'policies_version': self._announced.policies.version,
            },
        )

    def _is_due(self) -> bool:
        return self._state.cfg.evacuations and self._current().is_known

    def _hellos_per_policy(self) -> int:
        return hellos_per_policy(len(self._state.targets()))

    def _current(self) -> PolicyState:
        return PolicyState(self._state.policies, self._state.evacuations)
