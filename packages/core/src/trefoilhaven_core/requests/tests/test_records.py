"""Tests of the individual rules of the request table."""

import math
import tracemalloc
from typing import Final

import pytest

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.requests.answer_cache import MAX_CACHED_ANSWER_BYTES
from trefoilhaven_core.requests.decisions import (
    Conclude,
    Decision,
    Follow,
    KeyOwnership,
    Outcome,
    Reason,
    RelayTo,
    Replay,
    Request,
    RunHere,
    Settled,
)
from trefoilhaven_core.requests.records import RequestTable
from trefoilhaven_core.requests.stores import MAX_RECORDS, StoreLimits
from trefoilhaven_core.routing.tables import (
    BUCKET_COUNT,
    bucket_of,
    hash_item,
)

_WALL: Final = 1_000_000.0
_OWNER: Final = KeyOwnership(is_owner=True, lease_valid=True, horizon=0)
_RUN: Final = RunHere(recorded=True)
_ALL: Final = frozenset(range(BUCKET_COUNT))


def _table(**limits: int) -> RequestTable:
    return RequestTable('collect', 'truck-1', 7, StoreLimits(**limits))


def _request(attempt: int = 1, key: str = 'drop-off') -> Request:
    return Request('collect', key, attempt, _WALL)


def _decide(
    table: RequestTable,
    request: Request,
    ownership: KeyOwnership = _OWNER,
    wall: float = _WALL,
) -> Decision:
    return table.on_decide(0, wall, request, ownership)


def _entry(kind: ItemKind, attempt: int) -> DirectoryEntry:
    key_hash = hash_item('collect', b'drop-off')
    bucket = bucket_of(key_hash)
    return DirectoryEntry(bucket, key_hash, kind, 'truck-2', 9, attempt, _WALL)


def _reason(decision: Decision | Settled) -> str:
    if isinstance(decision, Settled):
        decision = decision.answer
    assert isinstance(decision, Conclude)
    return decision.reason


