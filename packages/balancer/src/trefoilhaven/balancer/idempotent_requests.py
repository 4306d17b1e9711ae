"""Idempotent requests: choice of the target, retries and hedging."""

import asyncio
import random
from typing import Final, NamedTuple

from grpclib.server import Stream

from trefoilhaven.balancer.agent_calls import (
    AgentCall,
    CallFailed,
    make_closing_part,
    load_of,
)
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.requests.budgets import HedgePolicy, RetryBudget
from trefoilhaven_core.routing.choices import (
    Choice,
    ChoiceSettings,
    TargetChooser,
)
from trefoilhaven_core.routing.waits import Candidate
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.channels import ChannelPool
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    CallerRequest,
    PlacedRequest,
)

# Assumed round-trip time to another failure domain, in seconds; it is not
# measured.
LINK_COST_S: Final = 0.008

NO_TARGET_RETRY_S: Final = 0.1

# Longest wait for parts of a request's copies before they are evaluated.
HEDGE_CHECK_INTERVAL_S: Final = 0.02


class _ServiceState:
    """Chooser, retry budget and hedging of one service.

    ``first_seen`` has the incarnation of each target and the time at which it
    was first seen.
    """

    def __init__(self, settings: ChoiceSettings, retry_share: float) -> None:
        self.chooser = TargetChooser(settings)
        self.budget = RetryBudget(retry_share)
        self.hedging = HedgePolicy(self.budget)
        self.first_seen: dict[str, tuple[int, float]] = {}


class _Copy(NamedTuple):
    """One copy of a request, sent to a target."""

    choice: Choice
    call: AgentCall
    sent_at: float


