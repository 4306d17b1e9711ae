"""Selection of failure domains compared with a fixed penalty.

For example, ``compare(Scenario(load=0.9))`` returns the figures of the fixed
penalty and of the shares, by the same arrivals. Run ``python -m
trefoilhaven_bench.models.domain_rows`` to print them for all scenarios.
"""

import sys
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from trefoilhaven_bench.models.domain_loads import (
    DOMAINS,
    MIXED_SPEEDS,
    Scenario,
)
from trefoilhaven_bench.models.domain_models import (
    DomainSimulation,
    Request,
    quantile,
)
from trefoilhaven_core.settings.defaults import DOMAIN_CROSSING_COST_S

# Objective of a request in seconds.
OBJECTIVE_S: Final = 0.25

# Bytes of a request with its response between failure domains.
REQUEST_BYTES: Final = 2_000

# The share that crosses is counted in intervals of this length in seconds. A
# change of direction counts if the share moved by at least this much.
_INTERVAL_S: Final = 1.0
_SWING: Final = 0.2

_PERCENTILE: Final = 0.99
_S_PER_MINUTE: Final = 60

# Callers by failure domain before and after half of those of b have moved.
_MOVED: Final = {'a': 1 / 2, 'b': 1 / 6, 'c': 1 / 3}

SCENARIOS: Final[Mapping[str, Scenario]] = {
    'load 0.5': Scenario(0.5),
    'load 0.9': Scenario(0.9),
    'load 1.3': Scenario(1.3),
    'load 2.5': Scenario(2.5),
    'speeds, load 0.5': Scenario(0.5, speeds=MIXED_SPEEDS),
    'speeds, load 0.9': Scenario(0.9, speeds=MIXED_SPEEDS),
    # Six of the eight targets of a and two of b.
    'third away': Scenario(0.5, away=frozenset({0, 3, 6, 9, 12, 15, 1, 4})),
    'callers moved': Scenario(0.75, later_weights=_MOVED),
    'callers moved, all full': Scenario(1.3, later_weights=_MOVED),
    'wave of 11 s': Scenario(0.7, wave_s=11, wave_share=0.15, duration_s=24),
    'wave of 15 s': Scenario(0.6, wave_s=15, wave_share=0.55, duration_s=32),
    'uneven wave of 15 s': Scenario(
        0.55, wave_s=15, wave_share=0.55, duration_s=32, weights=_MOVED
    ),
    'two to one': Scenario(0.75, weights={'a': 0.45, 'b': 0.45, 'c': 0.1}),
    'two to one, full': Scenario(0.95, weights={'a': 0.4, 'b': 0.4, 'c': 0.2}),
    'cut': Scenario(
        0.7, weights={'a': 0.5, 'b': 0.25, 'c': 0.25}, cut=frozenset('ab')
    ),
    '5 gateways, old reports': Scenario(
        0.75, later_weights=_MOVED, gateways=5, far_report_s=1.0
    ),
    '59 gateways, old reports': Scenario(
        0.75, later_weights=_MOVED, gateways=59, far_report_s=1.0, duration_s=10
    ),
}


class Row(NamedTuple):
    """Figures of one selection after the change; times in seconds.

    ``goodput`` is the share of the requests of each failure domain that were
    served within the objective, ``wait_p99_s`` is the time besides the work;
    requests that were given up count with their timeout. ``away`` is the
    share that crossed, ``reversals`` counts per minute.
    """

    selection: str
    wait_p99_s: Mapping[str, float]
    goodput: Mapping[str, float]
    mean_goodput: float
    away: Mapping[str, float]
    away_bytes: int
    reversals: float

    @property
    def worst_goodput(self) -> float:
        """Goodput of the worst-served failure domain."""
        return min(self.goodput.values())


def compare(
    scenario: Scenario, crossing_cost_s: float = DOMAIN_CROSSING_COST_S
) -> tuple[Row, Row]:
    """Return the figures of the fixed penalty and of the shares."""
    return measure(scenario, None), measure(scenario, crossing_cost_s)


def measure(scenario: Scenario, crossing_cost_s: float | None) -> Row:
    """Run a scenario with one selection."""
    requests = [
        request
        for request in DomainSimulation(scenario, crossing_cost_s).run()
        if scenario.change_at_s <= request.arrived_at
        and request.arrived_at <= scenario.duration_s - 2
    ]
    by_domain = {
        domain: [each for each in requests if each.domain == domain]
        for domain in DOMAINS
    }
    crossed = sum(request.has_crossed for request in requests)
    measured_s = scenario.duration_s - 2 - scenario.change_at_s
    return Row(
        'penalty' if crossing_cost_s is None else 'shares',
        {
            domain: quantile([_wait_s(each) for each in own], _PERCENTILE)
            for domain, own in by_domain.items()
        },
        {domain: _goodput(own) for domain, own in by_domain.items()},
        _goodput(requests),
        {domain: _away(own) for domain, own in by_domain.items()},
        crossed * REQUEST_BYTES,
        max(map(_reversals, by_domain.values())) * _S_PER_MINUTE / measured_s,
    )


def _wait_s(request: Request) -> float:
    if request.ended_at is None:
        return 2.0
    return request.ended_at - request.arrived_at - request.work_s


def _goodput(requests: Sequence[Request]) -> float:
    served = sum(
        request.ended_at is not None
        and request.ended_at - request.arrived_at <= OBJECTIVE_S
        for request in requests
    )
    return served / len(requests)


def _away(requests: Sequence[Request]) -> float:
    return sum(each.has_crossed for each in requests) / len(requests)


def _reversals(requests: Sequence[Request]) -> int:
    """Return how often the share that crosses changes its direction."""
    intervals: dict[int, list[Request]] = {}
    for request in requests:
        number = int(request.arrived_at / _INTERVAL_S)
        intervals.setdefault(number, []).append(request)
    shares = [_away(intervals[number]) for number in sorted(intervals)]
    reversals, direction, extreme = 0, 0, shares[0]
    for share in shares[1:]:
        moved = share - extreme
        if abs(moved) >= _SWING and (moved > 0) != (direction > 0):
            reversals += direction != 0
            direction = 1 if moved > 0 else -1
            extreme = share
        elif moved * direction > 0:
            extreme = share
    return reversals


def main() -> None:
    """Print the figures of all scenarios."""
    for name, scenario in SCENARIOS.items():
        for row in compare(scenario):
            sys.stdout.write(f'{name:26} {_text(row)}\n')


def _text(row: Row) -> str:
    waits = ' '.join(f'{each:5.3f}' for each in row.wait_p99_s.values())
    goodput = ' '.join(f'{each:5.3f}' for each in row.goodput.values())
    away = ' '.join(f'{each:5.3f}' for each in row.away.values())
    return (
        f'{row.selection:8} p99 {waits}  goodput {goodput}  '
        f'mean {row.mean_goodput:5.3f}  away {away}  '
        f'{row.away_bytes / 1e6:6.2f} MB  {row.reversals:5.1f}/min'
    )


if __name__ == '__main__':
    main()
