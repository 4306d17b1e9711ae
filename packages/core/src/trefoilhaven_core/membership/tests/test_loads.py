"""Tests of the loads that acknowledgements carry."""

from trefoilhaven_core.membership.loads import MAX_LOAD_AGE_S, LoadTable
from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.membership.tests.support import SERVICE

_TARGETS = [f'desk-{number}' for number in range(7)]


def _book() -> LoadTable:
    book = LoadTable('entry-1')
    for number, target in enumerate(_TARGETS):
        book.record(0, SERVICE, target, Load(open_flows=number))
    return book


class TestLoadBook:
    """Which loads an agent is told."""

    def test_all_siblings_in_turn(self) -> None:
        """Guards against a sibling whose load never arrives."""
        book = _book()
        told = [
            load.target
            for _ in range(3)
            for load in book.loads(1, SERVICE, 'desk-0', limit=2)
        ]
        assert sorted(told) == _TARGETS[1:]

    def test_old_loads_are_dropped(self) -> None:
        """Guards against placing work by the load of a silent target."""
        book = _book()
        late = MAX_LOAD_AGE_S + 1
        book.record(late, SERVICE, 'desk-1', Load())
        told = book.loads(late, SERVICE, 'desk-0', limit=9)
        assert [load.target for load in told] == ['desk-1']
