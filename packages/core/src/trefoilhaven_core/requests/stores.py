"""Storage of an agent's request records, refusals and kept answers.

The store bounds memory, applies the retention and notes outcomes. Which
request becomes a record is decided in ``records``.
"""

from collections.abc import Collection, Iterator
from typing import Final, NamedTuple

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.requests.decisions import (
    Conclude,
    Reason,
    RelayTo,
    Replay,
    Request,
    RunHere,
    Settled,
    Standing,
    no_verdict,
    not_run,
    unknown,
)
from trefoilhaven_core.requests.entries import (
    KIND_OF_STATE,
    Record,
    RecordState,
    digest_key,
    first_seen,
)
from trefoilhaven_core.requests.kept import KeptAnswers
from trefoilhaven_core.requests.refusals import MAX_REFUSALS, RefusalTable
from trefoilhaven_core.routing.tables import bucket_of, hash_item

MAX_RECORDS: Final = 10_000

RETENTION_S: Final = 600.0

# Share of the retention between two searches for expired records. A search
# of full tables takes about 17 ms, too much for every tick.
_SEARCH_SHARE: Final = 1 / 60

# A hint for callers that were refused because a table is full.
FULL_RETRY_AFTER_S: Final = 1.0


class Agent(NamedTuple):
    """The agent whose requests are recorded."""

    service: str
    target: str
    incarnation: int


class StoreLimits(NamedTuple):
    """Limits of a store; the retention is in seconds."""

    retention_s: float = RETENTION_S
    records: int = MAX_RECORDS
    refusals: int = MAX_REFUSALS


DEFAULT_LIMITS: Final = StoreLimits()


