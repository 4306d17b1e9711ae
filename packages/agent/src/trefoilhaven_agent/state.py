"""State and decision code of an agent, shared by its tasks."""

import json
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven_core.admission.queues import AdmissionQueue, QueueLimits
from trefoilhaven_core.configuration.versions import ConfigurationStore
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.membership.leases import LeaseHolder
from trefoilhaven_core.membership.messages import (
    Load,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.views import ViewStore
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.ownership.effects import OwnershipState
from trefoilhaven_core.requests.decisions import KeyOwnership
from trefoilhaven_core.requests.records import RequestTable
from trefoilhaven_core.routing.tables import bucket_of, hash_item
from trefoilhaven_core.settings.types import AgentSettings
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic

logger = logging.getLogger(__name__)

# Maximum age of siblings' load reports, in seconds. It is not applied: a load
# is used until the next one, or until the sibling is no longer eligible.
MAX_LOAD_AGE_S: Final = 5.0


class AgentState:
    """Decision code of one agent and the record that it announces."""

    def __init__(self, cfg: AgentSettings, runtime: ProcessRuntime) -> None:
        """Start without a view and without ownership."""
        names = tuple(witness.name for witness in cfg.witnesses)
        identity = (cfg.service, cfg.name, runtime.incarnation)
        self.cfg = cfg
        self.runtime = runtime
        self.store = ViewStore()
        self.configurations = ConfigurationStore()
        self.lease = LeaseHolder(*identity, names)
        self.ownership = BucketOwnership(*identity, witnesses=names)
        # Claims and heartbeats must carry the same term, as siblings fence
        # the term that they saw in claims.
        self.ownership.on_term(self.lease.term)
        self.flows = FlowTable(*identity)
        self.requests = RequestTable(*identity)
        self.queue = AdmissionQueue(QueueLimits(cfg.slots), monotonic())
        self.loads: dict[str, Load] = {}
        self.target_alive = False
        self.drain_requested = False
        self.stopping = False
        self._unserved_buckets: frozenset[int] = frozenset()
        self.member = Member(
            cfg.service,
            cfg.name,
            cfg.host,
            cfg.failure_domain,
            runtime.incarnation,
            1,
            MemberState.draining,
            cfg.advertise_flow,
            cfg.advertise_control,
            cfg.advertise_rpc,
            cfg.slots,
        )
        self.store.merge([self.member])

    def load(self) -> Load:
        """Return the load of the target as the agent counts it."""
        return self.queue.load(monotonic(), len(self.flows))

    def update_member(self) -> bool:
        """Update the state of the own record; return whether it changed.

        A target that does not answer gets no new work, like a draining one.
        """
        leaving = self.drain_requested or self.stopping
        takes_work = self.target_alive and not leaving
        wanted = MemberState.alive if takes_work else MemberState.draining
        self.flows.is_draining = not takes_work
        if self.member.state == wanted:
            return False
        self.set_member(
            self.member._replace(
                state=wanted,
                sequence=self.member.sequence + 1,
            ),
        )
        return True

    def set_member(self, member: Member) -> None:
        """Replace the own record and publish the change."""
        self.member = member
        self.store.merge([member])
        self.runtime.publish(
            f'target {member.state.name}',
            member.service,
            host=member.target,
        )

    def key_ownership(self, key: str, now: float) -> KeyOwnership:
        """Return the ownership of a request key's bucket, with its entry."""
        item = hash_item(self.cfg.service, key.encode())
        bucket = bucket_of(item)
        ownership = self.ownership
        return KeyOwnership(
            ownership.state_of(bucket) is OwnershipState.owned,
            self.lease.lease_valid(now),
            ownership.horizon(bucket),
            ownership.directory.find(bucket, item),
        )

    def record_acquired(self, buckets: Iterable[int]) -> None:
        """Record buckets whose first served request is to be published."""
        self._unserved_buckets |= frozenset(buckets)

    def record_served(self, key: str) -> None:
        """Publish the first request served in an acquired bucket.

        Later ones are not published, as there may be thousands a second.
        """
        if not self._unserved_buckets:
            return
        bucket = bucket_of(hash_item(self.cfg.service, key.encode()))
        if bucket not in self._unserved_buckets:
            return
        self.runtime.publish(
            'requests resumed',
            self.cfg.service,
            request_key=key,
            host=self.cfg.name,
            detail='the first in an acquired bucket',
        )
        self._unserved_buckets = frozenset()

    def owner_hint(self, key: str) -> str:
        """Return the target that probably owns a key's bucket, or ''."""
        bucket = bucket_of(hash_item(self.cfg.service, key.encode()))
        return self.ownership.owner_hint(bucket) or ''

    def apply_configuration(self) -> None:
        """Apply the configuration with the highest known version."""
        service = self.cfg.service
        stored = self.store.configuration(service)
        if stored.version <= self.configurations.version(service):
            return
        try:
            content = json.loads(stored.content)
        except (ValueError, RecursionError):
            content = None
        if not self.configurations.offer(service, stored.version, content):
            logger.error(
                'configuration rejected',
                extra={'service': service, 'version': stored.version},
            )
            return
        configuration = self.configurations.get(service)
        if configuration is not None:
            self.flows.set_limits(
                configuration.flows.connection_limit,
                configuration.flows.idle_timeout_s,
            )
            self.requests.set_retention(configuration.requests.retention_s)
            self.queue.set_limits(
                QueueLimits(
                    configuration.requests.slots,
                    configuration.requests.queue_limit,
                    configuration.requests.long_body_bytes,
                    configuration.warm_up_s,
                ),
            )
            self._announce_slots(configuration.requests.slots)
        self.runtime.publish(
            'configuration in force',
            service,
            detail=f'version {stored.version}',
        )

    def _announce_slots(self, slots: int) -> None:
        """Announce the service file's slots in place of the settings' ones."""
        if self.member.slots != slots:
            self.set_member(
                self.member._replace(
                    slots=slots,
                    sequence=self.member.sequence + 1,
                ),
            )
