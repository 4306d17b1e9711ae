"""Decisions of an agent about the requests of its service.

The table decides about keys whose bucket the agent owns and keys that an
owner placed on the agent. It records a request before it runs, so that no
key starts twice, and refuses only if it can store the refusal.

A refusal may reach the waiter of a higher attempt. It therefore covers all
attempts up to the highest seen, which owners record before they relay them.
"""

from collections.abc import Collection, Iterator

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.requests.decisions import (
    CLOCK_ERROR_S,
    Conclude,
    Decision,
    Follow,
    KeyOwnership,
    Reason,
    Request,
    RunHere,
    Settled,
    no_verdict,
    not_run,
    unknown,
)
from trefoilhaven_core.requests.entries import RecordState
from trefoilhaven_core.requests.stores import (
    DEFAULT_LIMITS,
    AgentIdentity,
    RecordStore,
    StoreLimits,
)


class RequestTable:
    """Decides about each request of one service at one agent.

    Exactly one call of ``on_finished``, ``on_refused``, ``on_lost`` or
    ``on_unreachable`` ends a recorded ``RunHere``, a hand-off or a relay.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        """Start empty for the agent beside ``target``."""
        self._agent = AgentIdentity(service, target, incarnation)
        self._store = RecordStore(self._agent, limits)
        self._refusals = self._store.refusals

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._store)

    def on_decide(
        self,
        now: float,
        wall: float,
        request: Request,
        ownership: KeyOwnership,
    ) -> Decision:
        """Decide about a request from a balancer.

        ``now`` is the monotonic and ``wall`` the Unix time in seconds.
        """
        self._store.advance_clock(wall)
        rejected = self._reject(request)
        if rejected is not None:
            return rejected
        key_hash = self._store.hash_key(request.key)
        known = self._decide_known(key_hash, request, ownership)
        if known is not None:
            return known
        if request.idempotent:
            return RunHere(recorded=False)
        if not ownership.may_decide:
            return no_verdict(Reason.not_owner)
        listed = self._decide_from_directory(key_hash, request, ownership)
        if listed is None and request.issued_at > wall + CLOCK_ERROR_S:
            return unknown(Reason.future)
        return listed or self._decide_new(key_hash, request, ownership.horizon)

    def on_run(
        self,
        now: float,
        wall: float,
        request: Request,
        follow_only: bool,
        holder_incarnation: int,
    ) -> Decision:
        """Decide about a request that an owner placed or relays.

        Balancers send idempotent requests with ``holder_incarnation`` 0, any.
        *Not run* tells the owner that it may place the attempt elsewhere.
        """
        self._store.advance_clock(wall)
        rejected = self._reject(request)
        if rejected is not None:
            return rejected
        if holder_incarnation not in {0, self._agent.incarnation}:
            return no_verdict(Reason.wrong_incarnation)
        key_hash = self._store.hash_key(request.key)
        known = self._run_known(key_hash, request, follow_only)
        if known is not None:
            return known
        if follow_only:
            return no_verdict(Reason.no_record)
        if request.idempotent:
            return RunHere(recorded=False)
        if not holder_incarnation:
            return no_verdict(Reason.not_placed_by_owner)
        return self._store.admit(key_hash, request, placed=True)

    def on_started(self, key: str, lease_valid: bool) -> bool:
        """Return whether to send the request to the target now.

        True at most once per request. Without a valid lease only placed
        requests start, as their owner checked its own; refuse the others.
        """
        record = self._store.find(self._store.hash_key(key))
        if record is None or record.state != RecordState.running:
            return False
        if not lease_valid and not record.placed:
            return False
        record.state = RecordState.started
        return True

    def on_finished(self, key: str, answer: bytes) -> Settled:
        """Record the complete answer of a local or relayed request."""
        return self._store.finish(self._store.hash_key(key), answer)

    def on_refused(
        self,
        key: str,
        attempt: int,
        reason: str,
        retry_after_s: float = 0,
    ) -> Settled:
        """Record that an open request has not run and never will.

        All attempts up to the highest seen are refused. The outcome is
        unknown when the refusal can't be stored.
        """
        answer = not_run(reason, retry_after_s)
        return self._store.refuse_open(
            self._store.hash_key(key), attempt, answer
        )

    def on_lost(self, key: str) -> Settled:
        """Record that the outcome will never be known."""
        return self._store.mark_unknown(self._store.hash_key(key))

    def on_handed_off(
        self,
        key: str,
        holder: str,
        incarnation: int,
        ownership: KeyOwnership,
    ) -> bool:
        """Record the sibling to which the request is about to be sent.

        Returns False without a change unless the agent is the leased owner of
        an open request that was not placed here and has not started. After a
        refusal callers pass another holder, never a sibling that refused.
        """
        record = self._store.find(self._store.hash_key(key))
        if record is None or record.placed or not record.is_open:
            return False
        if record.state == RecordState.started or not ownership.may_decide:
            return False
        if holder == self._agent.target:
            record.state = RecordState.running
            record.holder = ''
        else:
            record.relay_to(holder, incarnation)
        return True

    def on_unreachable(self, key: str) -> Settled:
        """Record that the holder of a relayed request did not answer.

        The outcome is unknown for now; a repeat is relayed again.
        """
        record = self._store.find(self._store.hash_key(key))
        if record is None or record.state != RecordState.relaying:
            return Settled(0, unknown(Reason.outcome_unknown))
        record.state = RecordState.remote
        return Settled(record.waiter, unknown(Reason.outcome_unknown))

    def directory_entries(
        self, buckets: Collection[int]
    ) -> Iterator[DirectoryEntry]:
        """Iterate over the directory entries of buckets to transfer."""
        return self._store.directory_entries(buckets)

    def set_retention(self, retention_s: float) -> None:
        """Change the retention in seconds."""
        self._store.set_retention(retention_s)

    def tick(self, now: float, wall: float) -> None:
        """Drop what is past the retention, never earlier."""
        self._store.advance_clock(wall)
        self._store.drop_expired()

    def _reject(self, request: Request) -> Conclude | None:
        if request.service != self._agent.service:
            return no_verdict(Reason.wrong_service)
        return None if request.is_valid else unknown(Reason.malformed)

    def _decide_known(
        self,
        key_hash: int,
        request: Request,
        ownership: KeyOwnership,
    ) -> Decision | None:
        if request.attempt <= self._refusals.final_attempt(key_hash):
            return not_run(Reason.refused)
        record = self._store.find(key_hash)
        if record is None:
            return None
        settled = self._store.settled_answer(key_hash, record, request)
        if settled is not None:
            return settled
        if ownership.may_decide:
            # Once the agent owns the bucket, a placed request is its own.
            record.placed = False
        elif request.attempt > record.attempt or not record.is_open:
            return no_verdict(Reason.not_owner)
        lost_run = self._store.may_have_lost_run(
            request, record.attempt, ownership
        )
        if record.holder and lost_run:
            return unknown(Reason.lost_run)
        if record.is_open:
            return Follow(self._store.replace_waiter(record, request))
        self._store.replace_waiter(record, request)
        return record.relay_to(record.holder, record.holder_incarnation)

    def _decide_from_directory(
        self,
        key_hash: int,
        request: Request,
        ownership: KeyOwnership,
    ) -> Decision | None:
        entry = ownership.entry
        if entry is None or entry.kind == ItemKind.flow:
            return None
        if entry.attempt <= self._refusals.final_attempt(key_hash):
            # The entry is older than the refusal by its holder.
            return None
        if entry.kind == ItemKind.refused:
            if request.attempt <= entry.attempt:
                return not_run(Reason.refused)
            return None
        if entry.kind == ItemKind.unknown or entry.holder == self._agent.target:
            # The agent's record was dropped or lost in a restart.
            return unknown(Reason.outcome_unknown)
        if self._store.may_have_lost_run(request, entry.attempt, ownership):
            return unknown(Reason.lost_run)
        return self._store.relay(key_hash, request, entry)

    def _decide_new(
        self,
        key_hash: int,
        request: Request,
        horizon: float,
    ) -> RunHere | Conclude:
        if request.issued_at < horizon:
            return unknown(Reason.before_horizon)
        if request.attempt <= self._refusals.placement_attempt(key_hash):
            return unknown(Reason.refused_placement)
        return self._store.admit(key_hash, request, placed=False)

    def _run_known(
        self,
        key_hash: int,
        request: Request,
        follow_only: bool,
    ) -> Decision | None:
        refused = self._refusals.final_attempt(key_hash)
        if request.attempt <= refused:
            return not_run(Reason.refused)
        if request.attempt <= self._refusals.placement_attempt(key_hash):
            return no_verdict(Reason.refused_placement)
        record = self._store.find(key_hash)
        if record is not None:
            settled = self._store.settled_answer(key_hash, record, request)
            if settled is not None:
                return settled
            if record.is_local:
                return Follow(self._store.replace_waiter(record, request))
            # Following a relayed request could form a relay loop.
            return no_verdict(Reason.no_record)
        if follow_only and refused:
            return self._store.refuse(key_hash, request, Reason.refused, False)
        return None
