"""Answers in progress, which any number of streams can follow."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from trefoilhaven_core.requests import decisions
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_pb2 import AnswerPart, Closing, Outcome

_OUTCOMES: Final = {
    decisions.Outcome.done: pb.OUTCOME_DONE,
    decisions.Outcome.not_run: pb.OUTCOME_NOT_RUN,
    decisions.Outcome.unknown: pb.OUTCOME_UNKNOWN,
    decisions.Outcome.no_verdict: pb.OUTCOME_NO_VERDICT,
}


def conclude_with(buffer: 'AnswerBuffer', end: decisions.Conclude) -> None:
    """Close an answer with the outcome that the request table decided."""
    buffer.conclude(_OUTCOMES[end.outcome], end.reason, end.retry_after_s)


class AnswerBuffer:
    """Parts of one answer, kept from the start so that streams can join.

    A stream that joins late, or again, gets all parts from the first.
    """

    def __init__(self, service: str, key: str) -> None:
        """Start an empty answer."""
        self.service = service
        self.key = key
        self._parts: list[AnswerPart] = []
        self._changed = asyncio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the answer has its closing part."""
        return self._closed

    def append(self, part: AnswerPart) -> None:
        """Add a part; the closing part ends the answer."""
        if self._closed:
            return
        self._parts.append(part)
        self._closed = part.HasField('closing')
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self, closing: Closing) -> None:
        """Add the closing part."""
        self.append(
            AnswerPart(service=self.service, key=self.key, closing=closing),
        )

    def conclude(
        self,
        outcome: Outcome,
        reason: str,
        retry_after_s: float = 0,
    ) -> None:
        """Close the answer without content."""
        self.close(
            Closing(
                outcome=outcome,
                reason=reason,
                retry_after_s=retry_after_s,
            ),
        )

    async def follow(self) -> AsyncIterator[AnswerPart]:
        """Yield all parts from the first to the closing one."""
        position = 0
        while True:
            changed = self._changed
            while position < len(self._parts):
                part = self._parts[position]
                position += 1
                yield part
                if part.HasField('closing'):
                    return
            await changed.wait()
