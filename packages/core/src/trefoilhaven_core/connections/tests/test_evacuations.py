"""Tests of the evacuations that processes exchange."""

from trefoilhaven_core.connections.evacuations import (
    Evacuations,
    decode_evacuations,
    encode_evacuations,
)


class TestVersion:
    """Versions order evacuations across restored stores."""

    def test_later_era_is_higher(self) -> None:
        """Revisions that are given out again must not lose to old ones."""
        before = Evacuations(1, 5_000_000, frozenset({'a'}))
        after = Evacuations(2, 3, frozenset())
        assert before.version < after.version

    def test_later_revision_is_higher(self) -> None:
        assert Evacuations(1, 7).version < Evacuations(1, 8).version


class TestCodec:
    """Evacuations travel as bytes between processes."""

    def test_round_trip(self) -> None:
        evacuations = Evacuations(2, 9, frozenset({'b', 'a'}))
        content = encode_evacuations(evacuations)
        assert decode_evacuations(content) == evacuations

    def test_equal_bytes(self) -> None:
        """The order of a set must not change the digest of the records."""
        first = Evacuations(1, 1, frozenset({'a', 'b', 'c'}))
        second = Evacuations(1, 1, frozenset({'c', 'b', 'a'}))
        assert encode_evacuations(first) == encode_evacuations(second)
