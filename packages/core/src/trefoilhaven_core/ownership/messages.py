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


class ClaimBuckets(NamedTuple):
    """Asks a sibling for its permission to own some buckets."""

    service: str
    claimant: str
    incarnation: int
    term: int
    claim_id: int
    registry_version: int
    buckets: tuple[int, ...]


class Ceded(NamedTuple):
    """A bucket handed over by its owner.

    ``horizon`` is the Unix time in seconds from which on the owner knew
    every request key of the bucket.
    """

    bucket: int
    horizon: float


class ClaimReply(NamedTuple):
    """A sibling's answer to a claim, for each bucket of the claim."""

    service: str
    sibling: str
    incarnation: int
    term: int
    claim_id: int
    granted: tuple[int, ...]
    ceded: tuple[Ceded, ...]
    owned: tuple[int, ...]
    contested: tuple[int, ...]
    entries: tuple[DirectoryEntry, ...]
