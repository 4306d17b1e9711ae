"""Messages between operator commands and processes."""

from typing import NamedTuple

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Load,
    Member,
)


class MemberStatus(NamedTuple):
    """A member with its load as a process knows it.

    ``age_s`` is the age of the load in seconds, -1 when none is known.
    """

    member: Member
    load: Load
    age_s: float


class StatusRequest(NamedTuple):
    """Asks a process for its status.

    With a service, the reply's members are those of the service only.
    """

    service: str = ''


class StatusReply(NamedTuple):
    """Status of one process.

    ``role`` is ``balancer`` or ``agent``. ``versions`` are the
    configuration versions in force by service. ``registered`` are the
    names of the registered targets by service.
    """

    process: str
    role: str
    failure_domain: str
    incarnation: int
    versions: dict[str, int]
    registered: dict[str, tuple[str, ...]]
    members: tuple[MemberStatus, ...]
    balancers: tuple[BalancerRecord, ...]
    counters: dict[str, float]


class DrainRequest(NamedTuple):
    """Asks an agent to drain its target, or to take new work again."""

    service: str
    target: str
    drain: bool


class DrainReply(NamedTuple):
    """Whether the agent follows a drain request, and why not."""

    accepted: bool
    reason: str


class ExplainRequest(NamedTuple):
    """Asks a process what it knows about a bucket and an item in it.

    ``item`` is the hash of the flow or request key.
    """

    service: str
    bucket: int
    item: int


class ExplainReply(NamedTuple):
    """What a process knows about a bucket.

    ``first`` and ``second`` are its table's choices. ``owner`` is the
    target that it takes for the owner and ``owns`` whether that is the
    process itself. ``holder`` is the target that holds the item, as far
    as the process knows. Unknown names are empty.
    """

    process: str
    first: str
    second: str
    owner: str
    owns: bool
    holder: str
    detail: str
