"""Evaluation of a run from the reports of callers and targets."""

from collections import Counter
from collections.abc import Iterable, Set
from typing import Any, NamedTuple

from trefoilhaven_bench.caller.reports import (
    FlowReport,
    RefusedAttempt,
    RequestReport,
)

TargetPages = list[dict[str, Any]]


class ServiceVerdict(NamedTuple):
    """Results of a run for one service; times are in seconds."""

    service: str
    flows_opened: int
    flows_unopened: int
    flows_broken: int
    done: int
    not_run: int
    unknown: int
    wrong: int
    run_twice: list[str]
    refused_but_ran: list[RefusedAttempt]
    cross_service: int
    short_p50_s: float
    short_p99_s: float
    imbalance: float

    @property
    def is_clean(self) -> bool:
        """Whether no flow broke and no request violated a guarantee."""
        return not (
            self.flows_broken
            or self.wrong
            or self.run_twice
            or self.refused_but_ran
            or self.cross_service
        )


def evaluate_service(
    flows: FlowReport,
    requests: RequestReport,
    ran_pages: TargetPages,
    flow_pages: TargetPages,
    drained: Set[str],
) -> ServiceVerdict:
    """Combine the reports with the ``/ran`` and ``/flows`` pages of targets.

    Drained targets are left out of the imbalance.
    """
    cross_service = sum(
        page['counts'].get('cross_service', 0)
        for page in (*ran_pages, *flow_pages)
    )
    return ServiceVerdict(
        flows['service'],
        flows['opened'],
        flows['unopened'],
        flows['broken'],
        requests['done'],
        requests['not_run'],
        requests['unknown'],
        flows['wrong'] + requests['wrong'],
        find_run_twice(ran_pages, requests['run_once_keys']),
        find_refused_but_ran(ran_pages, requests['refused']),
        cross_service,
        requests['short']['p50_s'],
        requests['short']['p99_s'],
        imbalance(
            {
                target: count
                for target, count in flows['by_target'].items()
                if target not in drained
            },
            sum(1 for page in flow_pages if page['target'] not in drained),
        ),
    )


def find_run_twice(
    ran_pages: TargetPages,
    run_once_keys: Iterable[str],
) -> list[str]:
    """Return the non-idempotent keys that were started more than once."""
    starts: Counter[str] = Counter()
    for page in ran_pages:
        for key, entries in page['ran'].items():
            starts[key] += len(entries)
    return [key for key in run_once_keys if starts[key] > 1]


def find_refused_but_ran(
    ran_pages: TargetPages,
    refused: Iterable[RefusedAttempt],
) -> list[RefusedAttempt]:
    """Return attempts that were answered *not run* but did run."""
    started = {
        RefusedAttempt(key, entry['attempt'])
        for page in ran_pages
        for key, entries in page['ran'].items()
        for entry in entries
    }
    return sorted(started.intersection(refused))


def imbalance(by_target: dict[str, int], targets: int) -> float:
    """Return the ratio of the most to the mean open flows of a target.

    It is 0 without open flows or without targets.
    """
    total = sum(by_target.values())
    if not total or not targets:
        return 0
    return max(by_target.values()) * targets / total
