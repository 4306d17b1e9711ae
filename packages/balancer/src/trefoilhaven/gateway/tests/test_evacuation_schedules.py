"""Random schedules of evacuations at several gateways."""

import random
from collections.abc import Iterable
from unittest import mock

import pytest
from trefoilhaven.gateway.tests.evacuation_fixture import (
    Gateway,
    ScriptedStore,
)
from trefoilhaven_core.connections.evacuations import (
    ERA_HOLD_S,
    EVACUATIONS_NAME,
)
from trefoilhaven_core.membership.messages import (
    ConfigurationNotice,
)


class Fleet:
    """Gateways that see the store and each other's notices late."""

    def __init__(self, seed: int) -> None:
        """Start with five gateways."""
        self.rng = random.Random(seed)
        self.store = ScriptedStore()
        self.store.era = self.rng.randrange(2)
        self.gateways = [Gateway(self.store) for _ in range(5)]
        self.now = 1000.0
        self._pending: list[tuple[int, ConfigurationNotice]] = []
        self._known: list[int] = [0] * len(self.gateways)

    async def poll(self, number: int) -> None:
        """Let one gateway call the store, and list again after a failure."""
        gateway = self.gateways[number]
        if await gateway.poll() is not None:
            gateway.task.evacuations._revision = None  # noqa: SLF001
        self.spread(number)

    def spread(self, number: int) -> None:
        """Queue what a gateway has in force for all others."""
        notice = self.gateways[number].notice()
        if notice.version <= self._known[number]:
            return
        self._known[number] = notice.version
        others = range(len(self.gateways))
        self._pending += [(peer, notice) for peer in others if peer != number]

    def deliver(self, share: float) -> None:
        """Deliver a share of the notices in any order, and lose some."""
        self.rng.shuffle(self._pending)
        count = round(len(self._pending) * share)
        arrived = self._pending[:count]
        self._pending = self._pending[count:]
        for number, notice in arrived:
            if self.rng.random() < 0.2:
                continue
            self.gateways[number].receive(notice)
            self.spread(number)

    def restart(self, number: int) -> None:
        """Replace a gateway by one that fetches a peer's state."""
        peer = self.gateways[number - 1]
        started = Gateway(self.store)
        stored = peer.state.store.configuration(EVACUATIONS_NAME)
        if stored.version:
            started.receive(ConfigurationNotice('g2', *stored))
        self.gateways[number] = started
        self._known[number] = 0

    def change(self) -> None:
        """Let the operator evacuate or take back a domain, or both."""
        domain = self.rng.choice('abcz')
        if domain in self.store.domains:
            self.store.remove(domain)
            if self.rng.random() < 0.3:
                self.store.write(domain)
            return
        self.store.write(domain)
        if self.rng.random() < 0.3:
            self.store.remove(domain)

    def restore(self) -> None:
        """Bring the store back older; the operator writes all again."""
        wanted = set(self.store.domains)
        self.store.restore()
        for domain in sorted(self.store.domains - wanted):
            self.store.remove(domain)
        for domain in sorted(wanted):
            self.store.write(domain)

    async def step(self, *, is_restored: bool) -> None:
        """Let something happen."""
        self.now += self.rng.random()
        kind = self.rng.random()
        if kind < 0.2:
            self.change()
        elif kind < 0.25:
            self.restart(self.rng.randrange(len(self.gateways)))
        elif kind < 0.3:
            self.store.copy()
        elif kind < 0.33 and is_restored:
            self.restore()
        elif kind < 0.4:
            self.store.refuses = not self.store.refuses
        elif kind < 0.7:
            await self.poll(self.rng.randrange(len(self.gateways)))
        else:
            self.deliver(0.5)

    async def settle(self) -> None:
        """Let the store serve until the hold of a new era has ended."""
        self.store.refuses = False
        for _ in range(4):
            for number in range(len(self.gateways)):
                await self.poll(number)
            self.now += ERA_HOLD_S
        self.deliver(1.0)
        for number in range(len(self.gateways)):
            await self.poll(number)

    def digests(self) -> Iterable[int]:
        """Return the versions in force, which digests compare."""
        return (each.state.evacuations.version for each in self.gateways)


