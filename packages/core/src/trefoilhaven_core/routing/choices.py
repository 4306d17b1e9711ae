"""Choice among the targets of a service.

Balancers choose targets for idempotent requests, owners choose siblings
for hand-offs. The choice is the better of two random targets (power of two
choices) among those with the lowest expected wait. For targets in other
failure domains, the cost of the link is added to the wait. They are drawn
from only if the best of them beats the best one of the own failure domain, or
if that has no usable target.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final, NamedTuple

from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.routing.ejections import EJECT_SHARE, Ejector
from trefoilhaven_core.routing.waits import Candidate, TargetWait

# Share of its normal choices that a target receives at the start of its
# warm-up.
MIN_WARM_UP_SHARE: Final = 0.1

# Two targets are drawn at random from this share of the targets, those with
# the lowest expected wait.
BEST_SHARE: Final = 0.5


class ChoiceSettings(NamedTuple):
    """Settings of a target chooser.

    ``link_costs`` has the round-trip time in seconds to other failure
    domains, ``warm_up_s`` is the warm-up time of a new target, and
    ``eject_share`` the maximum share of ejected targets.
    """

    own_domain: str
    link_costs: Mapping[str, float]
    warm_up_s: float = 0
    eject_share: float = EJECT_SHARE


class Choice(NamedTuple):
    """A chosen target and its expected wait in seconds."""

    target: str
    expected_wait_s: float


class _ScoredCandidate(NamedTuple):
    score_s: float
    wait_s: float
    candidate: Candidate


class TargetChooser:
    """Chooses targets of one service by expected wait and failure rate."""

    def __init__(self, settings: ChoiceSettings) -> None:
        self._settings = settings
        self._ejector = Ejector(settings.eject_share)
        self._candidates: tuple[Candidate, ...] = ()
        self._waits: dict[str, TargetWait] = {}

    def update(self, candidates: Iterable[Candidate]) -> None:
        """Set the targets that are alive and not draining."""
        self._candidates = tuple(candidates)
        self._waits = {
            candidate.target: self._waits.get(candidate.target)
            or TargetWait(candidate.slots)
            for candidate in self._candidates
        }
        self._ejector.update(frozenset(self._waits))

    def on_report(
        self,
        now: float,
        target: str,
        load: Load,
        age_s: float,
    ) -> None:
        """Apply a load report relayed by a witness or sent in a heartbeat.

        ``age_s`` is the age of the report in seconds.
        """
        wait = self._waits.get(target)
        if wait is not None:
            wait.on_report(now - age_s, load)

    def on_answer(
        self,
        now: float,
        choice: Choice,
        elapsed_s: float,
        load: Load | None = None,
    ) -> None:
        """Record a complete answer and the time that it took in seconds."""
        wait = self._waits.get(choice.target)
        if wait is None:
            return
        wait.on_ended()
        at_target_s = elapsed_s - self._link_cost_to(choice.target)
        slow = wait.is_unexpectedly_slow(choice.expected_wait_s, at_target_s)
        if load is not None:
            wait.on_answer_load(now, load)
        self._ejector.on_answer(now, choice.target, slow)

    def on_shed(self, now: float, target: str, load: Load | None) -> None:
        """Record that a target shed a request."""
        wait = self._waits.get(target)
        if wait is not None:
            wait.on_ended()
            if load is not None:
                wait.on_answer_load(now, load)
        self._ejector.on_shed(now, target)

    def on_failure(self, now: float, target: str) -> None:
        """Record a broken connection or a missing answer."""
        wait = self._waits.get(target)
        if wait is not None:
            wait.on_ended()
        self._ejector.on_failure(now, target)

    def on_cancelled(self, target: str) -> None:
        """Record a cancelled request, neither an answer nor a failure."""
        wait = self._waits.get(target)
        if wait is not None:
            wait.on_ended()

    def is_ejected(self, now: float, target: str) -> bool:
        """Return whether a target is ejected now."""
        return self._ejector.is_ejected(now, target)

    def choose(
        self,
        now: float,
        generator: random.Random,
        excluded: Collection[str] = (),
        min_free_slots: int = 0,
    ) -> Choice | None:
        """Return the target for the next request, None if there is none.

        The request counts as open at the target until ``on_answer``,
        ``on_shed``, ``on_failure`` or ``on_cancelled`` is called for it.
        Ejected and cold targets are used if there are no others. Owners that
        need a sibling for a hand-off require at least one free slot.
        """
        allowed = [
            candidate
            for candidate in self._candidates
            if candidate.target not in excluded
            and self._waits[candidate.target].free_slots >= min_free_slots
        ]
        usable = self._prefer(allowed, self._not_ejected(now))
        usable = self._prefer(usable, self._warm_enough(now, generator))
        if not usable:
            return None
        scored = self._select_best(self._score(now, usable))
        drawn = generator.sample(scored, min(2, len(scored)))
        best = min(drawn, key=_score_of)
        self._waits[best.candidate.target].on_sent()
        return Choice(best.candidate.target, best.wait_s)

    def _prefer(
        self,
        candidates: list[Candidate],
        accepts: Callable[[Candidate], bool],
    ) -> list[Candidate]:
        return [item for item in candidates if accepts(item)] or candidates

    def _not_ejected(self, now: float) -> Callable[[Candidate], bool]:
        return lambda candidate: (
            not self._ejector.is_ejected(
                now,
                candidate.target,
            )
        )

    def _warm_enough(
        self,
        now: float,
        generator: random.Random,
    ) -> Callable[[Candidate], bool]:
        def accepts(candidate: Candidate) -> bool:
            warm_up_s = self._settings.warm_up_s
            age_s = now - candidate.alive_since
            if age_s >= warm_up_s:
                return True
            return generator.random() < max(
                MIN_WARM_UP_SHARE, age_s / warm_up_s
            )

        return accepts

    def _score(
        self,
        now: float,
        candidates: list[Candidate],
    ) -> list[_ScoredCandidate]:
        waits = self._waits.values()
        average_s = sum(wait.reported_s for wait in waits) / len(waits)
        scored = []
        for candidate in candidates:
            wait_s = self._waits[candidate.target].expect(now, average_s)
            cost_s = self._link_cost(candidate)
            scored.append(_ScoredCandidate(wait_s + cost_s, wait_s, candidate))
        return scored

    def _link_cost_to(self, target: str) -> float:
        return next(
            self._link_cost(candidate)
            for candidate in self._candidates
            if candidate.target == target
        )

    def _link_cost(self, candidate: Candidate) -> float:
        if candidate.failure_domain == self._settings.own_domain:
            return 0
        return self._settings.link_costs.get(candidate.failure_domain, 0)

    def _select_best(
        self, scored: list[_ScoredCandidate]
    ) -> list[_ScoredCandidate]:
        own = self._settings.own_domain
        local = [one for one in scored if one.candidate.failure_domain == own]
        remote = [one for one in scored if one.candidate.failure_domain != own]
        pool = local or remote
        if local and remote and _lowest(remote) < _lowest(local):
            pool = remote
        ranked = sorted(pool, key=_score_of)
        return ranked[: max(2, round(len(ranked) * BEST_SHARE))]


def _score_of(scored: _ScoredCandidate) -> float:
    return scored.score_s


def _lowest(scored: list[_ScoredCandidate]) -> float:
    return min(one.score_s for one in scored)