class TestOwner:
    """Decisions of the leased owner."""

    def test_repeated_request(self) -> None:
        """Guards against a second run or a lost answer of a repeated key."""
        table = _table()
        assert _decide(table, _request()._replace(waiter=3)) == _RUN
        assert _decide(table, _request()._replace(waiter=4)) == Follow(3)
        assert table.on_finished('drop-off', b'ok') == Settled(4, Replay(b'ok'))
        assert _decide(table, _request(2)) == Replay(b'ok')

    def test_refusal_covers_lower_attempts(self) -> None:
        """Guards against a run of an attempt at or below a refused one."""
        table = _table()
        _decide(table, _request(2))
        table.on_refused('drop-off', 2, 'queue is full')
        assert _reason(_decide(table, _request(1))) == Reason.refused
        assert _reason(_decide(table, _request(2))) == Reason.refused
        assert _decide(table, _request(3)) == _RUN
        assert _reason(_decide(table, _request(2))) == Reason.refused

    def test_refusal_covers_followers(self) -> None:
        """Guards against a run of a waiting higher attempt after *not run*."""
        table = _table()
        _decide(table, _request(1))
        _decide(table, _request(2))
        table.on_refused('drop-off', 1, 'queue is full')
        assert _reason(_decide(table, _request(2))) == Reason.refused

    def test_time_limits(self) -> None:
        """Guards against a run of a key whose record may be missing."""
        late = _OWNER._replace(horizon=_WALL + 1)
        decisions = [
            _decide(_table(), _request(), late),
            _decide(_table(), _request(), wall=_WALL - 0.3),
            _decide(_table(), _request(), wall=_WALL + 600.1),
        ]
        assert [_reason(decision) for decision in decisions] == [
            Reason.before_horizon,
            Reason.future,
            Reason.past_retention,
        ]

    @pytest.mark.parametrize(
        'request_',
        [
            _request(0),
            _request()._replace(issued_at=math.nan),
            _request()._replace(issued_at=math.inf),
        ],
    )
    def test_malformed(self, request_: Request) -> None:
        """Guards against a time, such as NaN, that passes the horizon check."""
        decision = _decide(_table(), request_)
        assert _reason(decision) == Reason.malformed
        placed = _table().on_run(0, _WALL, request_, False, 7)
        assert _reason(placed) == Reason.malformed

    def test_retention(self) -> None:
        """Guards against records that are dropped early or never."""
        table = _table()
        _decide(table, _request())
        table.tick(0, _WALL + 700)
        assert len(table) == 1, 'a running record was dropped'
        table.on_finished('drop-off', b'ok')
        table.tick(0, _WALL + 1299)
        assert len(table) == 1, 'a record was dropped early'
        table.tick(0, _WALL + 1311)
        assert not len(table)

    def test_rising_time(self) -> None:
        """Guards against a record dropped before a repeat's time expires.

        Found by schedule 10615: attempt 3 was first sent while attempt 1 was
        open, so its ``issued_at`` rose once attempt 1 was refused, and the
        record was dropped before the later time expired.
        """
        table = _table()
        _decide(table, _request(3), wall=_WALL + 5)
        table.on_handed_off('drop-off', 'truck-2', 9, _OWNER)
        table.on_unreachable('drop-off')
        table.tick(0, _WALL + 604)
        later = _request(3)._replace(issued_at=_WALL + 4.9)
        decision = _decide(table, later, wall=_WALL + 604)
        assert decision == RelayTo('truck-2', 9, 3)

    def test_full_table(self) -> None:
        """Guards against a refusal that the table has no room to store."""
        table = _table(records=1, refusals=1)
        _decide(table, _request(key='first'))
        assert _reason(_decide(table, _request(key='second'))) == (
            Reason.table_full
        )
        third = _decide(table, _request(key='third'))
        assert _reason(third) == Reason.refusals_full
        assert isinstance(third, Conclude)
        assert third.outcome == Outcome.no_verdict
        assert _reason(_decide(table, _request(key='second'))) == Reason.refused

    def test_large_answer(self) -> None:
        """Guards against a replay of an answer too large for the cache."""
        table = _table()
        _decide(table, _request())
        table.on_finished('drop-off', bytes(MAX_CACHED_ANSWER_BYTES + 1))
        assert _reason(_decide(table, _request())) == Reason.not_cached

    def test_memory(self) -> None:
        """Guards against a full table that exceeds 20 MB of memory."""
        table = _table()
        tracemalloc.start()
        for number in range(MAX_RECORDS):
            _decide(table, _request(key=f'key-{number}'))
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert used < 20_000_000


