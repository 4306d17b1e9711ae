"""Ejection of targets that fail, shed or mislead.

An ejected target receives nothing for a time that doubles with each
ejection. At most a declared share of a service is ejected at once.
"""

from typing import Final

EJECT_SHARE: Final = 0.33

FIRST_EJECTION_S: Final = 1.0

LONGEST_EJECTION_S: Final = 60.0

# Misleading reports in a row that eject a target. One of 20 requests may
# run far longer than the others, so a few in a row prove nothing.
STRIKES: Final = 6

# A failure counts as this many misleading reports.
FAILURE_STRIKES: Final = 2

# A crest makes all targets shed. Only a target that sheds this much more
# often than the average of the others is ejected for it.
SHED_MARGIN: Final = 0.4

# Weight of a new answer in the share of shed requests.
_SHED_WEIGHT: Final = 0.05

# A declared share of 0.33 or 0.3 stands for one of three targets, which a
# strict product would round down to none.
_SHARE_TOLERANCE: Final = 0.005


class _Conduct:
    __slots__ = ('ejections', 'shed_share', 'strikes', 'until')

    def __init__(self) -> None:
        self.ejections = 0
        self.shed_share = 0.0
        self.strikes = 0
        self.until = 0.0


class Ejector:
    """Counts the misconduct of the targets of one service."""

    def __init__(self, share: float = EJECT_SHARE) -> None:
        """Eject at most ``share`` of the targets at once."""
        self._share = share
        self._conducts: dict[str, _Conduct] = {}

    def update(self, targets: frozenset[str]) -> None:
        """Set the targets of the service; the others are forgotten."""
        self._conducts = {
            target: self._conducts.get(target, _Conduct()) for target in targets
        }

    def is_ejected(self, now: float, target: str) -> bool:
        """Return whether a target receives nothing now."""
        conduct = self._conducts.get(target)
        return conduct is not None and now < conduct.until

    def on_good(self, now: float, target: str) -> None:
        """Note a whole answer that took about as long as reported."""
        conduct = self._conducts.get(target)
        if conduct is None:
            return
        conduct.strikes = 0
        conduct.shed_share *= 1 - _SHED_WEIGHT
        calm_s = now - conduct.until
        if conduct.ejections and calm_s > _ejection_s(conduct.ejections):
            conduct.ejections = 0

    def on_failure(self, now: float, target: str) -> None:
        """Note a broken connection or a missing answer."""
        self._strike(now, target, FAILURE_STRIKES)

    def on_misled(self, now: float, target: str) -> None:
        """Note an answer that took far longer than reported."""
        self._strike(now, target, 1)

    def on_shed(self, now: float, target: str) -> None:
        """Note a request that the target refused."""
        conduct = self._conducts.get(target)
        if conduct is None:
            return
        conduct.shed_share += _SHED_WEIGHT * (1 - conduct.shed_share)
        others = [
            other.shed_share
            for other in self._conducts.values()
            if other is not conduct
        ]
        if not others:
            return
        if conduct.shed_share > sum(others) / len(others) + SHED_MARGIN:
            self._eject(now, conduct)

    def _strike(self, now: float, target: str, strikes: int) -> None:
        conduct = self._conducts.get(target)
        if conduct is None:
            return
        conduct.strikes += strikes
        if conduct.strikes >= STRIKES:
            self._eject(now, conduct)

    def _eject(self, now: float, conduct: _Conduct) -> None:
        allowed = int((self._share + _SHARE_TOLERANCE) * len(self._conducts))
        ejected = sum(
            1 for other in self._conducts.values() if now < other.until
        )
        if now < conduct.until or ejected >= allowed:
            return
        conduct.ejections += 1
        conduct.strikes = 0
        conduct.shed_share = 0
        conduct.until = now + _ejection_s(conduct.ejections)


def _ejection_s(ejections: int) -> float:
    return min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2 ** (ejections - 1))
