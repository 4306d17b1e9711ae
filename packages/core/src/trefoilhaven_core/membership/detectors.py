"""Detection of silent agents and balancers.

A witness reports what it hears itself only. When all agents of a failure
domain that it hears fall silent together, it reports the domain once and
waits longer before it reports them dead, since a short network cut looks
the same.
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

DOMAIN_DEAD_AFTER_S: Final = 5.0

# A member that missed a heartbeat is silent for at least this long. A
# first suspect waits for its domain's other members while all of them are.
DOMAIN_SILENT_AFTER_S: Final = 0.75

# Members of a domain that speaks again get two heartbeats' time.
DOMAIN_GRACE_S: Final = 1.0

TICK_INTERVAL_S: Final = 0.25
MAX_TICK_DELAY_S: Final = 1.0

# A member that this balancer never heard gets longer: the network between
# them may be cut while other witnesses hear it.
UNHEARD_DEAD_AFTER_S: Final = 10.0

# A member that other witnesses still hear is judged again after this.
REPORT_REPEAT_S: Final = 60.0


class Detections(NamedTuple):
    """What a tick found.

    ``members``, ``balancers`` and ``silent_domains`` go to the
    disseminator. ``probes`` names balancers that are due a digest.
    """

    members: tuple[Member, ...] = ()
    balancers: tuple[BalancerRecord, ...] = ()
    silent_domains: tuple[SilentDomain, ...] = ()
    probes: tuple[str, ...] = ()


def refute(own: Member, record: Member) -> Member | None:
    """Return an agent's raised record when others report it wrongly.

    The result is None when ``record`` does not contradict the agent, for
    example because it is of another incarnation.
    """
    if (record.service, record.target) != (own.service, own.target):
        return None
    if not _contradicts(own, record):
        return None
    return own._replace(sequence=record.sequence + 1)


def refute_balancer(
    own: BalancerRecord, record: BalancerRecord
) -> BalancerRecord | None:
    """Return a balancer's raised record when others report it wrongly."""
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
    """Times the silence of agents and peer balancers at one balancer."""

    def __init__(
        self, own: BalancerRecord, store: ViewStore, now: float
    ) -> None:
        """Start hearing nobody; records come from ``store``."""
        self._own = own
        self._store = store
        self._last_tick = now
        self._reports = 0
        self._agents: dict[tuple[str, str], LivenessTimer] = {}
        self._silent_domains: set[str] = set()
        self._peers = PeerTimers(store)

    def on_heartbeat(self, now: float, member: Member) -> Member | None:
        """Note a sign of life.

        Returns the known record that contradicts the heartbeat, which the
        agent has to be told so that it refutes it.
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
        """Expect heartbeats of members that others told about.

        The caller passes the members whose witness this balancer is. It
        matters after a restart: nobody else may know a member that fell
        silent before it sent a heartbeat here.
        """
        for member in members:
            if member.state < MemberState.dead:
                key = (member.service, member.target)
                timer = LivenessTimer(
                    now, member.failure_domain, UNHEARD_DEAD_AFTER_S
                )
                self._agents.setdefault(key, timer)

    def release(self, services: Iterable[str]) -> None:
        """Stop judging members of services that have other witnesses now."""
        released = set(services)
        self._agents = {
            key: timer
            for key, timer in self._agents.items()
            if key[0] not in released
        }

    def on_peer_message(self, now: float, peer: str) -> None:
        """Note a digest or another message of a peer balancer."""
        self._peers.on_answer(peer)

    def on_probe_sent(self, now: float, peer: str) -> None:
        """Note that a digest went to a peer, which has to answer it."""
        self._peers.on_probe_sent(now, peer)

    def tick(self, now: float) -> Detections:
        """Return the reports that are due; call it every 0.25 s.

        After a pause of the process itself, all timers start again, since
        heartbeats of that time may wait in the socket or be lost.
        """
        is_late = now - self._last_tick > TICK_INTERVAL_S + MAX_TICK_DELAY_S
        self._last_tick = now
        if is_late:
            self._restart(now)
            return Detections()
        reports = self._report_domains(now)
        balancers, probes = self._peers.judge(now)
        return Detections(
            tuple(self._judge_agents(now)),
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

    def _judge_agents(self, now: float) -> list[Member]:
        deferred = self._possibly_silent_domains(now)
        changes = []
        for key, timer in list(self._agents.items()):
            record = self._store.member(*key)
            if record is None or record.state == MemberState.left:
                self._agents.pop(key)
                continue
            state = self._judge(now, timer, deferred)
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

    def _judge(
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

    A draining member stays draining until it is dead: a suspect one may
    get new work.
    """
    if state == MemberState.suspect:
        return known == MemberState.alive
    return state > known


def _fell_silent_together(timers: list[LivenessTimer]) -> bool:
    """Return whether at least two members fell silent within a period."""
    starts = [each.since for each in timers if not each.suspected]
    spread = SUSPECT_AFTER_S - DOMAIN_SILENT_AFTER_S
    return len(starts) > 1 and max(starts) - min(starts) <= spread
