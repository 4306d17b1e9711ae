"""Tests of the directory of items held by other agents."""

from trefoilhaven_core.ownership.directories import Directory, exclude_own
from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind


def _entry(
    kind: ItemKind, item: int = 1, holder: str = 't1', attempt: int = 0
) -> DirectoryEntry:
    return DirectoryEntry(0, item, kind, holder, 5, attempt, 100)


class TestDirectory:
    """Merging, losing and expiring entries."""

    def test_lost_holder(self) -> None:
        """Guards against running a key again after its holder restarted.

        First seen with seed 15 of the random schedules with keys.
        """
        directory = Directory()
        directory.put(_entry(ItemKind.flow, item=1))
        directory.put(_entry(ItemKind.running, item=2))
        directory.put(_entry(ItemKind.refused, item=3))
        directory.put(_entry(ItemKind.flow, item=4, holder='t2'))
        directory.mark_holder_lost('t1', 4)
        assert len(directory) == 4
        directory.mark_holder_lost('t1', 5)
        kinds = {entry.item: entry.kind for entry in directory.entries((0,))}
        assert kinds == {
            2: ItemKind.unknown,
            3: ItemKind.refused,
            4: ItemKind.flow,
        }

    def test_own_earlier_records(self) -> None:
        """Guards against a restarted owner that runs its old keys again.

        The records of its earlier incarnation are lost, so reported entries
        must be kept. First seen with seed 6 of the random schedules with
        keys.
        """
        running = _entry(ItemKind.running)
        assert exclude_own([running], 't1', 6) == [running]
        assert not exclude_own([running], 't1', 5)
        assert not exclude_own([_entry(ItemKind.flow)], 't1', 6)

    def test_merge(self) -> None:
        """Guards against an older attempt that replaces a newer one."""
        directory = Directory()
        newer = _entry(ItemKind.running, attempt=2)
        directory.merge(newer, 't1')
        directory.merge(_entry(ItemKind.refused, attempt=1), 't2')
        assert directory.find(0, 1) == newer
        unknown = _entry(ItemKind.unknown, attempt=2)
        directory.merge(unknown, 't2')
        assert directory.find(0, 1) == newer
        done = _entry(ItemKind.done, attempt=2)
        directory.merge(done, 't1')
        assert directory.find(0, 1) == done

    def test_merge_keeps_known(self) -> None:
        """Guards against a late reply that replaces a newer placement.

        First seen with seed 2142 of the random schedules.
        """
        directory = Directory()
        directory.put(_entry(ItemKind.flow))
        older = _entry(ItemKind.flow)._replace(holder_incarnation=4)
        directory.merge(older, 't2')
        directory.merge(_entry(ItemKind.flow, holder='t2'), 't2', True)
        assert directory.find(0, 1) == _entry(ItemKind.flow)

    def test_unconfirmed_entry(self) -> None:
        """Guards against an old entry that overrides the holder's report."""
        directory = Directory()
        directory.merge(_entry(ItemKind.flow), 't3')
        own = _entry(ItemKind.flow, holder='t2')
        directory.merge(own, 't2', keep_known=True)
        assert directory.find(0, 1) == own
        directory.merge(_entry(ItemKind.flow), 't1')
        assert directory.find(0, 1) == own
        directory.mark_unconfirmed((0,))
        directory.merge(_entry(ItemKind.flow), 't1')
        assert directory.find(0, 1) == _entry(ItemKind.flow)

    def test_expiry(self) -> None:
        """Guards against keys that are kept forever, and flows that expire."""
        directory = Directory()
        directory.put(_entry(ItemKind.done, item=1))
        directory.put(_entry(ItemKind.flow, item=2))
        directory.expire(100)
        assert len(directory) == 2
        directory.expire(101)
        assert [entry.item for entry in directory.entries((0,))] == [2]
