"""Tests of what a balancer knows of one target."""

from trefoilhaven_core.connections.target_states import (
    MAX_QUERY_GAP_S,
    TargetState,
)
from trefoilhaven_core.connections.tests.support import make_member


def make_target(*queried_at: float) -> TargetState:
    """Return a target whose agent has not answered queries."""
    target = TargetState(make_member('t1'))
    for now in queried_at:
        target.on_query(now)
    return target


class TestUnanswered:
    """Queries that an agent does not answer."""

    def test_repeated(self) -> None:
        """Guards against an agent that is gone and waited for."""
        target = make_target(1, 2, 3, 4, 5)
        assert target.unanswered_s(5.1) == 4

    def test_single(self) -> None:
        """Guards against an agent that counts as gone by a lost datagram."""
        assert not make_target(1).unanswered_s(1.5)

    def test_far_apart(self) -> None:
        """Guards against the same by two datagrams lost at long intervals."""
        late = 2 + MAX_QUERY_GAP_S
        assert not make_target(1, late).unanswered_s(late)

    def test_old(self) -> None:
        """Guards against an agent that came back and was not queried since."""
        target = make_target(1, 2, 3, 4, 5)
        assert not target.unanswered_s(5.1 + MAX_QUERY_GAP_S)

    def test_heard(self) -> None:
        """Guards against queries that count although the agent reports."""
        target = make_target(1, 2, 3, 4)
        target.on_heard(4.1)
        target.on_query(4.2)
        assert not target.unanswered_s(4.3)
