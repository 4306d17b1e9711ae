"""Messages by which agents claim and grant buckets."""

from enum import IntEnum
from typing import NamedTuple


class ItemKind(IntEnum):
    """Kind of a directory entry: a flow, or the state of a request key.

    A ``refused`` request is refused for good. It is not known whether an
    ``unknown`` one has run.
    """

    flow = 1
    running = 2
    done = 3
    refused = 4
    unknown = 5


class DirectoryEntry(NamedTuple):
    """The agent that holds a flow or the record of a request key.

    ``item`` is the xxhash64 of the five-tuple or of the request key, seeded
    with the hash of the service's name; ``attempt`` is the highest known attempt, 0 for flows. ``issued_at`` is
    the Unix time in seconds at which the request was issued, 0 for flows.
    """

    bucket: int
    item: int
    kind: ItemKind
    holder: str
    holder_incarnation: int
    attempt: int
    issued_at: float


class SeenTerm(NamedTuple):
    """Highest incarnation and term of a target that an agent knows."""

    target: str
    incarnation: int
    term: int


class ClaimBuckets(NamedTuple):
    """Request to a sibling to grant ownership of some buckets.

    ``claim_id`` increases over all incarnations of the claimant and stays
    the same until the claim is restarted or the claimant grants or loses the
    bucket; the owner keeps it to match late replies. ``round_number``
    increases when the claimant must ask all siblings again, because one of
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
    """A bucket transferred by its owner.

    ``horizon`` is the Unix time in seconds from which the owner knew every
    request key of the bucket.
    """

    bucket: int
    horizon: float


class ClaimReply(NamedTuple):
    """A sibling's reply to a claim, with a decision for each bucket.

    ``incarnation`` and ``term`` are those of the sibling. ``granted``,
    ``owned`` and ``contested`` are buckets: those granted to the claimant,
    those denied because the sibling owns them, and those denied because it
    claims them as well. ``transferred`` lists granted buckets with their
    horizon, and ``entries`` are the known items of the granted buckets.
    ``terms`` lists the incarnations and terms of other targets that the
    sibling knows, so that a claimant that joined later fences the right term.
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