class IdempotentRequestHandler:
    """Serves idempotent requests of all services."""

    def __init__(
        self,
        failure_domain: str,
        state: BalancerState,
        channels: ChannelPool,
        rng: random.Random,
    ) -> None:
        self._domain = failure_domain
        self._state = state
        self._channels = channels
        self._rng = rng
        self._services: dict[str, _ServiceState] = {}

    async def serve(
        self,
        stream: Stream[CallerRequest, AnswerPart],
        placed: PlacedRequest,
        deadline: float,
    ) -> AnswerPart:
        """Send the chunks of the answer and return its closing part.

        Failed attempts are repeated at other targets until the monotonic
        ``deadline``, within the retry budget of the service.
        """
        req = placed.request
        service = self._service(req.service)
        service.budget.on_request()
        tried: set[str] = set()
        last = make_closing_part(
            req.service,
            req.key,
            pb.OUTCOME_UNKNOWN,
            'no target answered before the deadline',
        )
        while monotonic() < deadline:
            copy = self._send_copy(service, placed, deadline, tried)
            if copy is None:
                await asyncio.sleep(NO_TARGET_RETRY_S)
                tried.clear()
                continue
            tried.add(copy.choice.target)
            answer = await self._read_first_answer(
                service, copy, placed, deadline
            )
            closing = self._record_outcome(service, answer)
            if closing is not None:
                last = closing
                if closing.closing.outcome == pb.OUTCOME_DONE:
                    for chunk in answer.chunks:
                        await stream.send_message(chunk)
                    return closing
            if not service.budget.take():
                return last
        return last

    async def _read_first_answer(
        self,
        service: _ServiceState,
        copy: _Copy,
        placed: PlacedRequest,
        deadline: float,
    ) -> '_CopyAnswer':
        """Return the first complete answer, or else that of the first copy.

        Chunks are not relayed before, since the chunks of two copies must
        not be mixed.
        """
        running = [_CopyAnswer(copy)]
        hedged = False
        try:
            while monotonic() < deadline:
                for answer in running:
                    await answer.read(HEDGE_CHECK_INTERVAL_S / len(running))
                ended = [answer for answer in running if answer.ended]
                best = [answer for answer in ended if answer.is_done]
                if best or len(ended) == len(running):
                    return (best or ended)[0]
                if not hedged:
                    second = self._hedge(service, copy, placed, deadline)
                    hedged = second is not None
                    running.extend([second] if second else [])
            return running[0]
        finally:
            for answer in running:
                answer.copy.call.cancel()
                if not answer.ended:
                    service.chooser.on_cancelled(answer.copy.choice.target)

    def _hedge(
        self,
        service: _ServiceState,
        copy: _Copy,
        placed: PlacedRequest,
        deadline: float,
    ) -> '_CopyAnswer | None':
        """Send a second copy to another target if the hedge policy allows."""
        if not service.hedging.should_hedge(
            monotonic(),
            copy.sent_at,
            idempotent=True,
            copies=1,
        ):
            return None
        second = self._send_copy(
            service, placed, deadline, {copy.choice.target}
        )
        return _CopyAnswer(second) if second else None

    def _send_copy(
        self,
        service: _ServiceState,
        placed: PlacedRequest,
        deadline: float,
        tried: set[str],
    ) -> _Copy | None:
        now = monotonic()
        name = placed.request.service
        self._update_chooser(service, now, name)
        choice = service.chooser.choose(now, self._rng, tried)
        member = choice and self._state.store.member(name, choice.target)
        if choice is None or member is None:
            return None
        call = AgentCall(
            self._channels.get(member.rpc),
            placed,
            to_owner=False,
            timeout_s=max(deadline - now, 0.01),
        )
        return _Copy(choice, call, now)

    def _record_outcome(
        self, service: _ServiceState, answer: '_CopyAnswer'
    ) -> AnswerPart | None:
        now = monotonic()
        choice = answer.copy.choice
        closing = answer.closing
        if closing is None:
            service.chooser.on_failure(now, choice.target)
            return None
        load = load_of(closing.closing)
        if closing.closing.outcome == pb.OUTCOME_DONE:
            elapsed = now - answer.copy.sent_at
            service.chooser.on_answer(now, choice, elapsed, load)
            service.hedging.on_answer_time(elapsed)
        elif closing.closing.outcome == pb.OUTCOME_NOT_RUN:
            service.chooser.on_shed(now, choice.target, load)
        else:
            service.chooser.on_failure(now, choice.target)
        return closing

    def _service(self, name: str) -> _ServiceState:
        service = self._services.get(name)
        if service is None:
            cfg = self._state.configuration(name)
            domains = {
                member.failure_domain
                for member in self._state.store.members(name)
            }
            settings = ChoiceSettings(
                self._domain,
                dict.fromkeys(domains - {self._domain}, LINK_COST_S),
                cfg.warm_up_s if cfg else 0,
                cfg.eject_share if cfg else 0,
            )
            share = cfg.requests.retry_budget if cfg else 0
            service = _ServiceState(settings, share)
            self._services[name] = service
        return service

    def _update_chooser(
        self, service: _ServiceState, now: float, name: str
    ) -> None:
        members = self._state.store.eligible(name)
        for member in members:
            known = service.first_seen.get(member.target)
            if known is None or known[0] != member.incarnation:
                service.first_seen[member.target] = (member.incarnation, now)
        service.chooser.update(
            Candidate(
                member.target,
                member.failure_domain,
                member.slots,
                service.first_seen[member.target][1],
            )
            for member in members
        )
        for known_load in self._state.loads.loads(
            now, name, limit=len(members)
        ):
            service.chooser.on_report(
                now,
                known_load.target,
                known_load.load,
                known_load.age_s,
            )


class _CopyAnswer:
    """Buffers the parts of one copy's answer."""

    def __init__(self, copy: _Copy) -> None:
        self.copy = copy
        self.chunks: list[AnswerPart] = []
        self.closing: AnswerPart | None = None
        self.ended = False

    @property
    def is_done(self) -> bool:
        """Whether the answer is complete."""
        closing = self.closing
        return (
            closing is not None and closing.closing.outcome == pb.OUTCOME_DONE
        )

    async def read(self, wait_s: float) -> None:
        """Buffer the next part, if it arrives within ``wait_s`` seconds."""
        if self.ended:
            return
        part = await self.copy.call.next_part(wait_s)
        if part is None:
            return
        if isinstance(part, CallFailed):
            self.ended = True
        elif part.HasField('closing'):
            self.closing = part
            self.ended = True
        else:
            self.chunks.append(part)
