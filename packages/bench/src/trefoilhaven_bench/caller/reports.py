"""Reports of the load generators."""

from typing import NamedTuple, TypedDict

from trefoilhaven_bench.caller.latencies import Percentiles


class FlowReport(TypedDict):
    """Counts of a set of flows.

    ``unopened`` flows never received an answer. ``broken`` flows failed
    after their first answer; ``broken_by`` counts them by reason.
    """

    service: str
    opened: int
    unopened: int
    broken: int
    broken_by: dict[str, int]
    broken_flows: list[str]
    wrong: int
    packets: int
    answers: int
    retransmits: int
    by_target: dict[str, int]
    round_trip: Percentiles


class RefusedAttempt(NamedTuple):
    """An attempt that was answered *not run*."""

    key: str
    attempt: int


class FailedCall(NamedTuple):
    """A call that ended without a closing message.

    Times are seconds of the caller's monotonic clock.
    """

    key: str
    balancer: str
    asked_at: float
    failed_at: float
    reason: str


class RequestReport(TypedDict):
    """Outcomes of a stream of requests.

    ``refused`` lists every attempt that was answered *not run*; no target
    may have run any of them. ``run_once_keys`` are the keys of the
    non-idempotent requests. ``failed_calls`` holds the first thousand.
    """

    service: str
    sent: int
    done: int
    not_run: int
    unknown: int
    wrong: int
    skipped: int
    counts: dict[str, int]
    refused: list[RefusedAttempt]
    run_once_keys: list[str]
    failed_calls: list[FailedCall]
    short: Percentiles
    long: Percentiles
    refusal: Percentiles