class RecordStore:
    """Records, refusals and kept answers by key hash."""

    def __init__(self, agent: Agent, limits: StoreLimits) -> None:
        """Start empty."""
        self._agent = agent
        self._limits = limits
        self._records: dict[int, Record] = {}
        self._kept = KeptAnswers()
        self._wall = 0.0
        # Nothing issued before this Unix time is remembered any more.
        self._dropped_before = 0.0
        self._next_search = 0.0
        self.refusals = RefusalTable(limits.refusals)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def advance(self, wall: float) -> None:
        """Note the wall clock; one that is set back revives no key."""
        self._wall = max(self._wall, wall)

    def item_of(self, key: str) -> int:
        """Return the hash of a request key."""
        return hash_item(self._agent.service, key.encode())

    def find(self, item: int) -> Record | None:
        """Return the record of a key hash, or None."""
        return self._records.get(item)

    def is_expired(self, request: Request) -> bool:
        """Return whether what was known of a request may be dropped."""
        return request.issued_at < max(self._oldest(), self._dropped_before)

    def is_unseen(
        self,
        request: Request,
        known_attempt: int,
        standing: Standing,
    ) -> bool:
        """Return whether another owner may know more of the attempt.

        This holds for an attempt above the known one if its record may be
        dropped, or if an owner that is lost may have seen it.
        """
        if request.attempt <= known_attempt:
            return False
        if request.issued_at < standing.horizon:
            return True
        return self.is_expired(request)

    def note(self, record: Record, request: Request) -> int:
        """Make the asker the newest one and return the one before it."""
        return record.note(request, self._wall)

    def admit(
        self,
        item: int,
        request: Request,
        placed: bool,
    ) -> RunHere | Conclude:
        """Write the record of new work, or tell why there is none."""
        if self.is_expired(request):
            return unknown(Reason.past_retention)
        if self._is_full():
            return self.refuse(item, request, Reason.table_full, placed)
        self._records[item] = Record(request, placed, self._wall)
        return RunHere(recorded=True)

    def relay(
        self,
        item: int,
        request: Request,
        entry: DirectoryEntry,
    ) -> RelayTo | Conclude:
        """Write the record of a request that another agent holds."""
        if self._is_full():
            return no_verdict(Reason.table_full)
        record = Record(request, placed=False, wall=self._wall)
        record.raise_attempt(entry.attempt, entry.issued_at)
        self._records[item] = record
        return record.relay_to(entry.holder, entry.holder_incarnation)

    def refuse(
        self,
        item: int,
        request: Request,
        reason: str,
        placed: bool,
    ) -> Conclude:
        """Refuse a request without a record."""
        keep_from = first_seen(request, self._wall)
        if self.refusals.remember(item, request.attempt, keep_from, placed):
            return not_run(reason, FULL_RETRY_AFTER_S)
        return no_verdict(Reason.refusals_full)

    def answer_settled(
        self,
        item: int,
        record: Record,
        request: Request,
    ) -> Replay | Conclude | None:
        """Return the answer that a record already decides, or None."""
        if record.digest != digest_key(request.key):
            return unknown(Reason.hash_collision)
        if record.state == RecordState.unknown:
            return unknown(Reason.lost)
        if record.state != RecordState.done:
            return None
        answer = self._kept.find(item)
        if answer is None:
            return unknown(Reason.not_kept)
        return Replay(answer)

    def finish(self, item: int, answer: bytes) -> Settled:
        """Note and keep the whole answer."""
        record = self._records.get(item)
        if record is None or record.state == RecordState.done:
            return Settled(0, Replay(answer))
        record.settle(RecordState.done, self._wall)
        self._kept.keep(item, answer)
        return Settled(record.asker, Replay(answer))

    def refuse_open(
        self,
        item: int,
        attempt: int,
        answer: Conclude,
    ) -> Settled:
        """Turn the record of an open request into a refusal."""
        record = self._records.get(item)
        if record is None or not record.is_open:
            return Settled(0, unknown(Reason.lost))
        if not self.refusals.remember(
            item,
            max(attempt, record.attempt),
            record.keep_from,
            record.placed,
        ):
            record.settle(RecordState.unknown, self._wall)
            return Settled(record.asker, unknown(Reason.refusals_full))
        self._records.pop(item)
        return Settled(record.asker, answer)

    def lose(self, item: int) -> Settled:
        """Note that nobody will learn whether an open request ran."""
        record = self._records.get(item)
        if record is None or not record.is_open:
            return Settled(0, unknown(Reason.lost))
        record.settle(RecordState.unknown, self._wall)
        return Settled(record.asker, unknown(Reason.lost))

    def entries(self, buckets: Collection[int]) -> Iterator[DirectoryEntry]:
        """Iterate over the entries of some buckets for the hand-over."""
        for item, record in self._records.items():
            if bucket_of(item) in buckets:
                yield self._entry(item, record)
        agent = self._agent
        for item, refusal in self.refusals:
            if refusal.final and bucket_of(item) in buckets:
                yield DirectoryEntry(
                    bucket_of(item),
                    item,
                    ItemKind.refused,
                    agent.target,
                    agent.incarnation,
                    refusal.final,
                    refusal.keep_from,
                )

    def set_retention(self, retention_s: float) -> None:
        """Change the retention in seconds.

        A longer retention does not bring back what was dropped before.
        """
        self._limits = self._limits._replace(retention_s=retention_s)

    def drop_expired(self) -> None:
        """Drop what is past the retention; nothing is dropped earlier.

        Calls that follow soon after another do nothing.
        """
        if self._wall < self._next_search:
            return
        retention_s = self._limits.retention_s
        self._next_search = self._wall + retention_s * _SEARCH_SHARE
        oldest = self._oldest()
        self._dropped_before = max(self._dropped_before, oldest)
        expired = [
            item
            for item, record in self._records.items()
            if not record.is_open and record.keep_from < oldest
        ]
        for item in expired:
            self._records.pop(item)
            self._kept.drop(item)
        self.refusals.drop_before(oldest)

    def _oldest(self) -> float:
        return self._wall - self._limits.retention_s

    def _is_full(self) -> bool:
        return len(self._records) >= self._limits.records

    def _entry(self, item: int, record: Record) -> DirectoryEntry:
        holder, incarnation = self._agent.target, self._agent.incarnation
        if record.holder:
            holder, incarnation = record.holder, record.holder_incarnation
        return DirectoryEntry(
            bucket_of(item),
            item,
            KIND_OF_STATE[record.state],
            holder,
            incarnation,
            record.attempt,
            record.keep_from,
        )
