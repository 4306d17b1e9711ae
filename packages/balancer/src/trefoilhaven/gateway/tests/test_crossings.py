"""Tests of the log and metrics of connections that leave the domain."""

import logging
import random

import pytest
from trefoilhaven.gateway.crossings import CrossingObserver
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.effects import Placed
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.membership.messages import Address, Member, MemberState
from trefoilhaven_core.settings.types import GatewaySettings
from trefoilhaven_core.telemetry.metrics import Metrics
from trefoilhaven_core.telemetry.runtimes import make_runtime

CONTROL = Address('127.0.0.1', 7000)
KEY = ConnectionKey(1, 2, 3, 4)


def make_state(crossing_cost_s: float | None) -> GatewayState:
    """Return the state of a gateway in the failure domain a."""
    cfg = GatewaySettings(
        'g1',
        'host-1',
        'a',
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        (),
        'info',
        CONTROL,
        domain_crossing_cost_s=crossing_cost_s,
    )
    return GatewayState(cfg, make_runtime('g1'), random.Random(1))


def make_member(name: str, domain: str) -> Member:
    """Return a target's record."""
    return Member(
        'certify',
        name,
        f'host-{name}',
        domain,
        1,
        1,
        MemberState.alive,
        CONTROL,
        CONTROL,
        CONTROL,
        1,
    )


def place(state: GatewayState, number: int) -> Placed:
    """Place a connection while the own domain is busy and b is idle."""
    selector = state.target_selector
    now = number * 0.05
    members = [make_member('t1', 'a'), make_member('t2', 'b')]
    selector.set_members('certify', members)
    for member, waiting in zip(members, (30, 0), strict=True):
        load = ConnectionLoad(waiting, waiting, 0.02)
        selector.on_report(now, TargetReport(member, load, False, False))
    chosen = selector.choose(now, random.Random(number), 'certify')
    assert chosen is not None
    return selector.placement(now, KEY, chosen, ())


def read_counts(metrics: Metrics) -> dict[str, float]:
    """Return the counts of connections placed elsewhere."""
    return {
        name: count
        for name, count in metrics.counts().items()
        if name.startswith('connections_placed_elsewhere')
    }


class TestCrossings:
    """What an operator sees of connections that leave the domain."""

    def test_shares(self, caplog: pytest.LogCaptureFixture) -> None:
        """Guards against bytes between domains without a visible cause."""
        state = make_state(0.005)
        observer = CrossingObserver(state)
        caplog.set_level(logging.INFO)
        for number in range(40):
            observer.on_placed(place(state, number))
        metrics = state.runtime.metrics
        name = 'connections_placed_elsewhere{failure_domain=b,service=certify}'
        assert read_counts(metrics)[name] > 20
        labels = (('failure_domain', 'b'), ('service', 'certify'))
        assert metrics.read_gauges()['domain_share', labels] > 0.9
        lines = [
            record
            for record in caplog.records
            if record.message == 'share of other failure domains changed'
        ]
        # A line for each change, not for each connection.
        assert 1 <= len(lines) <= 11

    def test_penalty(self) -> None:
        """Guards against connections elsewhere that are not counted."""
        state = make_state(None)
        observer = CrossingObserver(state)
        observer.on_placed(place(state, 1))
        assert sum(read_counts(state.runtime.metrics).values()) == 1
