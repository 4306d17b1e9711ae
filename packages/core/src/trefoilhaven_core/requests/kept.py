"""Kept answers of finished requests, within a bound of memory."""

from typing import Final

# Larger answers are not kept for a replay.
MAX_KEPT_ANSWER_BYTES: Final = 64 * 1024

# Bound of all kept answers of an agent.
MAX_KEPT_BYTES: Final = 8 * 1024 * 1024


class KeptAnswers:
    """Answers by key hash; the oldest make room for newer ones."""

    def __init__(
        self,
        answer_bytes: int = MAX_KEPT_ANSWER_BYTES,
        total_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        """Start empty, with limits in bytes."""
        self._answer_bytes = answer_bytes
        self._total_bytes = total_bytes
        self._answers: dict[int, bytes] = {}
        self.kept_bytes = 0

    def keep(self, item: int, answer: bytes) -> None:
        """Keep an answer unless it is too large."""
        if len(answer) > min(self._answer_bytes, self._total_bytes):
            return
        self.drop(item)
        while self.kept_bytes + len(answer) > self._total_bytes:
            self.drop(next(iter(self._answers)))
        self._answers[item] = answer
        self.kept_bytes += len(answer)

    def find(self, item: int) -> bytes | None:
        """Return the answer, or None when it is not kept."""
        return self._answers.get(item)

    def drop(self, item: int) -> None:
        """Forget an answer."""
        answer = self._answers.pop(item, None)
        if answer is not None:
            self.kept_bytes -= len(answer)
