"""Messages of the ownership slice."""

from enum import IntEnum
from typing import NamedTuple


class ItemKind(IntEnum):
    """Kind of a directory entry."""

    flow = 1
    running = 2
    done = 3
    refused = 4
    unknown = 5


class DirectoryEntry(NamedTuple):
    """Where a flow or the record of a request key is held.

    ``item`` is the xxhash64 of the five-tuple or of the request key;
    ``attempt`` is the highest attempt that was seen, 0 for flows.
    """

    bucket: int
    item: int
    kind: ItemKind
    holder: str
    holder_incarnation: int
    attempt: int
    issued_at: float


class SeenTerm(NamedTuple):
    """Highest incarnation and term that an agent has seen of a target."""

    target: str
    incarnation: int
    term: int


class ClaimBuckets(NamedTuple):
    """Asks a sibling for its permission to own some buckets.

    ``claim_id`` rises over all incarnations of the claimant and stays the
    same until the claimant owns or grants the bucket. ``round_number``
    rises when the claimant must ask all siblings again, because one of
    them was fenced or restarted and the others may hold newer items.
    """

    service: str
    claimant: str
    incarnation: int
    term: int
    claim_id: int
    round_number: int
    registry_version: int
    buckets: tuple[int, ...]


class TransferredBucket(NamedTuple):
    """A bucket handed over by its owner.

    ``horizon`` is the Unix time in seconds from which on the owner knew
    every request key of the bucket.
    """

    bucket: int
    horizon: float


class ClaimReply(NamedTuple):
    """A sibling's answer to a claim, for each bucket of the claim.

    ``incarnation`` and ``term`` are those of the sibling. ``terms`` lists
    what the sibling has seen of other targets, so that a claimant that
    joined later fences the right term.
    """

    service: str
    sibling: str
    incarnation: int
    term: int
    claim_id: int
    round_number: int
    granted: tuple[int, ...]
    transferred: tuple[TransferredBucket, ...]
    owned: tuple[int, ...]
    contested: tuple[int, ...]
    entries: tuple[DirectoryEntry, ...]
    terms: tuple[SeenTerm, ...] = ()
