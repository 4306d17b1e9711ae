"""Decisions of an agent about the requests of its service.

The table answers for keys whose bucket the agent owns and for keys that an
owner placed on the agent. It writes the record before anything runs, so
that a key never starts twice, and refuses only what it can remember.

A refusal may be told to an asker of a higher attempt than the one that
was refused. All attempts up to the highest that was seen are refused
together then, which is why an owner notes an attempt before it relays it.
"""

from collections.abc import Collection, Iterator

from trefoilhaven_core.ownership.messages import DirectoryEntry, ItemKind
from trefoilhaven_core.requests.decisions import (
    CLOCK_ERROR_S,
    Conclude,
    Decision,
    Follow,
    Reason,
    Request,
    RunHere,
    Settled,
    Standing,
    no_verdict,
    not_run,
    unknown,
)
from trefoilhaven_core.requests.entries import RecordState
from trefoilhaven_core.requests.stores import (
    DEFAULT_LIMITS,
    Agent,
    RecordStore,
    StoreLimits,
)


class RequestTable:
    """Decides about each request of one service at one agent.

    A decision of ``RunHere`` with a record, a hand-off or a relay is ended
    by exactly one of ``on_finished``, ``on_refused``, ``on_lost`` and
    ``on_unreachable``, which return the newest asker.
    """

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        """Start empty for the agent beside ``target``."""
        self._agent = Agent(service, target, incarnation)
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
        standing: Standing,
    ) -> Decision:
        """Decide about a request that a balancer sent.

        ``now`` is the monotonic and ``wall`` the Unix time in seconds.
        """
        self._store.advance(wall)
        rejected = self._reject(request)
        if rejected is not None:
            return rejected
        item = self._store.item_of(request.key)
        known = self._decide_known(item, request, standing)
        if known is not None:
            return known
        if request.idempotent:
            return RunHere(recorded=False)
        if not standing.may_decide:
            return no_verdict(Reason.not_owner)
        listed = self._decide_listed(item, request, standing)
        if listed is None and request.issued_at > wall + CLOCK_ERROR_S:
            return unknown(Reason.future)
        return listed or self._decide_new(item, request, standing.horizon)

    def on_run(
        self,
        now: float,
        wall: float,
        request: Request,
        follow_only: bool,
        holder_incarnation: int,
    ) -> Decision:
        """Decide about a request that an owner placed or relays.

        Balancers place idempotent requests with a ``holder_incarnation``
        of 0, which means any. *Not run* as the answer to a placement tells
        the owner that it may place the attempt on another agent.
        """
        self._store.advance(wall)
        rejected = self._reject(request)
        if rejected is not None:
            return rejected
        if holder_incarnation not in {0, self._agent.incarnation}:
            return no_verdict(Reason.wrong_incarnation)
        item = self._store.item_of(request.key)
        known = self._run_known(item, request, follow_only)
        if known is not None:
            return known
        if follow_only:
            return no_verdict(Reason.no_record)
        if request.idempotent:
            return RunHere(recorded=False)
        if not holder_incarnation:
            return no_verdict(Reason.unplaced)
        return self._store.admit(item, request, placed=True)

    def on_started(self, key: str, lease_valid: bool) -> bool:
        """Return whether the target is to be given the request now.

        True at most once for a request. Without a valid lease only placed requests start, because their
        owner has checked its own. The others are to be refused.
        """
        record = self._store.find(self._store.item_of(key))
        if record is None or record.state != RecordState.running:
            return False
        if not lease_valid and not record.placed:
            return False
        record.state = RecordState.started
        return True

    def on_finished(self, key: str, answer: bytes) -> Settled:
        """Note the whole answer of a request that ran here or was relayed."""
        return self._store.finish(self._store.item_of(key), answer)

    def on_refused(
        self,
        key: str,
        attempt: int,
        reason: str,
        retry_after_s: float = 0,
    ) -> Settled:
        """Note that an open request did not and will not run.

        All attempts up to the highest seen one are refused. A refusal that
        can't be remembered is reported as unknown.
        """
        answer = not_run(reason, retry_after_s)
        return self._store.refuse_open(
            self._store.item_of(key), attempt, answer
        )

    def on_lost(self, key: str) -> Settled:
        """Note that nobody will learn whether the request ran."""
        return self._store.lose(self._store.item_of(key))

    def on_handed_off(
        self,
        key: str,
        holder: str,
        incarnation: int,
        standing: Standing,
    ) -> bool:
        """Note the sibling that is about to be given the request.

        Returns False, and notes nothing, unless the agent is the leased
        owner and nothing of the request runs. After a refusal by one
        sibling the request may be handed to another or taken back, but
        never to the same one again.
        """
        record = self._store.find(self._store.item_of(key))
        if record is None or record.placed or not record.is_open:
            return False
        if record.state == RecordState.started or not standing.may_decide:
            return False
        if holder == self._agent.target:
            record.state = RecordState.running
            record.holder = ''
        else:
            record.relay_to(holder, incarnation)
        return True

    def on_unreachable(self, key: str) -> Settled:
        """Note that the holder of a relayed request did not answer.

        The outcome is unknown, but a later ask is relayed again.
        """
        record = self._store.find(self._store.item_of(key))
        if record is None or record.state != RecordState.relaying:
            return Settled(0, unknown(Reason.lost))
        record.state = RecordState.remote
        return Settled(record.asker, unknown(Reason.lost))

    def items(self, buckets: Collection[int]) -> Iterator[DirectoryEntry]:
        """Iterate over the entries of some buckets for the hand-over."""
        return self._store.entries(buckets)

    def set_retention(self, retention_s: float) -> None:
        """Change the retention in seconds."""
        self._store.set_retention(retention_s)

    def tick(self, now: float, wall: float) -> None:
        """Drop what is past the retention; nothing is dropped earlier."""
        self._store.advance(wall)
        self._store.drop_expired()

    def _reject(self, request: Request) -> Conclude | None:
        if request.service != self._agent.service:
            return no_verdict(Reason.wrong_service)
        return None if request.is_valid else unknown(Reason.malformed)

    def _decide_known(
        self,
        item: int,
        request: Request,
        standing: Standing,
    ) -> Decision | None:
        if request.attempt <= self._refusals.final(item):
            return not_run(Reason.refused)
        record = self._store.find(item)
        if record is None:
            return None
        settled = self._store.answer_settled(item, record, request)
        if settled is not None:
            return settled
        if standing.may_decide:
            # A placed request is the agent's own once it owns the bucket.
            record.placed = False
        elif request.attempt > record.attempt or not record.is_open:
            return no_verdict(Reason.not_owner)
        unseen = self._store.is_unseen(request, record.attempt, standing)
        if record.holder and unseen:
            return unknown(Reason.unseen)
        if record.is_open:
            return Follow(self._store.note(record, request))
        self._store.note(record, request)
        return record.relay_to(record.holder, record.holder_incarnation)

    def _decide_listed(
        self,
        item: int,
        request: Request,
        standing: Standing,
    ) -> Decision | None:
        entry = standing.entry
        if entry is None or entry.kind == ItemKind.flow:
            return None
        if entry.attempt <= self._refusals.final(item):
            # The holder has refused since the entry was written.
            return None
        if entry.kind == ItemKind.refused:
            if request.attempt <= entry.attempt:
                return not_run(Reason.refused)
            return None
        if entry.kind == ItemKind.unknown or entry.holder == self._agent.target:
            # An own record was dropped, or was one of an older incarnation.
            return unknown(Reason.lost)
        if self._store.is_unseen(request, entry.attempt, standing):
            return unknown(Reason.unseen)
        return self._store.relay(item, request, entry)

    def _decide_new(
        self,
        item: int,
        request: Request,
        horizon: float,
    ) -> RunHere | Conclude:
        if request.issued_at < horizon:
            return unknown(Reason.before_horizon)
        if request.attempt <= self._refusals.placed(item):
            return unknown(Reason.refused_placement)
        return self._store.admit(item, request, placed=False)

    def _run_known(
        self,
        item: int,
        request: Request,
        follow_only: bool,
    ) -> Decision | None:
        refused = self._refusals.final(item)
        if request.attempt <= refused:
            return not_run(Reason.refused)
        if request.attempt <= self._refusals.placed(item):
            return no_verdict(Reason.refused_placement)
        record = self._store.find(item)
        if record is not None:
            settled = self._store.answer_settled(item, record, request)
            if settled is not None:
                return settled
            if record.is_here:
                return Follow(self._store.note(record, request))
            # Following a relay could close a circle of relays.
            return no_verdict(Reason.no_record)
        if follow_only and refused:
            return self._store.refuse(item, request, Reason.refused, False)
        return None
