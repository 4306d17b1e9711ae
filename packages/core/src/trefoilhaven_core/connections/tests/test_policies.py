"""Tests of the policies that processes exchange."""

from trefoilhaven_core.connections.policies import (
    Policies,
    RoutePolicy,
    ServicePolicy,
    decode_policies,
    encode_policies,
)


class TestCodec:
    """Policies travel as bytes between processes."""

    def test_round_trip(self) -> None:
        route = RoutePolicy((1, 443), 0.3, 1.8, 1, is_idempotent=False)
        policies = Policies(7, (route,), (ServicePolicy('desk', 2.0, 0.0),))
        assert decode_policies(encode_policies(policies)) == policies
