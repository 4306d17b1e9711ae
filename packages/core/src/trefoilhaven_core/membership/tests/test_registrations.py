"""Tests of the registrations that balancers write to the platform."""

from trefoilhaven_core.membership.messages import MemberState, Registration
from trefoilhaven_core.membership.registrations import (
    RANK_DELAY_S,
    REGISTRATION_RETENTION_S,
    WRITE_TIMEOUT_S,
    RegistrationPlan,
    RegistrationPlanner,
    decode_registrations,
    encode_registrations,
)
from trefoilhaven_core.membership.tests.support import (
    SERVICE,
    WITNESSES,
    make_balancer,
    make_member,
)
from trefoilhaven_core.membership.views import ViewStore


class _Plans:
    """Planners of all balancers over one store."""

    def __init__(self) -> None:
        self.store = ViewStore()
        self.store.merge(balancers=map(make_balancer, WITNESSES))
        self.planners = {
            name: RegistrationPlanner(name, self.store) for name in WITNESSES
        }

    def at(self, now: float) -> dict[str, RegistrationPlan]:
        """Return the plans of all balancers at a time."""
        plans = {
            name: planner.plan(now, SERVICE)
            for name, planner in self.planners.items()
        }
        return {name: plan for name, plan in plans.items() if plan}

    def settle(self, now: float) -> RegistrationPlan:
        """Apply the plan of the only balancer that has one; return it."""
        plans = self.at(now)
        name = _only(plans)
        plan = plans[name]
        self.store.set_registry(
            SERVICE, plan.expected_version + 1, plan.registrations
        )
        self.planners[name].on_answer(SERVICE)
        return plan


def _only(plans: dict[str, RegistrationPlan]) -> str:
    assert len(plans) == 1
    return next(iter(plans))


class TestRegistrationPlanner:
    """Which balancer writes which registrations, and when."""

    def test_one_writer_and_one_batch(self) -> None:
        """Guards against one write per member and per balancer."""
        plans = _Plans()
        plans.store.merge(make_member(f'desk-{each}') for each in range(5))
        assert len(plans.settle(0).registrations) == 5
        assert not plans.at(1)

    def test_next_rank_takes_over(self) -> None:
        """Guards against registrations that wait for a stuck balancer."""
        plans = _Plans()
        plans.store.merge([make_member()])
        first = _only(plans.at(0))
        others = plans.at(RANK_DELAY_S)
        others.pop(first, None)
        assert len(others) == 1

    def test_dead_balancer_has_no_rank(self) -> None:
        """Guards against registrations that wait for a dead balancer."""
        plans = _Plans()
        plans.store.merge([make_member()])
        first = _only(plans.at(0))
        dead = make_balancer(first, state=MemberState.dead)
        plans.store.merge(balancers=[dead])
        plans.planners.pop(first)
        assert len(plans.at(1)) == 1

    def test_lost_answer(self) -> None:
        """Guards against a balancer that never retries a write."""
        plans = _Plans()
        plans.store.merge([make_member()])
        first = _only(plans.at(0))
        assert first not in plans.at(WRITE_TIMEOUT_S - 0.5)
        assert first in plans.at(WRITE_TIMEOUT_S)

    def test_conflict(self) -> None:
        """Guards against overwriting another balancer's registrations."""
        plans = _Plans()
        plans.store.merge([make_member()])
        first = _only(plans.at(0))
        other = Registration('desk-8', 1)
        plans.store.set_registry(SERVICE, 7, [other])
        plans.planners[first].on_answer(SERVICE)
        plan = plans.at(0.5)[first]
        assert plan.expected_version == 7
        assert other in plan.registrations

    def test_removal_after_retention(self) -> None:
        """Guards against early removal and against no removal at all."""
        plans = _Plans()
        plans.store.merge([make_member('desk-1'), make_member('desk-2')])
        plans.settle(0)
        dead = make_member('desk-1', state=MemberState.dead)
        plans.store.merge([dead])
        assert not plans.at(1)
        assert not plans.at(REGISTRATION_RETENTION_S)
        plan = plans.settle(REGISTRATION_RETENTION_S + 1)
        assert plan.registrations == (Registration('desk-2', 1),)

    def test_revived_member_stays(self) -> None:
        """Guards against counting an absence that ended before."""
        plans = _Plans()
        plans.store.merge([make_member()])
        plans.settle(0)
        plans.store.merge([make_member(state=MemberState.dead)])
        plans.at(1)
        plans.store.merge([make_member(sequence=2)])
        plans.at(2)
        plans.store.merge([make_member(sequence=2, state=MemberState.dead)])
        assert not plans.at(REGISTRATION_RETENTION_S + 1)

    def test_newer_incarnation(self) -> None:
        """Guards against a restarted agent that stays unregistered."""
        plans = _Plans()
        plans.store.merge([make_member()])
        plans.settle(0)
        plans.store.merge([make_member(incarnation=2)])
        plan = plans.settle(1)
        assert plan.registrations == (Registration('desk-1', 2),)

    def test_draining_does_not_join(self) -> None:
        """Guards against registering a target that is draining."""
        plans = _Plans()
        plans.store.merge([make_member(state=MemberState.draining)])
        assert not plans.at(0)

    def test_content(self) -> None:
        """Guards against a change of the stored format."""
        entries = (Registration('desk-1', 4),)
        content = encode_registrations(entries)
        assert content == b'{"members":[{"target":"desk-1","incarnation":4}]}'
        assert decode_registrations(content) == entries
