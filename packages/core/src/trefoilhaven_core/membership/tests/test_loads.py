"""Tests of the loads that acknowledgements carry."""

from trefoilhaven_core.membership.loads import MAX_LOAD_AGE_S, LoadTable
from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.membership.tests.support import SERVICE

_TARGETS = [f'desk-{number}' for number in range(7)]


def _make_table() -> LoadTable:
    table = LoadTable('entry-1')
    for number, target in enumerate(_TARGETS):
        table.record(0, SERVICE, target, Load(open_flows=number))
    return table


class TestLoadTable:
    """Loads that a witness sends to an agent."""

    def test_all_siblings_in_turn(self) -> None:
        """Guards against a target whose load is never sent."""
        table = _make_table()
        sent = [
            load.target
            for _ in range(3)
            for load in table.loads(1, SERVICE, 'desk-0', limit=2)
        ]
        assert sorted(sent) == _TARGETS[1:]

    def test_old_loads_are_dropped(self) -> None:
        """Guards against placing work by the outdated load of a target."""
        table = _make_table()
        late = MAX_LOAD_AGE_S + 1
        table.record(late, SERVICE, 'desk-1', Load())
        sent = table.loads(late, SERVICE, 'desk-0', limit=9)
        assert [load.target for load in sent] == ['desk-1']
