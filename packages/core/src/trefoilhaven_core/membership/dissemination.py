"""Dissemination of changes and versions among balancers.

Changes go to random peers and are relayed a bounded number of times. A
digest to one random peer each second repairs what was lost. All messages
are datagrams of less than 1,400 bytes; larger states are pulled.
"""

import random
from typing import Final, NamedTuple

from trefoilhaven_core.membership.anti_entropy import AntiEntropy
from trefoilhaven_core.membership.detectors import refute_balancer
from trefoilhaven_core.membership.gossip import (
    GossipQueue,
    Item,
    Send,
    pack,
)
from trefoilhaven_core.membership.messages import (
    BalancerRecord,
    Changes,
    ConfigurationNotice,
    Digest,
    MemberState,
    RegistryNotice,
    SilentDomain,
    State,
)
from trefoilhaven_core.membership.views import ViewStore

DIGEST_INTERVAL_S: Final = 1.0

# After a network partition balancers consider each other dead, and balancers
# that started together may know different seeds. An occasional digest to a
# dead balancer or to a seed that is no peer yet merges the sides again.
RECONNECT_INTERVAL_S: Final = 5.0

# Half of a budget of 4 KB/s for gossip, digests and heartbeats; the other half
# is left to digests and heartbeats.
GOSSIP_BYTES_PER_S: Final = 2_000.0

# When more groups differ, pulling the whole state is cheaper.
MAX_COMPARED_GROUPS: Final = 16

# More changes than this in one pulled state mean that this process joined
# late. They are not relayed, since the peers already know them.
MAX_RELAYED_STATE_ITEMS: Final = 8

# The same state is pulled from a peer, and group digests are sent to it again
# after a pull, at most once in this time, in seconds.
PULL_INTERVAL_S: Final = 1.0

# Number of recent reports of silent domains kept to drop duplicates.
REMEMBERED_REPORTS: Final = 1_024

_NEVER: Final = float('-inf')


class PullState(NamedTuple):
    """Effect: pull a peer's state of ``services``, or of all if empty."""

    peer: str
    services: tuple[str, ...] = ()


Effect = Send | PullState


