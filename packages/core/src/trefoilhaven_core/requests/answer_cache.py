"""Cache of the answers to finished requests, bounded in bytes."""

from typing import Final

# Larger answers are not cached, so they can't be replayed.
MAX_CACHED_ANSWER_BYTES: Final = 64 * 1024

# Bound of all cached answers of an agent.
MAX_CACHE_BYTES: Final = 8 * 1024 * 1024


class AnswerCache:
    """Answers by key hash; the oldest are evicted first."""

    def __init__(
        self,
        answer_bytes: int = MAX_CACHED_ANSWER_BYTES,
        total_bytes: int = MAX_CACHE_BYTES,
    ) -> None:
        """Start empty, with limits per answer and in total, in bytes."""
        self._answer_bytes = answer_bytes
        self._total_bytes = total_bytes
        self._answers: dict[int, bytes] = {}
        self.cached_bytes = 0

    def put(self, key_hash: int, answer: bytes) -> None:
        """Cache an answer unless it is too large; evict older ones."""
        if len(answer) > min(self._answer_bytes, self._total_bytes):
            return
        self.remove(key_hash)
        while self.cached_bytes + len(answer) > self._total_bytes:
            self.remove(next(iter(self._answers)))
        self._answers[key_hash] = answer
        self.cached_bytes += len(answer)

    def find(self, key_hash: int) -> bytes | None:
        """Return the answer, or None when it is not cached."""
        return self._answers.get(key_hash)

    def remove(self, key_hash: int) -> None:
        """Remove the answer of a key hash, if there is one."""
        answer = self._answers.pop(key_hash, None)
        if answer is not None:
            self.cached_bytes -= len(answer)
