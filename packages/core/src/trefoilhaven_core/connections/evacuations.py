"""Failure domains whose targets get no new connections.

An operator evacuates a failure domain by an object in the platform's store
and takes it back by removing the object. Processes exchange the complete set
of evacuated domains at one point of the store's history.
"""

import math
from collections.abc import Iterable
from typing import Annotated, Final, NamedTuple

import msgspec

from trefoilhaven_core.platform.points import MAX_ERA

# Name under which evacuations are exchanged along with the configurations of
# services.
EVACUATIONS_NAME: Final = '@evacuations'

# Bits of a version below those of the era; the lowest one tells settled
# evacuations from others at the same revision. A store that makes 10,000
# changes a second uses the bits up after 27 years, and ``MAX_ERA`` fits into
# the other bits of a version number.
_ERA_SHIFT: Final = 44

# Highest revision that fits below the era in a version.
_MAX_REVISION: Final = (1 << (_ERA_SHIFT - 1)) - 1

_Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
_Revision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]

# Time in seconds after the first listing of a new era for which the set in
# force is kept. The restored copy of the store is some seconds old: it may
# lack an evacuation, or show one that was withdrawn, until the operator has
# written it again.
ERA_HOLD_S: Final = 3.0


class Evacuations(NamedTuple):
    """All evacuated failure domains at a revision of the store.

    ``era`` rises each time the store returns from an older copy, after which
    revisions are given out again. Evacuations that are not settled combine
    the set that was in force before a new era with the changes seen since;
    settled ones are the content of the store. The limits are checked when
    evacuations are decoded: a version beyond them can't be encoded.
    """

    era: _Era = 0
    revision: _Revision = 0
    domains: frozenset[str] = frozenset()
    is_settled: bool = True

    @property
    def version(self) -> int:
        """Number that orders evacuations by era and revision.

        Settled ones come after others at the same revision.
        """
        return self.era << _ERA_SHIFT | self.revision << 1 | self.is_settled

    @property
    def is_known(self) -> bool:
        """Whether they come from a store."""
        return self.version > 0


# What a process has in force before it has learned anything.
UNKNOWN_EVACUATIONS: Final = Evacuations(is_settled=False)

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Evacuations)


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Return evacuations as MessagePack; equal ones have equal bytes."""
    domains = tuple(sorted(evacuations.domains))
    return _encoder.encode(
        (
            evacuations.era,
            evacuations.revision,
            domains,
            evacuations.is_settled,
        )
    )


def decode_evacuations(content: bytes) -> Evacuations:
    """Return evacuations from MessagePack.

    Raises ``msgspec.MsgspecError``, also for an era or a revision out of
    bounds.
    """
    return _decoder.decode(content)


class DomainChange(NamedTuple):
    """An evacuation that was written, or deleted, in the store."""

    domain: str
    is_evacuated: bool


class StoreEvacuations:
    """The evacuations that one gateway sees in the store.

    It decides which evacuations the gateway distributes. ``in_force`` is the
    set that the gateway applies: the highest version that it has distributed
    or received. Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        """Start before the first listing."""
        self._seen: Evacuations | None = None
        self._seen_at = -math.inf
        self._held_until = -math.inf
        # The domains that this gateway applied before the era, if it knew no
        # evacuations in force, or those of the first listing.
        self._kept: frozenset[str] = frozenset()
        self._changes: dict[str, bool] = {}

    def on_listing(
        self, now: float, in_force: Evacuations, listed: Evacuations
    ) -> bool:
        """Replace what was seen by a listing of the store.

        Returns false for a listing of an era before the latest known one,
        which is ignored.
        """
        seen = self._seen
        if seen is not None and seen.era == listed.era:
            for domain in seen.domains ^ listed.domains:
                self._changes[domain] = domain in listed.domains
        elif listed.era < in_force.era or (seen and listed.era < seen.era):
            return False
        else:
            if seen is None:
                self._kept = listed.domains
            else:
                self._kept = _changed(self._kept, self._changes)
            self._changes = {}
            is_held = listed.era > in_force.era or _is_unsettled(in_force)
            self._held_until = now + ERA_HOLD_S if is_held else now
        self._seen = listed
        self._seen_at = now
        return True

    def on_changes(
        self,
        now: float,
        era: int,
        revision: int,
        changes: Iterable[DomainChange],
    ) -> bool:
        """Apply the answer of a watch; return false if a listing is needed.

        A listing is needed when the answer is of another era than the last
        listing. ``revision`` is that of the store at the answer.
        """
        if self._seen is None or self._seen.era != era:
            return False
        latest = {change.domain: change.is_evacuated for change in changes}
        self._changes |= latest
        domains = _changed(self._seen.domains, latest)
        self._seen = Evacuations(era, revision, domains)
        self._seen_at = now
        return True

    def answer_due_s(self, now: float, in_force: Evacuations) -> float:
        """Return in how many seconds the store has to answer again.

        It is the end of the time for which the set in force is kept: what
        decides then must not be older. The result is infinite at other times.
        """
        if not self._is_held(now, in_force):
            return math.inf
        return max(0.0, self._held_until - now)

    def to_distribute(
        self, now: float, in_force: Evacuations
    ) -> Evacuations | None:
        """Return the evacuations to distribute, None if there are none.

        What a peer distributed from an earlier point of the store is
        corrected too.
        """
        seen = self._seen
        if seen is None:
            return None
        wanted = seen
        if self._is_held(now, in_force):
            if not in_force.is_known:
                # A process that has just started would replace the set that
                # its peers keep.
                return None
            domains = _changed(in_force.domains, self._changes)
            wanted = seen._replace(domains=domains, is_settled=False)
            if domains == in_force.domains:
                return None
        if wanted.version <= in_force.version and in_force.is_known:
            return None
        is_news = (
            not in_force.is_known
            or wanted.era != in_force.era
            or wanted[2:] != in_force[2:]
        )
        return wanted if is_news else None

    def to_apply(self, in_force: Evacuations) -> Evacuations:
        """Return the evacuations that this gateway applies.

        They are those in force. As long as none are, they are those of the
        first listing with the changes seen since: a later era that lacks one
        of them is held as it is against the set in force.
        """
        if in_force.is_known or self._seen is None:
            return in_force
        domains = _changed(self._kept, self._changes)
        return self._seen._replace(domains=domains)

    def _is_held(self, now: float, in_force: Evacuations) -> bool:
        """Return whether the set in force is kept against the store's."""
        if self._seen is None:
            return False
        if now >= self._held_until and self._seen_at >= self._held_until:
            return False
        is_current = in_force.is_known and in_force.era >= self._seen.era
        return not (is_current and in_force.is_settled)


def _is_unsettled(evacuations: Evacuations) -> bool:
    """Return whether a peer still keeps these against a new era."""
    return evacuations.is_known and not evacuations.is_settled


def _changed(
    domains: frozenset[str], changes: dict[str, bool]
) -> frozenset[str]:
    evacuated = {domain for domain, is_on in changes.items() if is_on}
    return (domains - changes.keys()) | evacuated