class Disseminator:
    """Keeps the records of one balancer in sync with its peers."""

    def __init__(
        self,
        own: BalancerRecord,
        store: ViewStore,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        bytes_per_s: float = GOSSIP_BYTES_PER_S,
    ) -> None:
        """Start with this balancer's record queued for the first peers.

        ``seeds`` names balancers whose addresses are in the settings.
        """
        self.own = own
        self._store = store
        self._rng = rng
        self._gossip_queue = GossipQueue(own.name, rng, bytes_per_s)
        self._anti_entropy = AntiEntropy(own.name, store)
        self._digest_due = _NEVER
        self._seeds = seeds
        self._peers: list[str] = []
        self._peers_revision = -1
        self._reconnect_due = _NEVER
        self._reports: dict[tuple[str, int, int], None] = {}
        self._pulled_at: dict[PullState, float] = {}
        self._groups_sent_at: dict[str, float] = {}
        store.merge(balancers=[own])
        self._gossip_queue.add([own], 1)

    @property
    def peers(self) -> list[str]:
        """Names of the other balancers that are neither dead nor left."""
        revision = self._store.balancers_revision
        if revision != self._peers_revision:
            self._peers_revision = revision
            self._peers = [
                record.name
                for record in self._store.balancers
                if record.state < MemberState.dead
                and record.name != self.own.name
            ]
        return self._peers

    def announce(
        self, now: float, state: MemberState, step: int = 1
    ) -> list[Effect]:
        """Gossip a state with a sequence number that is higher by a step."""
        sequence = self.own.sequence + step
        self.own = self.own._replace(state=state, sequence=sequence)
        return self.on_changes(now, Changes(self.own.name, (), (self.own,), ()))

    def on_changes(self, now: float, changes: Changes) -> list[Effect]:
        """Merge records from a peer, an agent or the failure detector."""
        merged = self._store.merge(changes.members, changes.balancers)
        items: list[Item] = [*merged.members, *merged.balancers]
        for report in changes.silent_domains:
            is_new = self._note_report(report)
            if is_new and self._store.suspect_domain(report):
                items.append(report)
        return self._spread(now, items)

    def on_configuration(
        self, now: float, notice: ConfigurationNotice
    ) -> list[Effect]:
        """Store a higher version of a configuration and relay it."""
        if not self._store.set_configuration(*notice[1:]):
            return []
        item = self._anti_entropy.configuration_notice(notice.service)
        return self._spread(now, [item])

    def on_registry(self, now: float, notice: RegistryNotice) -> list[Effect]:
        """Store a higher version of a registry and relay it."""
        if not self._store.set_registry(*notice[1:]):
            return []
        item = self._anti_entropy.registry_notice(notice.service)
        return self._spread(now, [item])

    def on_state(self, now: float, state: State) -> list[Effect]:
        """Merge a state that was pulled from a peer.

        Its changes are relayed only if they are few.
        """
        items: list[Item] = []
        for registry in state.registries:
            if self._store.set_registry(*registry):
                name = registry.service
                items.append(self._anti_entropy.registry_notice(name))
        for configuration in state.configurations:
            if self._store.set_configuration(*configuration):
                name = configuration.service
                items.append(self._anti_entropy.configuration_notice(name))
        changed = self._store.merge(state.members, state.balancers)
        items.extend(changed.members + changed.balancers)
        if len(items) > MAX_RELAYED_STATE_ITEMS:
            items = []
        return self._spread(now, items)

    def tick(self, now: float) -> list[Effect]:
        """Return the relays and digests that are due.

        Called about every 0.25 s.
        """
        peers = self.peers
        effects: list[Effect] = []
        effects.extend(self._gossip_queue.send_new(now, peers))
        if now >= self._digest_due:
            self._digest_due = now + DIGEST_INTERVAL_S
            effects.extend(self._gossip_queue.send_pending(now, peers))
            if peers:
                effects.append(self.probe(self._rng.choice(peers)))
        if now >= self._reconnect_due:
            interval = RECONNECT_INTERVAL_S if peers else DIGEST_INTERVAL_S
            self._reconnect_due = now + interval
            effects.extend(self._reconnect(peers))
        return effects

    def probe(self, peer: str) -> Send:
        """Return a digest for a peer, which always answers it."""
        return Send(peer, Digest(self.own.name, self._store.root_digest()))

    def on_digest(self, now: float, digest: Digest) -> list[Effect]:
        """Compare a peer's digest; return what reconciles both sides."""
        root = self._store.root_digest()
        if digest.root == root:
            if digest.is_reply:
                return []
            reply = Digest(self.own.name, root, is_reply=True)
            return [Send(digest.sender, reply)]
        if digest.groups:
            return self._on_groups(now, digest)
        if digest.covered or digest.versions:
            return self._on_versions(now, digest)
        return [self._send_groups(now, digest.sender)]

    def _on_groups(self, now: float, digest: Digest) -> list[Effect]:
        peer = digest.sender
        differing = self._anti_entropy.differing_groups(digest.groups)
        is_few = len(differing) <= MAX_COMPARED_GROUPS
        if is_few and self._anti_entropy.fits_datagrams(differing):
            items = self._anti_entropy.balancers_in(differing)
            effects = self._push(peer, list(items))
            for message in self._anti_entropy.group_replies(differing):
                effects.append(Send(peer, message))
            return effects
        effects = self._pull(now, peer, ())
        sent_at = self._groups_sent_at.get(peer, _NEVER)
        if now - sent_at >= PULL_INTERVAL_S:
            effects.append(self._send_groups(now, peer))
        return effects

    def _on_versions(self, now: float, digest: Digest) -> list[Effect]:
        peer = digest.sender
        difference = self._anti_entropy.compare(digest.versions, digest.covered)
        items = [
            *self._anti_entropy.balancers_in(digest.covered),
            *difference.push,
        ]
        effects = self._push(peer, items)
        if digest.covered and difference.versions:
            for message in self._anti_entropy.reply(difference.versions):
                effects.append(Send(peer, message))
        if difference.pull:
            effects.extend(self._pull(now, peer, difference.pull))
        return effects

    def _spread(self, now: float, items: list[Item]) -> list[Effect]:
        is_refuted = self._refute()
        if not items and not is_refuted:
            return []
        peers = self.peers
        own = [self.own] if is_refuted else []
        self._gossip_queue.add([*items, *own], len(peers))
        return list(self._gossip_queue.send_new(now, peers))

    def _refute(self) -> bool:
        known = self._store.balancer(self.own.name)
        raised = known and refute_balancer(self.own, known)
        if not raised:
            return False
        self.own = raised
        self._store.merge(balancers=[raised])
        return True

    def _note_report(self, report: SilentDomain) -> bool:
        key = (report.reporter, report.incarnation, report.number)
        if key in self._reports:
            return False
        self._reports[key] = None
        if len(self._reports) > REMEMBERED_REPORTS:
            self._reports.pop(next(iter(self._reports)))
        return True

    def _reconnect(self, peers: list[str]) -> list[Effect]:
        dead = [
            record.name
            for record in self._store.balancers
            if record.state == MemberState.dead
        ]
        known = {self.own.name, *peers}
        lost = sorted({*dead, *self._seeds} - known)
        return [self.probe(self._rng.choice(lost))] if lost else []

    def _push(self, peer: str, items: list[Item]) -> list[Effect]:
        messages = pack(self.own.name, items)
        return [Send(peer, message) for message in messages]

    def _pull(
        self, now: float, peer: str, services: tuple[str, ...]
    ) -> list[Effect]:
        self._pulled_at = {
            pull: pulled_at
            for pull, pulled_at in self._pulled_at.items()
            if now - pulled_at < PULL_INTERVAL_S
        }
        pull = PullState(peer, services)
        if pull in self._pulled_at:
            return []
        self._pulled_at[pull] = now
        return [pull]

    def _send_groups(self, now: float, peer: str) -> Send:
        self._groups_sent_at[peer] = now
        digest = Digest(
            self.own.name,
            self._store.root_digest(),
            self._store.group_digests(),
            is_reply=True,
        )
        return Send(peer, digest)