class TestSchedules:
    """Random schedules of gateways whose views have different ages."""

    @pytest.mark.parametrize('seed', range(30))
    async def test_converges(self, seed: int) -> None:
        """Guards against gateways that keep different sets, or a wrong one.

        The domains in force never go back to a lower version on the way.
        """
        fleet = Fleet(seed)
        fleet.store.copy()
        with mock.patch(
            'trefoilhaven.gateway.evacuations.monotonic',
            side_effect=lambda: fleet.now,
        ):
            for _ in range(300):
                gateways = list(fleet.gateways)
                before = list(fleet.digests())
                await fleet.step(is_restored=bool(seed % 2))
                for number, gateway in enumerate(gateways):
                    if fleet.gateways[number] is gateway:
                        version = gateway.state.evacuations.version
                        assert version >= before[number]
            await fleet.settle()
        wanted = fleet.store.domains
        assert [each.evacuated for each in fleet.gateways] == [wanted] * 5

    @pytest.mark.parametrize('seed', range(20))
    async def test_new_era(self, seed: int) -> None:
        """Guards against gateways that follow a restored copy at once.

        The copy lacks the evacuation of one domain and shows another that was
        withdrawn. The operator corrects both within 2.5 s of the first
        listing. Gateways call the store at any time, and some restart.
        """
        fleet = Fleet(seed)
        fleet.store.write('old')
        fleet.store.copy()
        fleet.store.remove('old')
        fleet.store.write('new')
        with mock.patch(
            'trefoilhaven.gateway.evacuations.monotonic',
            side_effect=lambda: fleet.now,
        ):
            await fleet.settle()
            fleet.store.restore()
            end = fleet.now + 3 * ERA_HOLD_S
            corrected = fleet.now + fleet.rng.uniform(0, 2.5)
            while fleet.now < end:
                if fleet.now >= corrected:
                    corrected = end
                    fleet.store.remove('old')
                    fleet.store.write('new')
                number = fleet.rng.randrange(len(fleet.gateways))
                if fleet.rng.random() < 0.05:
                    fleet.restart(number)
                await fleet.poll(number)
                fleet.gateways[number].task.evacuations.tick(fleet.now)
                fleet.deliver(0.7)
                fleet.now += fleet.rng.uniform(0, 0.2)
                evacuated = [each.evacuated for each in fleet.gateways]
                assert evacuated == [{'new'}] * len(evacuated)
        eras = {each.state.evacuations.era for each in fleet.gateways}
        assert eras == {fleet.store.era}

    @pytest.mark.parametrize('seed', range(40))
    async def test_partly_corrected(self, seed: int) -> None:
        """Guards against gateways that settle on a partly corrected copy.

        The copy lacks the evacuations of two domains, and the operator
        writes a third one and then these, one after the other and within
        2.5 s of the restart. A gateway may list the store for the first time
        in this era after a peer has distributed a part of that.
        """
        fleet = Fleet(seed)
        fleet.store.copy()
        fleet.store.write('a')
        fleet.store.write('b')
        with mock.patch(
            'trefoilhaven.gateway.evacuations.monotonic',
            side_effect=lambda: fleet.now,
        ):
            await fleet.settle()
            fleet.store.restore()
            restored = fleet.now
            times = sorted(fleet.rng.uniform(0, 2.5) for _ in 'cab')
            corrections = list(zip(times, 'cab', strict=True))
            while fleet.now < restored + 3 * ERA_HOLD_S:
                if corrections and fleet.now >= restored + corrections[0][0]:
                    fleet.store.write(corrections.pop(0)[1])
                number = fleet.rng.randrange(len(fleet.gateways))
                if fleet.rng.random() < 0.05:
                    fleet.restart(number)
                await fleet.poll(number)
                fleet.gateways[number].task.evacuations.tick(fleet.now)
                fleet.deliver(0.7)
                fleet.now += fleet.rng.uniform(0, 0.2)
                for gateway in fleet.gateways:
                    assert {'a', 'b'} <= gateway.evacuated <= {'a', 'b', 'c'}
            await fleet.settle()
        evacuated = [each.evacuated for each in fleet.gateways]
        assert evacuated == [{'a', 'b', 'c'}] * len(evacuated)
