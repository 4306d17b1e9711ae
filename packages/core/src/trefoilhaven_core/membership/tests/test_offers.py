"""Tests of the decision whom to offer the state to."""

import random

import pytest
from trefoilhaven_core.membership.detectors import refute_balancer
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Digest,
    MemberState,
)
from trefoilhaven_core.membership.offers import (
    COMPLETE_SEQUENCE_STEP,
    FIRST_OFFERERS,
    GROUP_DELAY_S,
    MAX_OFFERS,
    MAX_OFFERS_PER_S,
    MAX_SILENT_REPEAT_S,
    OFFER_JITTER_S,
    OfferSchedule,
    offer_rank,
)

TICK_S = 0.05
PEER = 'g0'


def make_balancers(
    count: int,
    incarnation: int = 1,
    state: MemberState = MemberState.alive,
    sequence: int = 1,
) -> list[BalancerRecord]:
    """Return the records of balancers; the first has the given fields."""
    return [
        BalancerRecord(
            f'g{number}',
            'a',
            1 if number else incarnation,
            1 if number else sequence,
            MemberState.alive if number else state,
            Address('10.0.0.1', number),
            Address('10.0.0.1', number),
        )
        for number in range(count)
    ]


def make_schedule(name: str, balancers: list[BalancerRecord]) -> OfferSchedule:
    """Return the schedule of a balancer that has seen the records."""
    schedule = OfferSchedule(name, random.Random(name))
    schedule.observe(0, balancers)
    return schedule


def times_of_offers(
    schedule: OfferSchedule,
    balancers: list[BalancerRecord],
    duration_s: float,
) -> list[float]:
    """Return when offers are sent; the records do not change."""
    times = []
    for tick in range(round(duration_s / TICK_S)):
        now = tick * TICK_S
        schedule.observe(now, balancers)
        times += [now] * len(schedule.due(now, balancers))
    return times


class TestSigns:
    """Signs that a peer needs the state."""

    def test_restart(self) -> None:
        """Guards against a restarted peer that waits for the store."""
        schedule = make_schedule('g1', make_balancers(2))
        restarted = make_balancers(2, incarnation=2)
        times = times_of_offers(schedule, restarted, 1.0)
        assert 0 <= times[0] <= OFFER_JITTER_S + TICK_S

    @pytest.mark.parametrize(
        ('groups', 'is_offered'),
        [((0, 7, 0), True), ((3, 7, 0), False), ((), False)],
    )
    def test_digest(self, groups: tuple[int, ...], is_offered: bool) -> None:
        """Guards against a peer that knows nobody and is taken for known."""
        balancers = make_balancers(2, sequence=2)
        schedule = make_schedule('g1', balancers)
        schedule.on_digest(0, Digest(PEER, 1, groups))
        assert bool(times_of_offers(schedule, balancers, 0.5)) is is_offered

    @pytest.mark.parametrize('state', [MemberState.suspect, MemberState.dead])
    def test_silent(self, state: MemberState) -> None:
        """Guards against a silent peer that is never tried, or too often."""
        schedule = make_schedule('g1', make_balancers(2))
        silent = make_balancers(2, state=state)
        times = times_of_offers(schedule, silent, 100.0)
        assert times[0] <= OFFER_JITTER_S + TICK_S
        gaps = [later - time for time, later in zip(times, times[1:])]
        assert max(gaps) <= MAX_SILENT_REPEAT_S + TICK_S
        assert len(times) <= 100 / MAX_SILENT_REPEAT_S + 4

    def test_unchanged(self) -> None:
        """Guards against offers while nothing has happened."""
        balancers = make_balancers(9)
        schedule = make_schedule('g1', balancers)
        assert not times_of_offers(schedule, balancers, 10)
        left = make_balancers(9, state=MemberState.left)
        assert not times_of_offers(schedule, left, 10)


