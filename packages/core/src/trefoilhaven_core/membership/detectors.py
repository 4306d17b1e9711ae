"""Heartbeat-based failure detection of agents and peer balancers.

A balancer reports on the agents that it is a witness of, also on those never
heard from. When all agents of a failure domain that it monitors stop sending
together, it reports the domain once and waits longer before it declares them
dead, because a short network partition looks the same.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from trefoilhaven_core.membership.liveness import (
    DEAD_AFTER_S,
    SUSPECT_AFTER_S,
    LivenessTimer,
)
from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Member,
    MemberState,
    SilentDomain,
)
from trefoilhaven_core.membership.peer_timers import PeerTimers
from trefoilhaven_core.membership.views import ViewStore

DOMAIN_DEAD_AFTER_S: Final = 5.0  # for the members of a silent domain

# A member that missed a heartbeat has been silent for at least this long.
# While every member of a failure domain has, the first suspicion is
# deferred, since the whole domain may be about to be reported.
DOMAIN_SILENT_AFTER_S: Final = 0.75

# When a silent domain recovers, its members get the time of two heartbeats
# before any of them is declared dead.
DOMAIN_GRACE_S: Final = 1.0

TICK_INTERVAL_S: Final = 0.25

# A tick that is later than this means that the process itself was paused.
MAX_TICK_DELAY_S: Final = 1.0

# A member that this balancer has never heard from gets longer: the network
# between them may be partitioned while other witnesses receive its
# heartbeats.
UNHEARD_DEAD_AFTER_S: Final = 10.0

# A member that was reported dead is timed again after this, since other
# witnesses may still receive its heartbeats and have its record refuted.
REPORT_REPEAT_S: Final = 60.0


class Detections(NamedTuple):
    """Results of one tick of the failure detector.

    ``members``, ``balancers`` and ``silent_domains`` go to the
    disseminator. ``probes`` names balancers that are due another digest.
    """

    members: tuple[Member, ...] = ()
    balancers: tuple[BalancerRecord, ...] = ()
    silent_domains: tuple[SilentDomain, ...] = ()
    probes: tuple[str, ...] = ()


def refute(own: Member, record: Member) -> Member | None:
    """Return an agent's record with a higher sequence to refute a report.

    The result is None when ``record`` does not contradict the agent, for
    example because it belongs to another incarnation.
    """
    if (record.service, record.target) != (own.service, own.target):
        return None
    if not _contradicts(own, record):
        return None
    return own._replace(sequence=record.sequence + 1)


def refute_balancer(
    own: BalancerRecord, record: BalancerRecord
) -> BalancerRecord | None:
    """Return a balancer's record with a higher sequence to refute a report.

    The result is None when ``record`` does not contradict the balancer.
    """
    if record.name != own.name or not _contradicts(own, record):
        return None
    return own._replace(sequence=record.sequence + 1)


def _contradicts(
    own: Member | BalancerRecord, record: Member | BalancerRecord
) -> bool:
    if record.incarnation != own.incarnation or record.state == own.state:
        return False
    is_report = record.state >= MemberState.suspect
    return is_report and record.sequence >= own.sequence


class FailureDetector:
    """Times missing heartbeats and unanswered digests at one balancer."""

    def __init__(
        self, own: BalancerRecord, store: ViewStore, now: float
    ) -> None:
        """Start without any timer; records are read from ``store``."""
        self._own = own
        self._store = store
        self._last_tick = now
        self._reports = 0
        self._agents: dict[tuple[str, str], LivenessTimer] = {}
        self._silent_domains: set[str] = set()
        self._peers = PeerTimers(store)

    def on_heartbeat(self, now: float, member: Member) -> Member | None:
        """Restart the member's timer.

        Returns the known record if it contradicts the heartbeat. The caller
        sends it to the agent, which then refutes it. A heartbeat of an older
        incarnation is ignored.
        """
        key = (member.service, member.target)
        known = self._store.member(*key)
        if known is not None and known.incarnation > member.incarnation:
            return None
        self._agents[key] = LivenessTimer(now, member.failure_domain)
        if known is None or refute(member, known) is None:
            return None
        return known

    def watch(self, now: float, members: Iterable[Member]) -> None:
        """Start timers for members known from other balancers only.

        The caller passes the members that this balancer is a witness of.
        This matters after a restart: a member that stopped before it sent a
        heartbeat here might otherwise not be detected by any balancer.
        """
        for member in members:
            if member.state < MemberState.dead:
                key = (member.service, member.target)
                timer = LivenessTimer(
                    now, member.failure_domain, UNHEARD_DEAD_AFTER_S
                )
                self._agents.setdefault(key, timer)

    def release(self, services: Iterable[str]) -> None:
        """Drop the timers of services that have other witnesses now."""
        released = set(services)
        self._agents = {
            key: timer
            for key, timer in self._agents.items()
            if key[0] not in released
        }

    def on_peer_message(self, now: float, peer: str) -> None:
        """Stop the timer of a peer balancer that sent any message."""
        self._peers.on_answer(peer)

    def on_probe_sent(self, now: float, peer: str) -> None:
        """Start the timer of a peer that has to answer a digest."""
        self._peers.on_probe_sent(now, peer)

    def tick(self, now: float) -> Detections:
        """Return the reports that are due; called every 0.25 s.

        After a pause of this process all timers restart, since heartbeats
        from that time may still be in the socket buffer or lost.
        """
        is_late = now - self._last_tick > TICK_INTERVAL_S + MAX_TICK_DELAY_S
        self._last_tick = now
        if is_late:
            self._restart(now)
            return Detections()
        reports = self._report_domains(now)
        balancers, probes = self._peers.check(now)
        return Detections(
            tuple(self._check_agents(now)),
            tuple(balancers),
            tuple(reports),
            tuple(probes),
        )

    def _restart(self, now: float) -> None:
        self._silent_domains.clear()
        for timer in self._agents.values():
            timer.restart(now)
        self._peers.clear()

    def _report_domains(self, now: float) -> list[SilentDomain]:
        domains: dict[str, list[LivenessTimer]] = {}
        for timer in self._agents.values():
            if not timer.dead_at:
                domains.setdefault(timer.failure_domain, []).append(timer)
        reports = []
        for domain, timers in domains.items():
            if min(now - each.since for each in timers) < SUSPECT_AFTER_S:
                self._end_silence(now, domain, timers)
            elif domain not in self._silent_domains and _fell_silent_together(
                timers
            ):
                self._silent_domains.add(domain)
                reports.append(self._report(domain))
                for timer in timers:
                    timer.suspected = True
        return reports

    def _end_silence(
        self, now: float, domain: str, timers: list[LivenessTimer]
    ) -> None:
        if domain not in self._silent_domains:
            return
        self._silent_domains.discard(domain)
        for timer in timers:
            timer.grace_until = now + DOMAIN_GRACE_S

    def _report(self, domain: str) -> SilentDomain:
        self._reports += 1
        services = {
            service
            for (service, _), timer in self._agents.items()
            if timer.failure_domain == domain
        }
        return SilentDomain(
            domain,
            tuple(sorted(services)),
            self._own.name,
            self._own.incarnation,
            self._reports,
        )

    def _check_agents(self, now: float) -> list[Member]:
        deferred = self._possibly_silent_domains(now)
        changes = []
        for key, timer in list(self._agents.items()):
            record = self._store.member(*key)
            if record is None or record.state == MemberState.left:
                self._agents.pop(key)
                continue
            state = self._next_state(now, timer, deferred)
            if state is not None and _applies(state, record.state):
                changes.append(record._replace(state=state))
        return changes

    def _possibly_silent_domains(self, now: float) -> set[str]:
        shortest: dict[str, float] = {}
        counts: dict[str, int] = {}
        for timer in self._agents.values():
            if timer.dead_at:
                continue
            domain = timer.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
            shortest[domain] = min(shortest.get(domain, now), now - timer.since)
        return {
            domain
            for domain, silent_s in shortest.items()
            if counts[domain] > 1
            and DOMAIN_SILENT_AFTER_S <= silent_s < SUSPECT_AFTER_S
        }

    def _next_state(
        self, now: float, timer: LivenessTimer, deferred: set[str]
    ) -> MemberState | None:
        if timer.dead_at:
            if now - timer.dead_at >= REPORT_REPEAT_S:
                timer.restart(now)
            return None
        limit = max(DEAD_AFTER_S, timer.min_dead_after_s)
        if timer.failure_domain in self._silent_domains:
            limit = max(limit, DOMAIN_DEAD_AFTER_S)
        silent_s = now - timer.since
        if silent_s >= limit and now >= timer.grace_until:
            timer.dead_at = now
            return MemberState.dead
        is_suspect = silent_s >= SUSPECT_AFTER_S
        if timer.suspected or not is_suspect:
            return None
        if timer.failure_domain in deferred:
            return None
        timer.suspected = True
        return MemberState.suspect


def _applies(state: MemberState, known: MemberState) -> bool:
    """Return whether a report changes a record.

    A draining member stays draining until it is dead, because a suspect
    member is still eligible for new work.
    """
    if state == MemberState.suspect:
        return known == MemberState.alive
    return state > known


def _fell_silent_together(timers: list[LivenessTimer]) -> bool:
    """Return whether two or more members went silent within 0.75 s.

    Members that are already suspected are not counted.
    """
    starts = [each.since for each in timers if not each.suspected]
    spread = SUSPECT_AFTER_S - DOMAIN_SILENT_AFTER_S
    return len(starts) > 1 and max(starts) - min(starts) <= spread
