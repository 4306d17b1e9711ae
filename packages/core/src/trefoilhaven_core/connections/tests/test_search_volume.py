"""Tests of the volume of searches after a kill of all processes."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import pytest
from trefoilhaven_core.connections.messages import (
    HolderQuery,
    SegmentForward,
)
from trefoilhaven_core.connections.tests.simulation import SimulatedNetwork
from trefoilhaven_core.membership.messages import Address

TARGETS = 40
BALANCERS = 6
CLIENTS = 60

# Time from the delivery to a target until it receives, in seconds.
USUAL_DELAY_S: Final = 0.0005


class CountingNetwork(SimulatedNetwork):
    """Counts questions and probes; deliveries to targets may be late."""

    def __init__(self, seed: int) -> None:
        """Start with targets that receive at once."""
        super().__init__(seed)
        self.counts: Counter[str] = Counter()
        self.delivery_s = USUAL_DELAY_S

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action; only deliveries have the usual delay."""
        is_delivery = delay_s == USUAL_DELAY_S
        super().after(self.delivery_s if is_delivery else delay_s, action)

    def _message(self, sender: Address, address: Address, message: Any) -> None:
        if isinstance(message, HolderQuery):
            self.counts['questions'] += len(message.questions)
        elif isinstance(message, SegmentForward) and message.is_probe:
            self.counts['probes'] += 1
        super()._message(sender, address, message)


def kill_all(seed: int) -> CountingNetwork:
    """Return a network whose processes were killed while clients send."""
    network = CountingNetwork(seed)
    for number in range(TARGETS):
        network.add_target(f't{number}')
    addresses = [
        network.add_balancer(f'10.0.0.{number}') for number in range(BALANCERS)
    ]
    for number in range(CLIENTS):
        network.connect(number)
    network.run(3.0)
    for address in addresses:
        network.remove_balancer(address)
    for target in network.targets.values():
        network.restart_agent(target, 0.3)
    network.run(3.5)
    network.counts.clear()
    return network


class TestKillOfAll:
    """All agents are unsure, and balancers return one after the other."""

    @pytest.mark.parametrize('seed', range(3))
    def test_balancers_return(self, seed: int) -> None:
        """Guards against a search of all agents at each further balancer.

        Each connection is searched once; later its balancer knows it from
        the others.
        """
        network = kill_all(seed)
        network.add_balancer('10.0.1.0')
        network.run(network.now + 0.7)
        once = CLIENTS * TARGETS
        assert network.counts['questions'] <= 1.1 * once
        assert network.counts['probes'] <= 1.1 * once
        network.counts.clear()
        for number in range(1, BALANCERS):
            network.add_balancer(f'10.0.1.{number}')
            network.run(network.now + 0.7)
        assert network.counts['questions'] <= 0.2 * once
        assert network.counts['probes'] <= 0.1 * once
        assert not network.resets

    @pytest.mark.parametrize('seed', range(3))
    def test_likely_holders(self, seed: int) -> None:
        """Guards against probes of all targets for each connection.

        Most connections are at a target that is preferred for their key, and
        balancers whose caches are lost ask there first.
        """
        network = kill_all(seed)
        network.add_balancer('10.0.1.0')
        network.run(network.now + 0.7)
        all_targets = CLIENTS * TARGETS
        assert network.counts['questions'] <= 0.5 * all_targets
        assert network.counts['probes'] <= 0.5 * all_targets
        assert not network.resets

    @pytest.mark.parametrize('seed', range(3))
    def test_late_refusals(self, seed: int) -> None:
        """Guards against searches that start again, as targets refuse late.

        Agents that take each late refusal for an acceptance cause twice the
        questions.
        """
        network = kill_all(seed)
        network.delivery_s = 0.04
        network.add_balancer('10.0.1.0')
        network.run(network.now + 2.0)
        assert network.counts['questions'] <= 1.4 * CLIENTS * TARGETS
        assert not network.resets
