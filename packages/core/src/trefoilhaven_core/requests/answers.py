"""Splitting and reassembly of answers.

An answer is sent as chunks, numbered from 0, and a closing message with the
number of chunks and the length and digest of the complete answer. Parts may
arrive late, twice and in any order.

Example: ``split_answer(b'abcdef', 4).chunks`` is ``(b'abcd', b'ef')``.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

import xxhash

# Below the default maximum frame size of HTTP/2, 16 KiB.
CHUNK_BYTES: Final = 15 * 1024


class SplitAnswer(NamedTuple):
    """Chunks of an answer, and its length in bytes and digest."""

    chunks: tuple[bytes, ...]
    length: int
    digest: int


class Closing(NamedTuple):
    """Fields of a closing message that describe the complete answer.

    ``chunks`` is their number, ``length`` is in bytes.
    """

    chunks: int
    length: int
    digest: int


class Finding(NamedTuple):
    """A reason why the parts are not a complete answer."""

    reason: str


class CompleteAnswer(NamedTuple):
    """A complete answer; chunk count, length and digest match."""

    content: bytes


class PartialAnswer(NamedTuple):
    """All findings about an incomplete or inconsistent answer."""

    findings: tuple[Finding, ...]


def digest_answer(content: bytes) -> int:
    """Return the 64-bit xxHash (XXH64) of an answer."""
    return xxhash.xxh64_intdigest(content)


def split_answer(content: bytes, chunk_size: int = CHUNK_BYTES) -> SplitAnswer:
    """Split an answer into chunks of up to ``chunk_size`` bytes.

    Raises ``ValueError`` for a chunk size below 1.
    """
    if chunk_size < 1:
        raise ValueError(f'chunk size {chunk_size} is below 1')
    chunks = tuple(
        content[start : start + chunk_size]
        for start in range(0, len(content), chunk_size)
    )
    return SplitAnswer(chunks, len(content), digest_answer(content))


class AnswerAssembler:
    """Collects and checks the parts of one answer.

    A part of another service or key is not added but reported as a finding,
    which makes the answer partial.
    """

    def __init__(self, service: str, key: str) -> None:
        """Start without parts, for the answer to the request ``key``."""
        self._service = service
        self._key = key
        self._chunks: dict[int, bytes] = {}
        self._closing: Closing | None = None
        self._findings: list[Finding] = []

    def add_chunk(
        self,
        service: str,
        key: str,
        number: int,
        content: bytes,
    ) -> None:
        """Add a chunk; a duplicate must equal the first one."""
        if not self._is_own(service, key, f'chunk {number}'):
            return
        known = self._chunks.setdefault(number, content)
        if known != content:
            self._note(f'duplicate of chunk {number} has different content')

    def add_closing(self, service: str, key: str, closing: Closing) -> None:
        """Set the closing message; a duplicate must equal the first one."""
        if not self._is_own(service, key, 'closing message'):
            return
        if self._closing is None:
            self._closing = closing
        elif self._closing != closing:
            self._note('duplicate closing message has different content')

    def result(self) -> CompleteAnswer | PartialAnswer:
        """Return the complete answer, or all findings."""
        findings = [*self._findings, *self._check_parts()]
        if findings:
            return PartialAnswer(tuple(findings))
        content = self._join()
        mismatches = tuple(self._check_content(content))
        return (
            PartialAnswer(mismatches) if mismatches else CompleteAnswer(content)
        )

    def _is_own(self, service: str, key: str, part: str) -> bool:
        if (service, key) == (self._service, self._key):
            return True
        self._note(
            f'{part} belongs to service {service!r} and key {key!r}',
        )
        return False

    def _note(self, reason: str) -> None:
        finding = Finding(reason)
        if finding not in self._findings:
            self._findings.append(finding)

    def _join(self) -> bytes:
        return b''.join(self._chunks[number] for number in sorted(self._chunks))

    def _check_parts(self) -> Iterator[Finding]:
        if self._closing is None:
            yield Finding('closing message is missing')
            return
        expected = self._closing.chunks
        missing = expected - sum(
            1 for number in self._chunks if 0 <= number < expected
        )
        if missing:
            yield Finding(f'{missing} of {expected} chunks are missing')
        for number in sorted(self._chunks):
            if not 0 <= number < expected:
                yield Finding(
                    f'chunk {number} is out of range of {expected} chunks'
                )

    def _check_content(self, content: bytes) -> Iterator[Finding]:
        closing = self._closing
        if closing is None:
            return
        if len(content) != closing.length:
            yield Finding(
                f'length is {len(content)} bytes, expected {closing.length}',
            )
        if digest_answer(content) != closing.digest:
            yield Finding(
                'digest of the content does not match the closing message'
            )
