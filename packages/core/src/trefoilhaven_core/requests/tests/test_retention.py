"""Tests of a change of the retention by a new configuration."""

from trefoilhaven_core.requests.decisions import (
    Conclude,
    KeyOwnership,
    Outcome,
    Request,
    RunHere,
)
from trefoilhaven_core.requests.records import RequestTable

_OWNER = KeyOwnership(is_owner=True, lease_valid=True, horizon=0)
_DAY_S = 86_400.0


class TestRetention:
    """Request records after a change of the retention."""

    def test_longer_retention(self) -> None:
        """Guards against a second run of a key whose record was dropped.

        Under a longer retention, the key would no longer count as expired,
        although its record was dropped under the shorter one.
        """
        table = RequestTable('collect', 'collect-1', 1)
        table.set_retention(60)
        req = Request('collect', 'drop-off-17', 1, _DAY_S)
        assert isinstance(
            table.on_decide(0, _DAY_S, req, _OWNER),
            RunHere,
        )
        table.on_started(req.key, lease_valid=True)
        table.on_finished(req.key, b'credited')
        table.tick(300, _DAY_S + 300)
        assert not len(table)
        table.set_retention(3600)
        again = table.on_decide(300, _DAY_S + 300, req, _OWNER)
        assert isinstance(again, Conclude)
        assert again.outcome == Outcome.unknown
