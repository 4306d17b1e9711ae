"""Tests of the stated figures against the baselines of the queue model."""

import pytest

from trefoilhaven_core.admission.baselines import measure
from trefoilhaven_core.admission.scenarios import (
    Pairing,
    crest,
    stragglers,
)

_PRODUCT = Pairing(admission=True, load_aware=True)
_BASELINE = Pairing(admission=False, load_aware=False)


class TestFigures:
    """Figures of the product and of the baselines in the same run."""

    @pytest.mark.parametrize(('targets', 'slots'), [(7, 2), (4, 3)])
    def test_crest(self, targets: int, slots: int) -> None:
        """Guards against lost capacity or late refusals at a crest."""
        row = measure(crest(1, targets, slots), _PRODUCT)
        assert row.goodput >= 0.95
        assert row.refused
        assert row.refusal_p99_s <= 0.05

    @pytest.mark.parametrize(('targets', 'slots'), [(7, 2), (4, 3)])
    def test_stragglers(self, targets: int, slots: int) -> None:
        """Guards against short work that waits behind long work."""
        scenario = stragglers(1, targets, slots, load=0.8)
        scenario = scenario._replace(length_s=60)
        product = measure(scenario, _PRODUCT)
        baseline = measure(scenario, _BASELINE)
        assert product.short_wait_p99_s <= baseline.short_wait_p99_s / 4
        assert product.refused <= product.offered / 100
