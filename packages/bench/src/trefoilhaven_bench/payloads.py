"""Contents of flows and requests that both ends can verify.

A flow payload is a msgpack array that names its service and flow, counts
packets and carries the xxhash64 of the rest. The answer to a request is
computed from the service and the key, so the caller knows what to expect.
"""

from typing import Final, NamedTuple, TypeVar

import msgspec
import xxhash

_ENCODER: Final = msgspec.msgpack.Encoder()


class FlowQuestion(NamedTuple):
    """A packet from the caller to the target."""

    service: str
    flow: int
    sequence: int
    digest: int
    padding: bytes


class FlowReply(NamedTuple):
    """The target's answer to one packet.

    ``session`` is drawn when the target first sees the flow; a change
    shows that the flow's state was lost on the way.
    """

    service: str
    target: str
    session: int
    flow: int
    sequence: int
    answered: int
    digest: int
    padding: bytes


PayloadT = TypeVar('PayloadT', FlowQuestion, FlowReply)


class WorkBody(NamedTuple):
    """What a request's body asks of the target; times in seconds.

    A negative service time leaves it to the target.
    """

    service_time_s: float = -1
    answer_bytes: int = 1024
    parts: int = 3
    padding: bytes = b''


def encode_payload(payload: PayloadT) -> bytes:
    """Fill in the digest and return the encoded payload."""
    sealed = payload._replace(digest=_digest(payload))
    return _ENCODER.encode(sealed)


def decode_payload(raw: bytes, kind: type[PayloadT]) -> PayloadT | None:
    """Return the payload, or None when it is malformed or altered."""
    try:
        payload = msgspec.msgpack.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return payload if payload.digest == _digest(payload) else None


def _digest(payload: FlowQuestion | FlowReply) -> int:
    return xxhash.xxh64_intdigest(_ENCODER.encode(payload._replace(digest=0)))


def encode_body(body: WorkBody) -> bytes:
    """Return the encoded body of a request."""
    return _ENCODER.encode(body)


def decode_body(raw: bytes) -> WorkBody:
    """Return what a body asks for; other contents ask for the defaults."""
    try:
        return msgspec.msgpack.decode(raw, type=WorkBody)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return WorkBody()


def answer_content(service: str, key: str, length: int) -> bytes:
    """Return the whole answer to a request of the given length."""
    block = xxhash.xxh64_hexdigest(f'{service}/{key}'.encode()).encode()
    repeats = -(-length // len(block))
    return (block * repeats)[:length]


def split_answer(content: bytes, parts: int) -> list[bytes]:
    """Split an answer into at most the given number of parts."""
    size = max(1, -(-len(content) // max(1, parts)))
    return [
        content[start : start + size] for start in range(0, len(content), size)
    ]