class TestOwnership:
    """Decisions without ownership or lease, or after a transfer."""

    def test_no_verdict(self) -> None:
        """Guards against decisions by an agent that is not the leased owner."""
        for ownership in (
            _OWNER._replace(lease_valid=False),
            _OWNER._replace(is_owner=False),
        ):
            decision = _decide(_table(), _request(), ownership)
            assert _reason(decision) == Reason.not_owner

    def test_start_needs_lease(self) -> None:
        """Guards against a start after a pause longer than the lease."""
        table = _table()
        _decide(table, _request())
        assert not table.on_started('drop-off', lease_valid=False)
        assert table.on_started('drop-off', lease_valid=True)

    def test_single_start(self) -> None:
        """Guards against a second start or a hand-off of a started request."""
        table = _table()
        _decide(table, _request())
        assert table.on_started('drop-off', lease_valid=True)
        assert not table.on_started('drop-off', lease_valid=True)
        assert not table.on_handed_off('drop-off', 'truck-2', 9, _OWNER)

    def test_hand_off_needs_ownership(self) -> None:
        """Guards against a hand-off by an agent that transferred the bucket."""
        table = _table()
        _decide(table, _request())
        former = _OWNER._replace(is_owner=False)
        assert not table.on_handed_off('drop-off', 'truck-2', 9, former)
        assert table.on_handed_off('drop-off', 'truck-2', 9, _OWNER)
        entry = next(table.directory_entries(_ALL))
        assert (entry.holder, entry.holder_incarnation) == ('truck-2', 9)

    def test_listed_elsewhere(self) -> None:
        """Guards against a second run of a key that a sibling holds."""
        ownership = _OWNER._replace(entry=_entry(ItemKind.running, 1))
        table = _table()
        assert _decide(table, _request(2), ownership) == RelayTo(
            'truck-2', 9, 2
        )
        entry = next(table.directory_entries(_ALL))
        assert entry.attempt == 2, 'the next owner would run attempt 2'

    def test_lower_attempt_listed(self) -> None:
        """Guards against a refusal of attempt 2 that covers attempt 3.

        Found by schedule 2505: the holder refused the relayed attempt 2, and
        the owner took attempt 3, which was done, as refused as well.
        """
        ownership = _OWNER._replace(entry=_entry(ItemKind.done, 3))
        decision = _decide(_table(), _request(2), ownership)
        assert decision == RelayTo('truck-2', 9, 3)

    def test_superseded_entry(self) -> None:
        """Guards against an old entry that hides a dropped record.

        Found by schedule 94112: attempt 4 was done and its record dropped,
        and the entry of attempt 1 led to a holder that refused attempt 4.
        """
        ownership = _OWNER._replace(entry=_entry(ItemKind.running, 1))
        decision = _decide(_table(), _request(4), ownership, _WALL + 601)
        assert _reason(decision) == Reason.lost_run

    def test_higher_attempt_listed(self) -> None:
        """Guards against a refusal of an attempt that a lost owner ran.

        The holder of attempt 1 refused it, a lost owner ran attempt 2, and
        an old entry leads to the holder, which would refuse attempt 2 too.
        """
        entry = _entry(ItemKind.running, 1)
        ownership = KeyOwnership(True, True, horizon=_WALL + 1, entry=entry)
        table = _table()
        decision = _decide(table, _request(2), ownership)
        assert _reason(decision) == Reason.lost_run
        assert _decide(table, _request(1), ownership) == RelayTo(
            'truck-2', 9, 1
        )
        follower = _decide(table, _request(2), ownership)
        assert _reason(follower) == Reason.lost_run

    def test_refused_listed(self) -> None:
        """Guards against a transferred refusal that is ignored."""
        ownership = _OWNER._replace(entry=_entry(ItemKind.refused, 2))
        assert _reason(_decide(_table(), _request(2), ownership)) == (
            Reason.refused
        )
        assert _decide(_table(), _request(3), ownership) == _RUN

    def test_refused_before_horizon(self) -> None:
        """Guards against a run of an attempt that a dead owner may have run."""
        entry = _entry(ItemKind.refused, 1)
        ownership = KeyOwnership(True, True, horizon=_WALL + 1, entry=entry)
        decision = _decide(_table(), _request(2), ownership)
        assert _reason(decision) == Reason.before_horizon


class TestPlacement:
    """Decisions about requests that an owner placed or relays."""

    def test_follow_only(self) -> None:
        """Guards against a relayed request that starts as a new one."""
        decision = _table().on_run(0, _WALL, _request(), True, 7)
        assert _reason(decision) == Reason.no_record

    def test_other_incarnation(self) -> None:
        """Guards against a restarted agent that runs a placement again."""
        decision = _table().on_run(0, _WALL, _request(), False, 6)
        assert _reason(decision) == Reason.wrong_incarnation

    def test_refused_placement(self) -> None:
        """Guards against *not run* while another sibling may run it."""
        table = _table()
        assert table.on_run(0, _WALL, _request(), False, 7) == _RUN
        settled = table.on_refused('drop-off', 1, 'queue is full')
        assert _reason(settled) == 'queue is full'
        follower = table.on_run(0, _WALL, _request(), True, 7)
        assert _reason(follower) == Reason.refused_placement
        assert not list(table.directory_entries(_ALL))

    def test_idempotent(self) -> None:
        """Guards against unneeded records of idempotent requests."""
        table = _table()
        request = _request()._replace(idempotent=True)
        decision = table.on_run(0, _WALL, request, False, 0)
        assert decision == RunHere(recorded=False)
        assert not len(table)

    def test_wrong_service(self) -> None:
        """Guards against requests to a service of another agent."""
        request = _request()._replace(service='certify')
        decision = _table().on_run(0, _WALL, request, False, 7)
        assert _reason(decision) == Reason.wrong_service
