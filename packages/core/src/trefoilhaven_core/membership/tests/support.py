"""Records and settings shared by the membership tests."""

import os
from typing import Final

from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Load,
    Member,
    MemberState,
)

SERVICE: Final = 'classroom-desk'
WITNESSES: Final = ('entry-1', 'entry-2', 'entry-3')
NO_LOAD: Final = Load()

_ADDRESS: Final = Address('127.0.0.1', 7000)


def make_member(
    target: str = 'desk-1',
    *,
    service: str = SERVICE,
    failure_domain: str = 'tainan-a',
    incarnation: int = 1,
    sequence: int = 1,
    state: MemberState = MemberState.alive,
) -> Member:
    """Return a member record with 2 slots."""
    return Member(
        service,
        target,
        f'host-{target}',
        failure_domain,
        incarnation,
        sequence,
        state,
        _ADDRESS,
        _ADDRESS,
        _ADDRESS,
        2,
    )


def make_balancer(
    name: str = 'entry-1',
    *,
    incarnation: int = 1,
    sequence: int = 1,
    state: MemberState = MemberState.alive,
) -> BalancerRecord:
    """Return a balancer record."""
    return BalancerRecord(
        name, 'tainan-a', incarnation, sequence, state, _ADDRESS, _ADDRESS
    )


def schedule_seeds(default: int) -> list[int]:
    """Return the seeds of the randomized schedules.

    To reproduce a failure, TREFOILHAVEN_FIRST_SEED sets the first seed and
    TREFOILHAVEN_SCHEDULES the number of seeds.
    """
    count = int(os.environ.get('TREFOILHAVEN_SCHEDULES', default))
    first = int(os.environ.get('TREFOILHAVEN_FIRST_SEED', 0))
    return list(range(first, first + count))
