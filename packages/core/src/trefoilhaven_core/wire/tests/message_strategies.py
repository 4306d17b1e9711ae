"""Hypothesis strategies of messages with valid types and unusual values."""

import enum
import os
import types
from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple, Union, get_args, get_origin
from typing import get_type_hints

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from trefoilhaven_core.membership.messages import HostAddress
from trefoilhaven_core.wire.codec import make_codec

MESSAGES_PER_SEQUENCE = 8

# A process is created for each sequence, which takes longer than hypothesis
# expects of an example.
SEQUENCE_SETTINGS = settings(
    max_examples=int(os.environ.get('TREFOILHAVEN_EXAMPLES', '300')),
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

# Names that the processes under test use themselves, so that messages also
# concern what they know.
KNOWN_NAMES = ('certify', 't1', 'g1', 'g2', 'host-t1', 'a', '')

HOSTS = ('127.0.0.1', '127.0.0.2', '10.0.0.1', '0.0.0.0', '10.0.0.256', 'x')

INTEGERS = st.one_of(
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([-1, 2**31, 2**32, 2**62, 2**63, 2**64 - 1]),
)
TEXTS = st.one_of(st.sampled_from(KNOWN_NAMES), st.text(max_size=20))
BASIC: dict[Any, st.SearchStrategy[Any]] = {
    int: INTEGERS,
    float: st.floats(),
    str: TEXTS,
    bytes: st.binary(max_size=80),
    bool: st.booleans(),
    types.NoneType: st.none(),
}


def values_of(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy of a field's type."""
    if kind in BASIC:
        return BASIC[kind]
    if kind == HostAddress:
        return st.sampled_from(HOSTS)
    origin = get_origin(kind)
    arguments = get_args(kind)
    if origin is Annotated:
        return values_of(arguments[0])
    if origin in {Union, types.UnionType}:
        return st.one_of(*map(values_of, arguments))
    if origin is tuple and arguments[-1] is Ellipsis:
        return st.lists(values_of(arguments[0]), max_size=3).map(tuple)
    if origin is frozenset:
        return st.frozensets(values_of(arguments[0]), max_size=3)
    if origin is tuple:
        return st.tuples(*map(values_of, arguments))
    if issubclass(kind, enum.Enum):
        return st.sampled_from(list(kind))
    fields = get_type_hints(kind, include_extras=True)
    return st.builds(
        kind, **{name: values_of(field) for name, field in fields.items()}
    )


def datagrams(
    kinds: Iterable[type[NamedTuple]],
) -> st.SearchStrategy[bytes]:
    """Return a strategy of datagrams of some kinds of messages.

    Some are cut off, and some have a byte replaced.
    """
    codec = make_codec()
    encoded = (
        st.one_of(*map(values_of, kinds)).filter(is_encodable).map(codec.encode)
    )
    return st.one_of(encoded, encoded, st.builds(damage, encoded, INTEGERS))


def sequences(
    kinds: Iterable[type[NamedTuple]],
) -> st.SearchStrategy[list[bytes]]:
    """Return a strategy of some datagrams that arrive one after the other."""
    return st.lists(
        datagrams(kinds), min_size=1, max_size=MESSAGES_PER_SEQUENCE
    )


def is_encodable(message: NamedTuple) -> bool:
    """Return whether all numbers of a message fit the encoding."""
    try:
        msgspec.msgpack.encode(message)
    except (OverflowError, UnicodeEncodeError):
        return False
    return True


def damage(raw: bytes, seed: int) -> bytes:
    """Return a datagram with one byte replaced, or its first part."""
    position = seed % len(raw)
    if seed % 2:
        return raw[:position]
    return raw[:position] + bytes([seed % 256]) + raw[position + 1 :]
