"""Tests of the choice of the source of the state."""

import random

from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
    State,
)
from trefoilhaven_core.membership.sources import (
    ASK_INTERVAL_S,
    FETCH_TIMEOUT_S,
    MAX_COPIES,
    MAX_OFFERS,
    MAX_RETRY_S,
    Source,
    StateSources,
    agent_sender,
    is_whole,
)


def make_sources() -> StateSources:
    """Return the sources of a balancer that has started."""
    return StateSources('g0', random.Random(1))


def make_address(number: int) -> Address:
    """Return the address of a process."""
    return Address('10.0.0.1', number)


def make_record(number: int) -> BalancerRecord:
    """Return the record of a balancer."""
    address = make_address(number)
    return BalancerRecord(
        f'g{number}', 'a', 1, 1, MemberState.alive, address, address
    )


class TestOrder:
    """Which source is used next."""

    def test_first_copy(self) -> None:
        """Guards against a long start while balancers do not answer.

        After one copy, the list has to become complete.
        """
        sources = make_sources()
        sources.on_offer('g2', make_address(2))
        for number in (1, 3):
            sources.on_offer(agent_sender(f's{number}'), make_address(number))
        found = sources.next_source(0, [])
        assert found == Source(agent_sender('s1'), make_address(1))
        sources.on_copy(found)
        assert sources.next_source(0, []) == Source('g2', make_address(2))

    def test_next_after_failure(self) -> None:
        """Guards against a source that has ended and is tried for ever."""
        sources = make_sources()
        sources.on_offer('g2', make_address(2))
        sources.on_offer('g3', make_address(3))
        first = sources.next_source(0, [])
        assert first is not None
        sources.on_failure(0, first)
        second = sources.next_source(0, [])
        assert second is not None
        assert second != first
        sources.on_failure(0, second)
        assert sources.next_source(0, []) is None

    def test_known_balancers(self) -> None:
        """Guards against a balancer that waits though it knows peers.

        They know the state, but their offers are lost. One that has failed
        is tried again, and less and less often.
        """
        sources = make_sources()
        records = [make_record(0), make_record(1)]
        times = []
        for tick in range(6000):
            source = sources.next_source(tick / 100, records)
            if source is not None:
                assert source.name == 'g1'
                sources.on_failure(tick / 100, source)
                times.append(tick / 100)
        assert times[1] - times[0] < 1
        assert 60 / MAX_RETRY_S < len(times) < 60 / MAX_RETRY_S + 6

    def test_offer_after_failure(self) -> None:
        """Guards against an offer that is ignored for earlier failures.

        The balancer had no state itself when it was asked before.
        """
        sources = make_sources()
        source = Source('g1', make_address(1))
        sources.on_failure(0, source)
        assert sources.timeout_s(source) > FETCH_TIMEOUT_S
        sources.on_offer(*source)
        assert sources.next_source(0.01, []) == source

    def test_copies(self) -> None:
        """Guards against copies that are fetched from all agents."""
        sources = make_sources()
        for number in range(10):
            sources.on_offer(agent_sender(f's{number}'), make_address(number))
        used = []
        source = sources.next_source(0, [])
        while source is not None:
            used.append(source)
            sources.on_copy(source)
            source = sources.next_source(0, [])
        assert len(set(used)) == len(used) == MAX_COPIES
        assert not sources.should_ask(9)


class TestLimits:
    """Limits of offers and questions."""

    def test_questions(self) -> None:
        """Guards against a hello to each of many agents that report."""
        sources = make_sources()
        asked = [sources.should_ask(tick / 1000) for tick in range(1000)]
        assert asked[0]
        assert sum(asked) <= 1 / ASK_INTERVAL_S

    def test_offers(self) -> None:
        """Guards against offers that fill the memory."""
        sources = make_sources()
        for number in range(2 * MAX_OFFERS):
            sources.on_offer(f'g{number}', make_address(number))
        used = 0
        source = sources.next_source(0, [])
        while source is not None:
            sources.on_failure(0, source)
            used += 1
            source = sources.next_source(0, [])
        assert used == MAX_OFFERS

    def test_complete(self) -> None:
        """Guards against fetches by a balancer that knows all targets."""
        sources = make_sources()
        sources.on_offer('g1', make_address(1))
        sources.on_complete()
        sources.on_offer('g2', make_address(2))
        assert sources.next_source(0, [make_record(3)]) is None
        assert not sources.should_ask(0)


class TestIsWhole:
    """Whether a state has all targets."""

    def test_kinds(self) -> None:
        """Guards against an agent's copy that is taken as complete."""
        state = State('g1', (), (make_record(1),), (), ())
        assert is_whole(state)
        assert not is_whole(state._replace(sender=agent_sender('g1')))
