"""Planning of the registrations that balancers write to the platform.

Every balancer plans from its own view. The live balancer with the lowest
rendezvous rank writes; those with the next ranks take over if the object
does not change.
"""

from typing import Final, NamedTuple

import msgspec
import xxhash

from trefoilhaven_core.membership.messages import MemberState, Registration
from trefoilhaven_core.membership.views import ViewStore

# A balancer waits this long for each balancer that ranks before it.
RANK_DELAY_S: Final = 2.0

# A write without an answer is planned again after this time.
WRITE_TIMEOUT_S: Final = 2.0

# A member that is dead, left or unknown stays registered for this long.
REGISTRATION_RETENTION_S: Final = 600.0


class RegistrationPlan(NamedTuple):
    """A conditional update of one service's registered members.

    The update is applied only if the object's version is still
    ``expected_version``, 0 for an object that does not exist yet.
    """

    service: str
    expected_version: int
    registrations: tuple[Registration, ...]
    content: bytes


class _Content(msgspec.Struct):
    """JSON content of a ``members/<service>`` object."""

    members: list['_Entry']


class _Entry(msgspec.Struct):
    """JSON form of one registration."""

    target: str
    incarnation: int


def encode_registrations(registrations: tuple[Registration, ...]) -> bytes:
    """Return the object's content, for example ``{"members": [...]}``."""
    entries = [_Entry(*entry) for entry in sorted(registrations)]
    return msgspec.json.encode(_Content(entries))


def decode_registrations(content: bytes) -> tuple[Registration, ...]:
    """Return the registrations of an object's content.

    Raises ``msgspec.DecodeError`` when the content is malformed.
    """
    parsed = msgspec.json.decode(content, type=_Content)
    return tuple(
        Registration(entry.target, entry.incarnation)
        for entry in parsed.members
    )


class RegistrationPlanner:
    """Decides when this balancer writes registrations."""

    def __init__(self, name: str, store: ViewStore) -> None:
        """Plan for the balancer called ``name``, from ``store``."""
        self._name = name
        self._store = store
        self._absent_since: dict[tuple[str, str], float] = {}
        self._pending: dict[str, tuple[int, float]] = {}
        self._write_deadlines: dict[str, float] = {}

    def plan(self, now: float, service: str) -> RegistrationPlan | None:
        """Return the update to write now, or None.

        Called at least once a second, since it also measures how long
        members have been absent.
        """
        registry = self._store.registry(service)
        wanted = self._wanted(now, service)
        if wanted == registry.registrations:
            self._pending.pop(service, None)
            return None
        version, since = self._pending.get(service, (-1, now))
        if version != registry.version:
            since = now
            self._pending[service] = (registry.version, now)
        if now - since < self._rank(service) * RANK_DELAY_S:
            return None
        if now < self._write_deadlines.get(service, now):
            return None
        self._write_deadlines[service] = now + WRITE_TIMEOUT_S
        content = encode_registrations(wanted)
        return RegistrationPlan(service, registry.version, wanted, content)

    def on_answer(self, service: str) -> None:
        """Allow the next write, since the platform answered the last one.

        The caller first stores the version that it wrote, or that it read
        after a conflict; the next plan is based on it.
        """
        self._write_deadlines.pop(service, None)

    def _wanted(self, now: float, service: str) -> tuple[Registration, ...]:
        self._forget_unregistered(service)
        wanted = {}
        for entry in self._store.registry(service).registrations:
            if not self._is_expired(now, service, entry):
                wanted[entry.target] = entry
        for member in self._store.members(service):
            known = wanted.get(member.target)
            is_newer = known is None or member.incarnation > known.incarnation
            if is_newer and member.state == MemberState.alive:
                entry = Registration(member.target, member.incarnation)
                wanted[member.target] = entry
        return tuple(sorted(wanted.values()))

    def _forget_unregistered(self, service: str) -> None:
        registry = self._store.registry(service)
        registered = {entry.target for entry in registry.registrations}
        stale = [
            (owner, target)
            for owner, target in self._absent_since
            if owner == service and target not in registered
        ]
        for key in stale:
            self._absent_since.pop(key)

    def _is_expired(
        self, now: float, service: str, entry: Registration
    ) -> bool:
        key = (service, entry.target)
        record = self._store.member(*key)
        if record is not None and record.state < MemberState.dead:
            self._absent_since.pop(key, None)
            return False
        since = self._absent_since.setdefault(key, now)
        return now - since >= REGISTRATION_RETENTION_S

    def _rank(self, service: str) -> int:
        """Return how many live balancers rank before this one."""
        own = _rank_key(service, self._name)
        return sum(
            _rank_key(service, record.name) < own
            for record in self._store.balancers
            if record.state < MemberState.dead
        )


def _rank_key(service: str, balancer: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{service}\n{balancer}'.encode()), balancer
