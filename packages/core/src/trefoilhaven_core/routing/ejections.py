"""Ejection of targets that fail, shed load or answer unexpectedly slowly.

An ejected target receives work only if no other target is left, for a time
that doubles with each ejection. At most a configured share of a service's targets is ejected at
the same time.
"""

from typing import Final

EJECT_SHARE: Final = 0.33

BASE_EJECTION_S: Final = 1.0

MAX_EJECTION_S: Final = 60.0

# Number of failures without a complete answer in between that ejects a target.
# A shed request in between does not reset the count.
CONSECUTIVE_FAILURES: Final = 3

# A target is ejected when its share of shed or unexpectedly slow answers
# reaches the first value while the mean share of the other targets is below
# the second. At a load peak all targets shed and answer more slowly than
# reported; ejecting some of them would only leave their slots unused.
BAD_ANSWER_SHARE: Final = 0.5
MAX_BAD_SHARE_OF_OTHERS: Final = 0.1

# Weight of a new answer in the moving average of the bad-answer share.
_SHARE_WEIGHT: Final = 0.05

# A configured share of 0.33 means one of three targets; the plain product of
# 0.99 would be rounded down to none. A share of 0.3 still ejects none of three.
_SHARE_TOLERANCE: Final = 0.005


class _TargetErrors:
    __slots__ = ('bad_share', 'ejections', 'failures', 'until')

    def __init__(self) -> None:
        self.bad_share = 0.0
        self.ejections = 0
        self.failures = 0
        self.until = 0.0


class Ejector:
    """Counts bad answers and failures of targets and ejects outliers."""

    def __init__(self, share: float = EJECT_SHARE) -> None:
        """Eject at most ``share`` of the targets at the same time."""
        self._share = share
        self._errors: dict[str, _TargetErrors] = {}

    def update(self, targets: frozenset[str]) -> None:
        """Set the targets of the service and discard counts of others."""
        self._errors = {
            target: self._errors.get(target, _TargetErrors())
            for target in targets
        }

    def is_ejected(self, now: float, target: str) -> bool:
        """Return whether a target is ejected at this time."""
        errors = self._errors.get(target)
        return errors is not None and now < errors.until

    def on_answer(self, now: float, target: str, slow: bool) -> None:
        """Count a complete answer.

        ``slow`` tells whether it took far longer than the reported load
        suggested.
        """
        errors = self._errors.get(target)
        if errors is None:
            return
        errors.failures = 0
        self._count_answer(now, errors, slow)
        elapsed_s = now - errors.until
        if errors.ejections and elapsed_s > _ejection_s(errors.ejections):
            errors.ejections = 0

    def on_shed(self, now: float, target: str) -> None:
        """Count a request that the target shed."""
        errors = self._errors.get(target)
        if errors is not None:
            self._count_answer(now, errors, bad=True)

    def on_failure(self, now: float, target: str) -> None:
        """Count a broken connection or a missing answer."""
        errors = self._errors.get(target)
        if errors is None:
            return
        errors.failures += 1
        if errors.failures >= CONSECUTIVE_FAILURES:
            self._eject(now, errors)

    def _count_answer(
        self, now: float, errors: _TargetErrors, bad: bool
    ) -> None:
        errors.bad_share += _SHARE_WEIGHT * (bad - errors.bad_share)
        others = [
            other.bad_share
            for other in self._errors.values()
            if other is not errors
        ]
        if not others or errors.bad_share < BAD_ANSWER_SHARE:
            return
        if sum(others) / len(others) < MAX_BAD_SHARE_OF_OTHERS:
            self._eject(now, errors)

    def _eject(self, now: float, errors: _TargetErrors) -> None:
        allowed = int((self._share + _SHARE_TOLERANCE) * len(self._errors))
        ejected = sum(1 for other in self._errors.values() if now < other.until)
        if now < errors.until or ejected >= allowed:
            return
        errors.ejections += 1
        errors.failures = 0
        errors.bad_share = 0
        errors.until = now + _ejection_s(errors.ejections)


def _ejection_s(ejections: int) -> float:
    return min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (ejections - 1))
