"""Storage of an agent's request records, refusals and cached answers.

The store bounds memory, applies the retention and records outcomes.
``RequestTable`` decides which request gets a record.
"""

from collections.abc import Collection, Iterator
from typing import Final, NamedTuple

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.requests.answer_cache import AnswerCache
from trefoilhaven_core.requests.decisions import (
    Conclude,
    KeyOwnership,
    Reason,
    RelayTo,
    Replay,
    Request,
    RunHere,
    Settled,
    no_verdict,
    not_run,
    unknown,
)
from trefoilhaven_core.requests.entries import (
    KIND_OF_STATE,
    Record,
    RecordState,
    digest_key,
    latest_issued_at,
)
from trefoilhaven_core.requests.refusals import MAX_REFUSALS, RefusalTable
from trefoilhaven_core.routing.tables import bucket_of, hash_item

MAX_RECORDS: Final = 10_000

RETENTION_S: Final = 600.0

# Interval between searches for expired records, as a share of the retention.
# A search of full tables takes about 17 ms, too much for every tick.
_EXPIRY_INTERVAL_SHARE: Final = 1 / 60

# Retry hint of the store's own refusals, because the record table is full or a
# lower attempt was refused. The store has no estimate of the queue's wait.
REFUSAL_RETRY_AFTER_S: Final = 1.0


