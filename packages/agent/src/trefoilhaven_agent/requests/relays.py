"""Requests handed off to a sibling, or whose record a sibling holds."""

import logging
import random
from typing import Final

from trefoilhaven_agent.requests.answers import AnswerBuffer
from trefoilhaven_agent.requests.runs import QueuedRun, Runner
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.requests.answers import AnswerAssembler, CompleteAnswer
from trefoilhaven_core.requests.answers import Closing as ClosingFacts
from trefoilhaven_core.requests.decisions import RelayTo
from trefoilhaven_core.routing.choices import ChoiceSettings, TargetChooser
from trefoilhaven_core.routing.waits import Candidate
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.channels import CALL_ERRORS, ChannelPool
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_grpc import PlacementStub
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    CallerRequest,
    PlacedRequest,
)

logger = logging.getLogger(__name__)

# Minimum timeout of a call to a sibling, in seconds, for a deadline that is
# about to pass or has passed.
MIN_TIMEOUT_S: Final = 0.01


class _NotDelivered(Exception):
    """The connection failed, so the sibling did not get the request."""


class SiblingRelay:
    """Places requests on siblings and relays the answers of holders."""

    def __init__(
        self,
        state: AgentState,
        runner: Runner,
        channels: ChannelPool,
        rng: random.Random,
    ) -> None:
        """Create the relay; siblings are those of the state's view."""
        self._state = state
        self._runner = runner
        self._channels = channels
        self._rng = rng
        self._chooser = TargetChooser(
            ChoiceSettings(state.cfg.failure_domain, {}),
        )
        self._handed_off = state.runtime.metrics.counter('hand_offs')

    async def place(self, run: QueuedRun) -> None:
        """Run a new request here, or on a sibling with a free slot.

        The hand-off is recorded before the sibling is called. If the
        sibling refuses, the request runs here.
        """
        load = self._state.load()
        if load.busy_slots < self._state.member.slots:
            await self._runner.execute(run)
            return
        sibling = self._choose()
        if sibling is None or not self._record_holder(run, sibling):
            await self._runner.execute(run)
            return
        self._handed_off.add()
        closed = await self._call_or_none(run, sibling)
        self._chooser.on_cancelled(sibling)
        if closed is not None:
            return
        if self._record_holder(run, self._state.cfg.name):
            await self._runner.execute(run)
        else:
            self._runner.refuse(run, 'the lease ended before the start')

    async def follow(self, run: QueuedRun, decision: RelayTo) -> None:
        """Relay the answer of the agent that holds the record."""
        member = self._state.store.member(
            self._state.cfg.service,
            decision.holder,
        )
        if member is None:
            self._give_up(run)
            return
        try:
            # Sends the highest known attempt, which may be above that of the
            # request: the holder refuses lower ones, and such a refusal says
            # nothing about the record.
            outcome = await self._call(
                run,
                member.rpc,
                decision.incarnation,
                follow_only=decision.follow_only,
                attempt=decision.attempt,
            )
        except _NotDelivered:
            self._give_up(run)
            return
        except CALL_ERRORS:
            self._give_up(run)
            return
        if outcome == pb.OUTCOME_NOT_RUN:
            self._runner.refuse(run, 'the holder refused the attempt')
        elif outcome != pb.OUTCOME_DONE:
            self._give_up(run)

    async def _call_or_none(self, run: QueuedRun, sibling: str) -> bool | None:
        """Return True if the answer is closed, None if it has not run."""
        member = self._state.store.member(self._state.cfg.service, sibling)
        if member is None:
            return None
        try:
            outcome = await self._call(
                run,
                member.rpc,
                member.incarnation,
                follow_only=False,
                attempt=run.req.attempt,
            )
        except _NotDelivered:
            return None
        except CALL_ERRORS as exc:
            logger.info(
                'call to the sibling failed',
                extra={'host': sibling, 'reason': repr(exc)},
            )
            self._give_up(run)
            return True
        if outcome == pb.OUTCOME_NOT_RUN:
            return None
        if outcome != pb.OUTCOME_DONE:
            self._give_up(run)
        return True

    async def _call(
        self,
        run: QueuedRun,
        address: Address,
        incarnation: int,
        *,
        follow_only: bool,
        attempt: int,
    ) -> pb.Outcome:
        req = CallerRequest()
        req.CopyFrom(run.req)
        req.attempt = attempt
        placed = PlacedRequest(
            request=req,
            sender=self._state.cfg.name,
            clock=self._state.runtime.clock.stamp(),
            holder_incarnation=incarnation,
            follow_only=follow_only,
        )
        timeout_s = max(run.deadline - monotonic(), MIN_TIMEOUT_S)
        stub = PlacementStub(self._channels.get(address))
        assembler = AnswerAssembler(run.req.service, run.req.key)
        sent = False
        try:
            async with stub.Run.open(timeout=timeout_s) as stream:
                # The connection is made when the message is sent.
                await stream.send_message(placed, end=True)
                sent = True
                async for part in stream:
                    if part.HasField('closing'):
                        return self._close(run, assembler, part)
                    _relay_chunk(assembler, run.buffer, part)
        except ConnectionRefusedError as exc:
            if sent:
                raise
            raise _NotDelivered from exc
        return pb.OUTCOME_UNKNOWN

    def _close(
        self,
        run: QueuedRun,
        assembler: AnswerAssembler,
        part: AnswerPart,
    ) -> pb.Outcome:
        closing = part.closing
        if closing.outcome != pb.OUTCOME_DONE:
            return closing.outcome
        assembler.add_closing(
            part.service,
            part.key,
            ClosingFacts(closing.chunks, closing.length, closing.digest),
        )
        result = assembler.result()
        if not isinstance(result, CompleteAnswer):
            logger.warning(
                'answer of a sibling is incomplete or corrupt',
                extra={'request_key': run.req.key, 'reason': str(result)},
            )
            return pb.OUTCOME_UNKNOWN
        self._state.requests.on_finished(run.req.key, result.content)
        run.buffer.append(part)
        return pb.OUTCOME_DONE

    def _give_up(self, run: QueuedRun) -> None:
        settled = self._state.requests.on_unreachable(run.req.key)
        self._runner.settle(run, settled)

    def _record_holder(self, run: QueuedRun, holder: str) -> bool:
        member = self._state.store.member(self._state.cfg.service, holder)
        if member is None:
            return False
        return self._state.requests.on_handed_off(
            run.req.key,
            holder,
            member.incarnation,
            self._state.key_ownership(run.req.key, monotonic()),
        )

    def _choose(self) -> str | None:
        now = monotonic()
        state = self._state
        siblings = [
            member
            for member in state.store.eligible(state.cfg.service)
            if member.target in state.loads
        ]
        self._chooser.update(
            Candidate(member.target, member.failure_domain, member.slots)
            for member in siblings
        )
        for member in siblings:
            load = state.loads[member.target]
            self._chooser.on_report(now, member.target, load, 0)
        choice = self._chooser.choose(now, self._rng, min_free_slots=1)
        return choice.target if choice else None


def _relay_chunk(
    assembler: AnswerAssembler,
    buffer: AnswerBuffer,
    part: AnswerPart,
) -> None:
    assembler.add_chunk(
        part.service,
        part.key,
        part.chunk.number,
        part.chunk.content,
    )
    buffer.append(part)
