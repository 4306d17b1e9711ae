"""Messages of the commands status, drain and explain to processes."""

from typing import NamedTuple

from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Load,
    Member,
)


class MemberStatus(NamedTuple):
    """A member and its load, as known to a process.

    ``age_s`` is the age of the load in seconds, -1 when it is unknown.
    """

    member: Member
    load: Load
    age_s: float


class StatusRequest(NamedTuple):
    """Asks a process for its status.

    If a service is given, the reply only has the members of that service.
    """

    service: str = ''


class StatusReply(NamedTuple):
    """Status of one process.

    ``role`` is ``balancer`` or ``agent``. ``versions`` are the
    configuration versions in force by service, ``registered`` the names of
    the registered targets by service.
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
    """Asks an agent to drain its target, or to accept new work again."""

    service: str
    target: str
    drain: bool


class DrainReply(NamedTuple):
    """Whether the agent accepts a drain request, and if not, the reason."""

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
    """What a process knows about a bucket and an item in it.

    ``first`` and ``second`` are the bucket's first and second choice in
    the process's table. ``owner`` is the target that the process considers
    the owner; ``owns`` tells whether the process itself owns the bucket.
    ``holder`` is the target that, as far as the process knows, holds the
    item. Unknown names are empty.
    """

    process: str
    first: str
    second: str
    owner: str
    owns: bool
    holder: str
    detail: str
