"""Ejection of targets that fail, shed or mislead.

An ejected target receives nothing for a time that doubles with each
ejection. At most a declared share of a service is ejected at once.
"""

from typing import Final

EJECT_SHARE: Final = 0.33

BASE_EJECTION_S: Final = 1.0

MAX_EJECTION_S: Final = 60.0

# Failures in a row that eject a target.
CONSECUTIVE_FAILURES: Final = 3

# Share of shed or misleading answers that ejects a target, while the share
# of the others is below the second figure on average. A crest makes all
# targets shed and answer later than they reported; ejecting some of them
# then would only waste their slots.
BAD_ANSWER_SHARE: Final = 0.5
MAX_BAD_SHARE_OF_OTHERS: Final = 0.1

# Weight of a new answer in the shares of shed and of misleading answers.
_SHARE_WEIGHT: Final = 0.05

# A declared share of 0.33 or 0.3 stands for one of three targets, which a
# strict product would round down to none.
_SHARE_TOLERANCE: Final = 0.005


class _TargetErrors:
    __slots__ = ('bad_share', 'ejections', 'failures', 'until')

    def __init__(self) -> None:
        self.bad_share = 0.0
        self.ejections = 0
        self.failures = 0
        self.until = 0.0


class Ejector:
    """Counts the misconduct of the targets of one service."""

    def __init__(self, share: float = EJECT_SHARE) -> None:
        """Eject at most ``share`` of the targets at once."""
        self._share = share
        self._conducts: dict[str, _TargetErrors] = {}

    def update(self, targets: frozenset[str]) -> None:
        """Set the targets of the service; the others are forgotten."""
        self._conducts = {
            target: self._conducts.get(target, _TargetErrors())
            for target in targets
        }

    def is_ejected(self, now: float, target: str) -> bool:
        """Return whether a target receives nothing now."""
        conduct = self._conducts.get(target)
        return conduct is not None and now < conduct.until

    def on_answer(self, now: float, target: str, misled: bool) -> None:
        """Note a whole answer, and whether it came far later than reported."""
        conduct = self._conducts.get(target)
        if conduct is None:
            return
        conduct.failures = 0
        self._count_answer(now, conduct, misled)
        calm_s = now - conduct.until
        if conduct.ejections and calm_s > _ejection_s(conduct.ejections):
            conduct.ejections = 0

    def on_shed(self, now: float, target: str) -> None:
        """Note a request that the target refused."""
        conduct = self._conducts.get(target)
        if conduct is not None:
            self._count_answer(now, conduct, bad=True)

    def on_failure(self, now: float, target: str) -> None:
        """Note a broken connection or a missing answer."""
        conduct = self._conducts.get(target)
        if conduct is None:
            return
        conduct.failures += 1
        if conduct.failures >= CONSECUTIVE_FAILURES:
            self._eject(now, conduct)

    def _count_answer(
        self, now: float, conduct: _TargetErrors, bad: bool
    ) -> None:
        conduct.bad_share += _SHARE_WEIGHT * (bad - conduct.bad_share)
        others = [
            other.bad_share
            for other in self._conducts.values()
            if other is not conduct
        ]
        if not others or conduct.bad_share < BAD_ANSWER_SHARE:
            return
        if sum(others) / len(others) < MAX_BAD_SHARE_OF_OTHERS:
            self._eject(now, conduct)

    def _eject(self, now: float, conduct: _TargetErrors) -> None:
        allowed = int((self._share + _SHARE_TOLERANCE) * len(self._conducts))
        ejected = sum(
            1 for other in self._conducts.values() if now < other.until
        )
        if now < conduct.until or ejected >= allowed:
            return
        conduct.ejections += 1
        conduct.failures = 0
        conduct.bad_share = 0
        conduct.until = now + _ejection_s(conduct.ejections)


def _ejection_s(ejections: int) -> float:
    return min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (ejections - 1))
