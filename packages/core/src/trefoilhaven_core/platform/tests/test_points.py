"""Tests of the eras of a store."""

import pytest
from trefoilhaven_core.platform.points import (
    MAX_ERA,
    EraTracker,
    StorePoint,
)


class TestStorePoint:
    """Order of points."""

    def test_order(self) -> None:
        """Guards against a reused revision that seems later."""
        assert StorePoint(1, 900) < StorePoint(2, 3) < StorePoint(2, 4)


class TestEraTracker:
    """Eras of the answers to one process."""

    def test_first(self) -> None:
        """Guards against a process that takes its first answer for a rise."""
        eras = EraTracker()
        risen: list[int] = []
        eras.on_rise(risen.append)
        assert eras.observe('', is_success=False) == 0
        assert eras.observe('7', is_success=False) == 7
        assert not risen

    def test_rise(self) -> None:
        """Guards against a rise that is reported twice, or not at all."""
        eras = EraTracker()
        risen: list[int] = []
        eras.on_rise(risen.append)
        for header in ('7', '8', '8', '7', ''):
            eras.observe(header, is_success=True)
        assert risen == [8]
        assert eras.era == 8

    def test_first_header(self) -> None:
        """Guards against a missed rise of a store that had no eras."""
        eras = EraTracker()
        risen: list[int] = []
        eras.on_rise(risen.append)
        eras.observe('', is_success=True)
        eras.observe('1', is_success=True)
        assert risen == [1]

    @pytest.mark.parametrize(
        'header', ['x', '-1', '1.5', '²', str(MAX_ERA + 1), '9' * 5000]
    )
    def test_malformed(self, header: str) -> None:
        """Guards against an era that hides all later answers."""
        eras = EraTracker()
        eras.observe('4', is_success=True)
        assert eras.observe(header, is_success=True) == 4

    def test_end(self) -> None:
        """Guards against handlers of watches that have ended."""
        eras = EraTracker()
        risen: list[int] = []
        end = eras.on_rise(risen.append)
        eras.observe('1', is_success=True)
        end()
        eras.observe('2', is_success=True)
        assert not risen
