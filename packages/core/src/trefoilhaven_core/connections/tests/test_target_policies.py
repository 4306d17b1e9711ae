"""Tests of what balancers tell agents about evacuations and warm-up."""

from trefoilhaven_core.connections.evacuations import Evacuations
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.pacing import (
    HELLO_BYTES,
    HELLO_BYTES_PER_S,
    MAX_HELLOS_PER_POLICY,
    MAX_PROMPT_POLICIES,
    POLICY_BYTES,
    PROMPT_BYTES_PER_S,
    PROMPT_INTERVAL_S,
    HelloSchedule,
    hello_interval_s,
    hellos_per_policy,
)
from trefoilhaven_core.connections.policies import Policies, ServicePolicy
from trefoilhaven_core.connections.target_policies import (
    PROMPT_BALANCERS,
    PolicyState,
    PromptQueue,
    changed_members,
    is_prompt,
)
from trefoilhaven_core.connections.tests.support import BALANCER, make_member
from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Member,
    MemberState,
)

POLICIES = Policies(7, (), (ServicePolicy('certify', 4.0, 2.5),))
NEAR = make_member('t1')
FAR = make_member('t2', domain='b')
OTHER = make_member('t3', service='collect')


class TestPolicyState:
    """What an agent is told, and which agents a change concerns."""

    def test_policy(self) -> None:
        """Guards against a policy of another service or failure domain."""
        evacuations = Evacuations(0, 9, frozenset({'b'}))
        state = PolicyState(POLICIES, evacuations)
        version = evacuations.version
        assert state.policy_of(NEAR) == TargetPolicy(
            'certify', 'a', 7, 4.0, 2.5, version, is_evacuated=False
        )
        assert state.policy_of(FAR).is_evacuated
        assert state.policy_of(OTHER)[3:5] == (0, 0)

    def test_changed(self) -> None:
        """Guards against datagrams to agents for which nothing changes."""
        before = PolicyState(POLICIES, Evacuations(0, 8))
        evacuations = Evacuations(0, 9, frozenset({'b', 'unknown'}))
        after = PolicyState(POLICIES._replace(version=8), evacuations)
        members = [NEAR, FAR, OTHER]
        assert changed_members(before, after, members) == [FAR]

    def test_changed_warm_up(self) -> None:
        """Guards against agents that keep an old rate of a cold target."""
        services = (ServicePolicy('certify', 4.0, 0.0),)
        after = PolicyState(Policies(8, (), services))
        changed = changed_members(
            PolicyState(POLICIES), after, [NEAR, FAR, OTHER]
        )
        assert changed == [NEAR, FAR]

    def test_unknown(self) -> None:
        """Guards against agents that are told of nothing."""
        assert not PolicyState().is_known


class TestTraffic:
    """Bytes of policies, with hellos and after a change."""

    def test_prompt_balancers(self) -> None:
        """Guards against a change told by all balancers, or by none.

        The balancers of other failure domains do not count, since they may
        be cut off.
        """
        records = [
            BalancerRecord(
                f'g{number}',
                'ab'[number % 2],
                1,
                1,
                MemberState.alive,
                BALANCER,
                BALANCER,
            )
            for number in range(16)
        ]
        for domain in 'ab':
            prompt = [
                record.name
                for record in records
                if record.failure_domain == domain
                and is_prompt(record.name, domain, records)
            ]
            assert len(prompt) == PROMPT_BALANCERS

    def test_budget_of_hellos(self) -> None:
        """Guards against policies that double the traffic of hellos."""
        both = HELLO_BYTES + POLICY_BYTES
        for targets in (61, 12_000):
            interval_s = hello_interval_s(targets, both)
            assert targets * both / interval_s <= HELLO_BYTES_PER_S

    def test_hellos_per_policy(self) -> None:
        """Guards against policies that are rarer than the budget allows."""
        assert hellos_per_policy(10) == 1
        assert hellos_per_policy(61) == MAX_HELLOS_PER_POLICY

    def test_budget_of_further_hellos(self) -> None:
        """Guards against a burst to agents that have not reported."""
        members = [make_member(f't{number}') for number in range(500)]
        schedule = HelloSchedule()
        both = HELLO_BYTES + POLICY_BYTES
        schedule.recipients(0, members, members, both)
        taken = schedule.recipients(1, members, members, both)
        assert 0 < len(taken) * both <= HELLO_BYTES_PER_S

    def test_prompt_queue(self) -> None:
        """Guards against a burst to all agents of a large failure domain."""
        queue = PromptQueue()
        members = [make_member(f't{number}') for number in range(300)]
        queue.add(members)
        told: list[Member] = []
        steps = 0
        while len(told) < len(members):
            now = steps * PROMPT_INTERVAL_S / 2
            taken = queue.take(now)
            assert len(taken) <= MAX_PROMPT_POLICIES
            told += taken
            steps += 1
        assert told == members
        sent_bytes = (len(members) - MAX_PROMPT_POLICIES) * POLICY_BYTES
        assert sent_bytes / now <= PROMPT_BYTES_PER_S

    def test_flapping(self) -> None:
        """Guards against a queue that grows while an operator hesitates."""
        queue = PromptQueue()
        for _ in range(10):
            queue.add([NEAR, FAR])
        assert queue.take(0) == [NEAR, FAR]
        assert not queue.take(PROMPT_INTERVAL_S)
