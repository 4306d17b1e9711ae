"""Scenarios of the queue simulation, and the requests in them."""

from typing import Final, NamedTuple

from trefoilhaven_core.admission.lanes import Work

# Mean service time of short work and its deadline.
SERVICE_TIME_S: Final = 0.05
DEADLINE_S: Final = 1.0

_SHORT_BODY_BYTES: Final = 1_000

# Below the size from which work with an undeclared class counts as long, so
# that the class has to be learned.
_LONG_BODY_BYTES: Final = 40_000


class Scenario(NamedTuple):
    """A load on one service; times are in seconds.

    ``load`` and ``peak_load`` are shares of the service's capacity; the peak
    is reached ``ramp_s`` after ``ramp_start_s``. Long work has
    ``long_factor`` times the service time and the deadline of short work.
    """

    seed: int
    targets: int
    slots: int
    service_time_s: float
    load: float
    peak_load: float
    ramp_start_s: float
    ramp_s: float
    duration_s: float
    measure_from_s: float
    deadline_s: float
    long_share: float = 0
    long_factor: float = 20


class PolicyPair(NamedTuple):
    """Whether to use the product's queue and choice, or the baselines.

    The baselines are a first-come-first-served queue and a random choice.
    """

    admission: bool
    load_aware: bool


class Job:
    """One request and its outcome; times are in seconds.

    A time is None until the event has happened.
    """

    __slots__ = (
        'arrived_at',
        'deadline',
        'finished_at',
        'is_long',
        'refused_at',
        'service_s',
        'started_at',
        'token',
    )

    def __init__(
        self,
        token: int,
        arrived_at: float,
        service_s: float,
        is_long: bool,
        deadline: float,
    ) -> None:
        """Describe a request that has just arrived."""
        self.token = token
        self.arrived_at = arrived_at
        self.service_s = service_s
        self.is_long = is_long
        self.deadline = deadline
        self.started_at: float | None = None
        self.finished_at: float | None = None
        self.refused_at: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether the request finished by its deadline."""
        return self.finished_at is not None and (
            self.finished_at <= self.deadline
        )

    @property
    def work(self) -> Work:
        """The request as it is offered to a queue."""
        size = _LONG_BODY_BYTES if self.is_long else _SHORT_BODY_BYTES
        return Work(self.token, '', size, self.deadline)


def overload(seed: int, targets: int, slots: int) -> Scenario:
    """Return an overload of three times the capacity, reached in 1 s.

    Figures count from the moment at which the peak is reached.
    """
    return Scenario(
        seed,
        targets,
        slots,
        SERVICE_TIME_S,
        load=0.6,
        peak_load=3,
        ramp_start_s=5,
        ramp_s=1,
        duration_s=16,
        measure_from_s=6,
        deadline_s=DEADLINE_S,
    )


def stragglers(seed: int, targets: int, slots: int, load: float) -> Scenario:
    """Return a steady load with 5% of work 20 times as long.

    Deadlines are far in the future, so that all work is served and waits can
    be compared.
    """
    return Scenario(
        seed,
        targets,
        slots,
        SERVICE_TIME_S,
        load=load,
        peak_load=load,
        ramp_start_s=0,
        ramp_s=1,
        duration_s=120,
        measure_from_s=10,
        deadline_s=1000,
        long_share=0.05,
    )
