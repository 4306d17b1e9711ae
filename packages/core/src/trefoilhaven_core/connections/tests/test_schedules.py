"""Random schedules of balancers, agents, targets and routes that change."""

import os
import random
from functools import partial

import pytest
from trefoilhaven_core.connections.tests.endpoints import Target
from trefoilhaven_core.connections.tests.simulation import SimulatedNetwork

SCHEDULES = int(os.environ.get('TREFOILHAVEN_SCHEDULES', '40'))
CONNECTIONS = 30
END_S = 12.0

# After the last event, repeats and searches settle within this time.
SETTLE_S = 4.0


def build(seed: int) -> SimulatedNetwork:
    """Return a network with open connections."""
    world = SimulatedNetwork(seed)
    for number in range(4):
        world.add_target(f'c{number}')
    for number in range(3):
        world.add_target(f'd{number}', 'collect')
    for number in range(3):
        world.add_balancer(f'b{number}')
    world.run(0.5)
    for number in range(CONNECTIONS):
        world.after(number * 0.02, partial(world.connect, number))
    world.run(2.0)
    return world


def disturb(world: SimulatedNetwork, rng: random.Random) -> None:
    """Do one thing that may happen at any moment."""
    living = [each for each in world.targets.values() if each.is_alive]
    target: Target = rng.choice(living)
    names = sorted(world.balancers)
    event = rng.randrange(7)
    if event == 0:
        world.add_balancer(f'b{rng.randrange(1_000_000)}')
    elif event == 1 and len(names) > 1:
        world.remove_balancer(rng.choice(names))
    elif event in {2, 3}:
        world.restart_agent(target, rng.uniform(0.1, 1.5))
    elif event == 4 and len(living) > 3:
        world.crash(target)
    elif event == 5:
        world.drain(target)
    else:
        services = rng.choice((('certify',), ('certify', 'collect')))
        world.set_services(*services)


def run_schedule(seed: int) -> SimulatedNetwork:
    """Return a network after a random schedule."""
    world = build(seed)
    rng = random.Random(seed)
    for _ in range(rng.randrange(2, 9)):
        world.after(
            rng.uniform(0, END_S - SETTLE_S - 2), lambda: disturb(world, rng)
        )
    world.run(END_S)
    return world


class TestSchedules:
    """What must hold whatever happens and in whatever order."""

    @pytest.mark.parametrize('seed', range(SCHEDULES))
    def test_open_connections_survive(self, seed: int) -> None:
        """Guards against a reset while the target holds the connection."""
        world = run_schedule(seed)
        assert not world.resets

    @pytest.mark.parametrize('seed', range(SCHEDULES))
    def test_holder_is_found(self, seed: int) -> None:
        """Guards against connections that the balancers have lost."""
        world = run_schedule(seed)
        lost = [
            client.key
            for client in world.clients.values()
            if not client.is_over
            and world.holder(client) is not None
            and client.last_answer_at < world.now - SETTLE_S / 2
        ]
        assert not lost

    @pytest.mark.parametrize('seed', range(SCHEDULES))
    def test_strangers_are_left_alone(self, seed: int) -> None:
        """Guards against segments that go to other targets again and again.

        One offer after each restart of an agent is how its target is
        asked.
        """
        world = run_schedule(seed)
        held = {
            client.key
            for client in world.clients.values()
            if world.holder(client) is not None
        }
        often = {
            place: count
            for place, count in world.strangers.items()
            if place[0] in held and count > 4
        }
        assert not often

    @pytest.mark.parametrize('seed', range(SCHEDULES))
    def test_dead_connections_are_reset(self, seed: int) -> None:
        """Guards against clients that wait for a target that has ended."""
        world = run_schedule(seed)
        waiting = [
            client.key
            for client in world.clients.values()
            if client.first is not None
            and not client.is_over
            and world.holder(client) is None
        ]
        assert not waiting


class TestBrokenRules:
    """Each rule, broken once, is noticed by the schedules above."""

    def test_reset_without_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A search that leaves out former services resets connections."""
        monkeypatch.setattr(
            'trefoilhaven_core.connections.holder_search.Search'
            '.ask_fallback_members',
            lambda search, now: [],
        )
        world = build(1)
        world.set_services('certify', 'collect')
        for number in range(100, 140):
            world.connect(number)
        world.run(4.0)
        world.set_services('certify')
        # New balancers know the present route only.
        for address in sorted(world.balancers):
            world.remove_balancer(address)
        world.add_balancer('n1')
        world.run(8.0)
        assert world.resets

    def test_reset_with_others(self) -> None:
        """The same schedule with the rule in force breaks nothing."""
        world = build(1)
        world.set_services('certify', 'collect')
        for number in range(100, 140):
            world.connect(number)
        world.run(4.0)
        world.set_services('certify')
        for address in sorted(world.balancers):
            world.remove_balancer(address)
        world.add_balancer('n1')
        world.run(8.0)
        assert not world.resets

    def test_sure_after_restart(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An agent that claims to know all loses what its target holds."""
        monkeypatch.setattr(
            'trefoilhaven_core.connections.connection_tracker'
            '.ConnectionTracker._may_hold',
            lambda held, now, key: False,
        )
        world = build(2)
        for target in world.targets.values():
            world.restart_agent(target, 0.3)
        world.run(6.0)
        assert world.resets