class TestEnd:
    """The end of the repetition."""

    def test_complete(self) -> None:
        """Guards against offers to a peer that has the state."""
        balancers = make_balancers(2)
        schedule = make_schedule('g1', balancers)
        schedule.on_restarted(0, PEER)
        assert schedule.due(OFFER_JITTER_S, balancers) == [PEER]
        schedule.on_complete(OFFER_JITTER_S, PEER)
        assert not times_of_offers(schedule, balancers, 10)

    def test_announced(self) -> None:
        """Guards against offers of all others to a peer that has the state.

        It has announced this to some of them, which spread it.
        """
        schedule = make_schedule('g1', make_balancers(2))
        schedule.observe(0, make_balancers(2, incarnation=2))
        assert schedule.pending == {PEER}
        sequence = 1 + COMPLETE_SEQUENCE_STEP
        after = make_balancers(2, incarnation=2, sequence=sequence)
        schedule.observe(1, after)
        assert not schedule.pending

    @pytest.mark.parametrize('is_restart_seen', [True, False])
    def test_refuted(self, is_restart_seen: bool) -> None:
        """Guards against a peer without state that gets no more offers.

        It is suspected in its new incarnation, and refutes that. The first
        record that is seen may be its restart or the suspicion.
        """
        schedule = make_schedule('g1', make_balancers(2))
        restarted = make_balancers(2, incarnation=2)
        if is_restart_seen:
            schedule.observe(0, restarted)
        suspected = make_balancers(2, incarnation=2, state=MemberState.suspect)
        schedule.observe(1, suspected)
        refuted = refute_balancer(restarted[0], suspected[0])
        assert refuted is not None
        schedule.observe(2, [refuted, restarted[1]])
        assert schedule.pending == {PEER}
        complete = refuted._replace(
            sequence=refuted.sequence + COMPLETE_SEQUENCE_STEP
        )
        schedule.observe(3, [complete, restarted[1]])
        assert not schedule.pending

    def test_complete_and_silent(self) -> None:
        """Guards against offers at the highest rate to a peer that answers.

        Its record says for a while that it is dead.
        """
        dead = make_balancers(2, state=MemberState.dead)
        schedule = make_schedule('g1', dead)
        for tick in range(100):
            for peer in schedule.due(tick * TICK_S, dead):
                schedule.on_complete(tick * TICK_S, peer)
            schedule.observe(tick * TICK_S, dead)
            assert PEER in schedule.pending
        later = MAX_SILENT_REPEAT_S - TICK_S
        assert not schedule.due(later, dead)

    def test_repeated(self) -> None:
        """Guards against a lost offer that is never repeated.

        A peer that does not process offers gets a limited number.
        """
        schedule = make_schedule('g1', make_balancers(2))
        restarted = make_balancers(2, incarnation=2)
        times = times_of_offers(schedule, restarted, 100.0)
        assert len(times) == MAX_OFFERS
        assert times[1] - times[0] < 1

    def test_second_restart(self) -> None:
        """Guards against a second restart during the offers of the first."""
        balancers = make_balancers(2)
        schedule = make_schedule('g1', balancers)
        schedule.on_restarted(0, PEER)
        schedule.on_complete(0.1, PEER)
        schedule.on_restarted(0.2, PEER)
        assert schedule.due(0.2 + OFFER_JITTER_S, balancers) == [PEER]


class TestLimits:
    """Who offers first, and how often."""

    def test_first_three(self) -> None:
        """Guards against a restarted peer that all others write to."""
        before = make_balancers(27)
        after = make_balancers(27, incarnation=2)
        times = []
        for record in before[1:]:
            schedule = make_schedule(record.name, before)
            times += times_of_offers(schedule, after, GROUP_DELAY_S)
        at_once = [time for time in times if time <= OFFER_JITTER_S + TICK_S]
        assert len(at_once) == FIRST_OFFERERS

    def test_others_follow(self) -> None:
        """Guards against a peer whose first three offerers know nothing."""
        before = make_balancers(27)
        after = make_balancers(27, incarnation=2)
        last = max(
            before[1:], key=lambda each: offer_rank(each.name, PEER, before)
        )
        schedule = make_schedule(last.name, before)
        assert times_of_offers(schedule, after, 30 * GROUP_DELAY_S)

    def test_rate(self) -> None:
        """Guards against a burst of offers when most peers restart."""
        balancers = make_balancers(60)
        schedule = make_schedule('g1', balancers)
        for record in balancers[2:]:
            schedule.on_restarted(0, record.name)
        times = times_of_offers(schedule, balancers, 5.0)
        assert len(times) >= 4 * MAX_OFFERS_PER_S
        for start in times:
            window = [time for time in times if start <= time < start + 0.999]
            assert len(window) <= MAX_OFFERS_PER_S
