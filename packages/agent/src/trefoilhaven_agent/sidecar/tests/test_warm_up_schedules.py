"""Random schedules of an agent whose target becomes cold.

The openings that the target accepts while it is cold are counted in every
second, and compared with the limit. Openings arrive all the time, from
balancers that may know nothing of the target's state. Agents are killed,
heartbeats come late or not at all, and the failure domain of the target is
evacuated and returned to service, with a cold target.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import pytest
from trefoilhaven_agent.sidecar.targets import Location, TargetTracker
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.effects import DeliverToTarget
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    Segment,
    SegmentForward,
)
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    accepting,
    key_of,
    opening,
    refused,
)
from trefoilhaven_core.connections.warm_up import WarmUp
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement
from trefoilhaven_core.settings.types import WarmUpLimits

SCHEDULES: Final = 10_000
CHUNKS: Final = 10
LIMITS: Final = WarmUpLimits(1.5, 5)
LOCATION: Final = Location('host-1', 'a', Address('127.0.0.1', 7000))

# Times in seconds. An agent takes a while to load, and a segment reaches the
# target within a tenth of a second.
DURATION_S: Final = 5.5
LOADING_S: Final = 0.2
MAX_DELIVERY_S: Final = 0.09
MAX_HEARTBEAT_DELAY_S: Final = 0.9
HEARTBEAT_INTERVAL_S: Final = 1.0
POLICY_INTERVAL_S: Final = 0.4
MAX_POLICY_DELAY_S: Final = 0.3
COPY_DELAYS_S: Final = (0.2, 0.6)


_Action = Callable[[float], None]
# Time, number in the order of creation, and what happens.
_Event = tuple[float, int, _Action]


class Target:
    """A target that counts what it accepts while it is cold."""

    def __init__(self, now: float, incarnation: int, cold_s: float) -> None:
        """Start at a time; a target is cold after its start."""
        self.incarnation = incarnation
        self.sequence = 0
        self._accepted_at: list[list[float]] = [[]]
        self.is_running = True
        self._seen: set[tuple[object, int]] = set()
        self._cold_s = cold_s
        self._cold_until = now + cold_s

    def cool(self, now: float) -> None:
        """Become cold again; a phase ends where the target is not cold."""
        if not self.cold_left_s(now):
            self._accepted_at.append([])
        self._cold_until = now + self._cold_s

    def cold_left_s(self, now: float) -> float:
        """Return the remaining cold time."""
        return max(0.0, self._cold_until - now)

    def accept(self, now: float, segment: Segment) -> bool:
        """Accept an opening segment; return whether it is new."""
        opening_id = (segment.key, segment.sequence)
        if opening_id in self._seen:
            return False
        self._seen.add(opening_id)
        if self.cold_left_s(now):
            self._accepted_at[-1].append(now)
        return True

    def largest_count(self) -> int:
        """Return the most openings accepted in any second of a cold phase."""
        largest = 0
        for times in self._accepted_at:
            start = 0
            for end, time in enumerate(times):
                while time - times[start] >= 1:
                    start += 1
                largest = max(largest, end - start + 1)
        return largest


class Schedule:
    """One agent beside one target, and all that happens to them."""

    def __init__(self, seed: int) -> None:
        """Draw the schedule from a seed."""
        self.rng = random.Random(seed)
        self.rate = self.rng.choice((0, 1, 2.5, 4))
        self.cold_s = self.rng.choice((0.5, 1.5, 3.0))
        self.limit = int(self.rate * LIMITS.overage + LIMITS.slack)
        self.targets: list[Target] = []
        self.delivered = 0
        self.restarts = 0
        self.restores = 0
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._openings_per_s = self.rng.choice((8, 16, 40))
        self._evacuations_version = 0
        self._is_evacuated = False
        self._life = 0
        self._answered: set[ConnectionKey] = set()
        self._connections: ConnectionTracker | None = None
        self._tracker: TargetTracker | None = None

    def run(self) -> None:
        """Play the schedule."""
        is_first_agent = self.rng.random() < 0.5
        self._at(0 if is_first_agent else 0.05, self._start_agent)
        self._at(0.02, self._start_target)
        self._at(0.03, self._open)
        self._at(0.04, self._send_policy)
        if self.rng.random() < 0.6:
            evacuated_at = self.rng.uniform(0.5, 2.5)
            cooled_at = evacuated_at + self.rng.uniform(0.7, 1.5)
            restored_at = cooled_at + self.rng.uniform(0, 0.5)
            self._at(evacuated_at, self._evacuate)
            self._at(cooled_at, lambda now: self.targets[-1].cool(now))
            self._at(restored_at, self._restore)
        elif self.rng.random() < 0.5:
            self._at(self.rng.uniform(1, 3), self._replace_target)
        for _ in range(self.rng.choice((0, 1, 1, 2))):
            self._at(self.rng.uniform(0.3, 4.5), self._kill_agent)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > DURATION_S:
                return
            action(now)

    def _at(self, time: float, action: _Action) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _start_agent(self, now: float) -> None:
        warm_up = WarmUp(LIMITS, now)
        self._connections = ConnectionTracker('certify', 60.0, warm_up)
        self._tracker = TargetTracker('certify', LOCATION, self._connections)
        if not self.targets:
            self._connections.on_target_gone()

    def _kill_agent(self, now: float) -> None:
        if self._tracker is None:
            return
        self.restarts += 1
        self._life += 1
        self._tracker = None
        self._connections = None
        loaded_at = now + LOADING_S + self.rng.random() * 0.3
        self._at(loaded_at, self._start_agent)
        # A target repeats an unacknowledged heartbeat.
        repeated_at = loaded_at + self.rng.random() * 0.3
        self._at(repeated_at, lambda time: self._send_heartbeat(time, 0))

    def _start_target(self, now: float) -> None:
        target = Target(now, 1 + len(self.targets), self.cold_s)
        self.targets.append(target)
        # The first heartbeat of a target is acknowledged before it serves.
        self._send_heartbeat(now, 0)
        beat_at = now + self.rng.random() * 0.1
        self._at(beat_at, lambda time: self._beat(time, target))

    def _replace_target(self, now: float) -> None:
        """Let the target end, which its agent may notice, and start again."""
        self.targets[-1].is_running = False
        if self._tracker is not None and self.rng.random() < 0.5:
            self._tracker.on_gone()
        self._at(now + self.rng.uniform(0.1, 0.8), self._start_target)

    def _beat(self, now: float, target: Target) -> None:
        if not target.is_running:
            return
        if self.rng.random() > 0.15:
            delay_s = self.rng.choice((0, 0.01, self.rng.random()))
            self._send_heartbeat(now, delay_s * MAX_HEARTBEAT_DELAY_S)
        self._at(
            now + HEARTBEAT_INTERVAL_S, lambda time: self._beat(time, target)
        )

    def _send_heartbeat(self, now: float, delay_s: float) -> None:
        target = self.targets[-1]
        if not target.is_running or self._tracker is None:
            return
        target.sequence += 1
        announcement = TargetAnnouncement(
            'certify',
            't1',
            'a',
            target.incarnation,
            target.sequence,
            2,
            MemberState.alive,
            target.cold_left_s(now),
        )
        life = self._life

        def receive(time: float) -> None:
            # A request to a killed agent can't reach its successor.
            if self._tracker is not None and life == self._life:
                self._tracker.on_announcement(time, announcement)

        if delay_s:
            self._at(now + delay_s, receive)
        else:
            receive(now)

    def _evacuate(self, now: float) -> None:
        self._evacuations_version = 1
        self._is_evacuated = True
        self._send_policy_once(now)

    def _restore(self, now: float) -> None:
        self.restores += 1
        self._evacuations_version = 2
        self._is_evacuated = False
        self._send_policy_once(now)

    def _send_policy(self, now: float) -> None:
        self._send_policy_once(now)
        self._at(now + POLICY_INTERVAL_S, self._send_policy)

    def _send_policy_once(self, now: float) -> None:
        policy = TargetPolicy(
            'certify',
            'a',
            1,
            self.cold_s,
            self.rate,
            self._evacuations_version,
            self._is_evacuated,
        )

        def receive(time: float) -> None:
            if self._connections is not None:
                self._connections.warm_up.on_policy(time, policy)

        self._at(now + self.rng.random() * MAX_POLICY_DELAY_S, receive)

    def _open(self, now: float) -> None:
        """Send the opening segments of one client, and the next client's."""
        segment = opening(key_of(next(self._numbers)))
        for delay_s in (0.0, *COPY_DELAYS_S[: self.rng.choice((0, 0, 1, 2))]):
            self._at(now + delay_s, lambda time: self._forward(time, segment))
        self._at(now + self.rng.expovariate(self._openings_per_s), self._open)

    def _forward(self, now: float, segment: Segment) -> None:
        """Send an opening segment, unless its client has an answer."""
        tracker, connections = self._tracker, self._connections
        if segment.key in self._answered:
            return
        if tracker is None or connections is None or tracker.member is None:
            return
        identity = connections.evidence.identity
        if identity is None:
            return
        forward = SegmentForward(*identity, is_probe=False, raw=segment.raw)
        for effect in connections.on_forward(now, forward, segment, BALANCER):
            if isinstance(effect, DeliverToTarget):
                self.delivered += 1
                self._deliver(now, segment)

    def _deliver(self, now: float, segment: Segment) -> None:
        target = self.targets[-1]
        life = self._life
        answer = accepting(segment.key, 5000)
        if not target.is_running:
            answer = refused(segment)

        def arrive(time: float) -> None:
            if target.is_running and not target.accept(time, segment):
                return
            self._answered.add(segment.key)
            if self._connections is not None and life == self._life:
                self._connections.on_target_segment(time, answer)

        self._at(now + self.rng.random() * MAX_DELIVERY_S, arrive)


class TestSchedules:
    """Openings of cold targets in random schedules."""

    @pytest.mark.parametrize('chunk', range(CHUNKS))
    def test_limit(self, chunk: int) -> None:
        """Guards against a cold target that gets more than it can handle."""
        size = SCHEDULES // CHUNKS
        at_limit = 0
        restarts = 0
        restores = 0
        for seed in range(chunk * size, (chunk + 1) * size):
            schedule = Schedule(seed)
            schedule.run()
            for target in schedule.targets:
                count = target.largest_count()
                assert count <= schedule.limit, f'seed {seed}'
                at_limit += count == schedule.limit
            restarts += schedule.restarts
            restores += schedule.restores
        # Without these, the schedules would test nothing.
        assert at_limit > size / 2
        assert restarts > size / 2
        assert restores > size / 2