class AgentIdentity(NamedTuple):
    """Identity of the agent whose requests are recorded."""

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
    """Records, refusals and cached answers by key hash."""

    def __init__(self, agent: AgentIdentity, limits: StoreLimits) -> None:
        self._agent = agent
        self._limits = limits
        self._records: dict[int, Record] = {}
        self._answers = AnswerCache()
        self._wall = 0.0
        # Requests issued before this Unix time may have lost their record.
        self._dropped_before = 0.0
        self._next_expiry = 0.0
        self.refusals = RefusalTable(limits.refusals)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def advance_clock(self, wall: float) -> None:
        """Advance the Unix time in seconds; it never goes back.

        Otherwise a wall clock that is set back would revive expired keys.
        """
        self._wall = max(self._wall, wall)

    def hash_key(self, key: str) -> int:
        """Return the hash of a request key."""
        return hash_item(self._agent.service, key.encode())

    def find(self, key_hash: int) -> Record | None:
        """Return the record of a key hash, or None."""
        return self._records.get(key_hash)

    def is_expired(self, request: Request) -> bool:
        """Return whether the record of the request may have been dropped."""
        return request.issued_at < max(self._oldest(), self._dropped_before)

    def may_have_lost_run(
        self,
        request: Request,
        known_attempt: int,
        ownership: KeyOwnership,
    ) -> bool:
        """Return whether the attempt may have run without a known record.

        This holds for an attempt above the known one if its record may have
        been dropped, or if a lost owner may have seen it.
        """
        if request.attempt <= known_attempt:
            return False
        if request.issued_at < ownership.horizon:
            return True
        return self.is_expired(request)

    def replace_waiter(self, record: Record, request: Request) -> int:
        """Set the newest waiter of a record.

        Returns the previous waiter, or 0 if there was none or it is the same.
        """
        return record.replace_waiter(request, self._wall)

    def admit(
        self,
        key_hash: int,
        request: Request,
        placed: bool,
    ) -> RunHere | Conclude:
        """Record a new request, or return why it does not run."""
        if self.is_expired(request):
            return unknown(Reason.past_retention)
        if self._is_full():
            return self.refuse(key_hash, request, Reason.table_full, placed)
        self._records[key_hash] = Record(request, placed, self._wall)
        return RunHere(recorded=True)

    def relay(
        self,
        key_hash: int,
        request: Request,
        entry: DirectoryEntry,
    ) -> RelayTo | Conclude:
        """Record a request that another agent holds, and relay to it."""
        if self._is_full():
            return no_verdict(Reason.table_full)
        record = Record(request, placed=False, wall=self._wall)
        record.raise_attempt(entry.attempt, entry.issued_at)
        self._records[key_hash] = record
        return record.relay_to(entry.holder, entry.holder_incarnation)

    def refuse(
        self,
        key_hash: int,
        request: Request,
        reason: str,
        placed: bool,
    ) -> Conclude:
        """Refuse a request that has no record.

        The outcome is *no verdict* when the refusal can't be stored.
        """
        retention_start = latest_issued_at(request, self._wall)
        if self.refusals.add(
            key_hash, request.attempt, retention_start, placed
        ):
            return not_run(reason, REFUSAL_RETRY_AFTER_S)
        return no_verdict(Reason.refusals_full)

    def settled_answer(
        self,
        key_hash: int,
        record: Record,
        request: Request,
    ) -> Replay | Conclude | None:
        """Return the answer that the record determines, or None."""
        if record.digest != digest_key(request.key):
            return unknown(Reason.hash_collision)
        if record.state == RecordState.unknown:
            return unknown(Reason.outcome_unknown)
        if record.state != RecordState.done:
            return None
        answer = self._answers.find(key_hash)
        if answer is None:
            return unknown(Reason.not_cached)
        return Replay(answer)

    def finish(self, key_hash: int, answer: bytes) -> Settled:
        """Mark a request as done and cache its complete answer."""
        record = self._records.get(key_hash)
        if record is None or record.state == RecordState.done:
            return Settled(0, Replay(answer))
        record.settle(RecordState.done, self._wall)
        self._answers.put(key_hash, answer)
        return Settled(record.waiter, Replay(answer))

    def refuse_open(
        self,
        key_hash: int,
        attempt: int,
        answer: Conclude,
    ) -> Settled:
        """Replace the record of an open request by a refusal.

        The outcome is unknown when the refusal can't be stored.
        """
        record = self._records.get(key_hash)
        if record is None or not record.is_open:
            return Settled(0, unknown(Reason.outcome_unknown))
        if not self.refusals.add(
            key_hash,
            max(attempt, record.attempt),
            record.retention_start,
            record.placed,
        ):
            record.settle(RecordState.unknown, self._wall)
            return Settled(record.waiter, unknown(Reason.refusals_full))
        self._records.pop(key_hash)
        return Settled(record.waiter, answer)

    def mark_unknown(self, key_hash: int) -> Settled:
        """Mark the outcome of an open request as unknown for good."""
        record = self._records.get(key_hash)
        if record is None or not record.is_open:
            return Settled(0, unknown(Reason.outcome_unknown))
        record.settle(RecordState.unknown, self._wall)
        return Settled(record.waiter, unknown(Reason.outcome_unknown))

    def directory_entries(
        self, buckets: Collection[int]
    ) -> Iterator[DirectoryEntry]:
        """Iterate over the directory entries of buckets to transfer."""
        for key_hash, record in self._records.items():
            if bucket_of(key_hash) in buckets:
                yield self._entry(key_hash, record)
        agent = self._agent
        for key_hash, refusal in self.refusals:
            if refusal.final_attempt and bucket_of(key_hash) in buckets:
                yield DirectoryEntry(
                    bucket_of(key_hash),
                    key_hash,
                    ItemKind.refused,
                    agent.target,
                    agent.incarnation,
                    refusal.final_attempt,
                    refusal.retention_start,
                )

    def set_retention(self, retention_s: float) -> None:
        """Change the retention in seconds.

        Keys dropped under a shorter retention stay expired.
        """
        self._limits = self._limits._replace(retention_s=retention_s)

    def drop_expired(self) -> None:
        """Drop records and refusals past the retention, never earlier.

        Open records are kept. A call soon after another does nothing.
        """
        if self._wall < self._next_expiry:
            return
        retention_s = self._limits.retention_s
        self._next_expiry = self._wall + retention_s * _EXPIRY_INTERVAL_SHARE
        oldest = self._oldest()
        self._dropped_before = max(self._dropped_before, oldest)
        expired = [
            key_hash
            for key_hash, record in self._records.items()
            if not record.is_open and record.retention_start < oldest
        ]
        for key_hash in expired:
            self._records.pop(key_hash)
            self._answers.remove(key_hash)
        self.refusals.drop_before(oldest)

    def _oldest(self) -> float:
        return self._wall - self._limits.retention_s

    def _is_full(self) -> bool:
        return len(self._records) >= self._limits.records

    def _entry(self, key_hash: int, record: Record) -> DirectoryEntry:
        holder, incarnation = self._agent.target, self._agent.incarnation
        if record.holder:
            holder, incarnation = record.holder, record.holder_incarnation
        return DirectoryEntry(
            bucket_of(key_hash),
            key_hash,
            KIND_OF_STATE[record.state],
            holder,
            incarnation,
            record.attempt,
            record.retention_start,
        )
