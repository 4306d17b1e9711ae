"""Tests of the datagram codec."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.wire.codec import Decoded, make_codec

_FLOW = FlowKey(17, '127.0.0.1', 4000, '127.1.0.1', 7000)
_PACKET = FlowPacket('certify', _FLOW, FlowFlag.first, 0, 0, b'outline')


class TestCodec:
    """Encoding, decoding and malformed input."""

    def test_round_trip(self) -> None:
        """Guards against fields whose type changes in the encoding."""
        codec = make_codec()
        raw = codec.encode(_PACKET, clock=77)
        assert codec.decode(raw).ok == Decoded(77, _PACKET)

    def test_unknown_kind(self) -> None:
        """Guards against a crash by a message kind of a newer version."""
        assert (
            'kind 99' in make_codec().decode(b'\x93\x63\x00\xc0').error.reason
        )

    @given(raw=st.binary(max_size=64))
    def test_garbage(self, raw: bytes) -> None:
        """Guards against random bytes that raise in the socket's callback."""
        decoded = make_codec().decode(raw)
        assert decoded.is_ok() or decoded.error.reason

    @given(cut=st.integers(min_value=0, max_value=60))
    def test_truncated(self, cut: int) -> None:
        """Guards against a truncated packet that is decoded as complete."""
        raw = make_codec().encode(_PACKET)
        shorter = raw[: min(cut, len(raw) - 1)]
        assert make_codec().decode(shorter).is_error()
