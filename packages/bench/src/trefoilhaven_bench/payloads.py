"""Payloads of flows and requests that both ends can verify.

A flow payload is a msgpack array with the service, the flow, sequence
numbers and the xxhash64 of the other fields. The answer to a request is
derived from the service and the key, so the caller knows the expected bytes.
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

    ``session`` is a random number that the target chooses on the flow's
    first packet; a change shows that the flow's state was lost, at the
    target or on the way to it.
    ``answered`` is the sequence number of the packet that is answered.
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
    """Parameters of a request for the target; times in seconds.

    With a negative service time the target uses its own.
    """

    service_time_s: float = -1
    answer_bytes: int = 1024
    parts: int = 3
    padding: bytes = b''


def encode_payload(payload: PayloadT) -> bytes:
    """Encode a payload with its digest filled in."""
    sealed = payload._replace(digest=_digest(payload))
    return _ENCODER.encode(sealed)


def decode_payload(raw: bytes, kind: type[PayloadT]) -> PayloadT | None:
    """Decode a payload; return None when it is malformed or altered."""
    try:
        payload = msgspec.msgpack.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return payload if payload.digest == _digest(payload) else None


def _digest(payload: FlowQuestion | FlowReply) -> int:
    return xxhash.xxh64_intdigest(_ENCODER.encode(payload._replace(digest=0)))


def encode_body(body: WorkBody) -> bytes:
    """Encode the body of a request."""
    return _ENCODER.encode(body)


def decode_body(raw: bytes) -> WorkBody:
    """Decode a request body; return the defaults for other contents."""
    try:
        return msgspec.msgpack.decode(raw, type=WorkBody)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return WorkBody()


def answer_content(service: str, key: str, length: int) -> bytes:
    """Return the expected answer to a request, with the length in bytes."""
    block = xxhash.xxh64_hexdigest(f'{service}/{key}'.encode()).encode()
    repeats = -(-length // len(block))
    return (block * repeats)[:length]


def split_answer(content: bytes, parts: int) -> list[bytes]:
    """Split an answer into at most the given number of parts."""
    size = max(1, -(-len(content) // max(1, parts)))
    return [
        content[start : start + size] for start in range(0, len(content), size)
    ]
