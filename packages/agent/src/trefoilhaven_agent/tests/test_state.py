"""Tests of the state that the tasks of an agent share."""

from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.messages import (
    Address,
    Member,
    MemberState,
    Registration,
    ServiceView,
)
from trefoilhaven_core.ownership.effects import SendClaim
from trefoilhaven_core.routing.tables import bucket_of, hash_item
from trefoilhaven_core.settings.types import (
    AgentSettings,
    TargetAddresses,
    Witness,
)
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.timeline.messages import TimelineRequest

_ADDRESS = Address('127.0.0.1', 9000)
_SERVICE = 'classroom-desk'


def _make_state() -> AgentState:
    cfg = AgentSettings(
        name='desk-1',
        service=_SERVICE,
        host='host-1',
        failure_domain='tainan-a',
        flow=_ADDRESS,
        control=_ADDRESS,
        rpc=_ADDRESS,
        metrics=_ADDRESS,
        advertise_flow=_ADDRESS,
        advertise_control=_ADDRESS,
        advertise_rpc=_ADDRESS,
        witnesses=(Witness('entry-1', _ADDRESS, _ADDRESS),),
        fabric=_ADDRESS,
        target=TargetAddresses(_ADDRESS, _ADDRESS),
        slots=2,
        log_level='info',
    )
    return AgentState(cfg, make_runtime('desk-1'))


def _bucket(key: str) -> int:
    return bucket_of(hash_item(_SERVICE, key.encode()))


class TestResumedRequests:
    """Event of the first request after an acquisition of buckets."""

    def test_once_for_each_acquisition(self) -> None:
        """Guards against an event for every request in normal operation."""
        state = _make_state()
        state.record_served('k-1')
        state.record_acquired([_bucket('k-1')])
        assert _bucket('k-1') != _bucket('k-2')
        state.record_served('k-2')
        for _ in range(3):
            state.record_served('k-1')
        events = state.runtime.ring.answer(TimelineRequest()).events
        assert [(each.kind, each.request_key) for each in events] == [
            ('requests resumed', 'k-1'),
        ]


class TestTerms:
    """Terms of the lease and in claims."""

    def test_claims_carry_the_term_of_the_lease(self) -> None:
        """Guards against a fence of another term than that of the lease.

        Claimants fence the term that they saw in claims, and witnesses know
        the term of the heartbeats.
        """
        state = _make_state()
        own = state.member._replace(state=MemberState.alive)
        view = _view(own, own._replace(target='desk-2'))
        claims = [
            effect.claim
            for effect in state.ownership.on_view(1.0, view)
            if isinstance(effect, SendClaim)
        ]
        assert {claim.term for claim in claims} == {state.lease.term}


def _view(*members: Member) -> ServiceView:
    registered = tuple(
        Registration(each.target, each.incarnation) for each in members
    )
    return ServiceView(_SERVICE, 1, registered, members)
