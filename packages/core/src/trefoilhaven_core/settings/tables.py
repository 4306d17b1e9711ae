"""Field tables of the settings files of all processes and service files."""

from typing import Final

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.settings.common_fields import (
    LOG_LEVEL,
    address,
    count,
    duration,
    name,
    share,
)
from trefoilhaven_core.settings.fields import Field, FieldKind, FieldTable

MAX_WITNESSES: Final = 5

_PROCESS_ADDRESSES: Final[FieldTable] = (
    address('flow', 'UDP address for flow packets.'),
    address('control', 'UDP address for control messages.'),
    address('rpc', 'TCP address for gRPC.'),
    address('metrics', 'TCP address of the metrics endpoint.'),
    *[
        Field(
            f'advertise_{key}',
            FieldKind.address,
            f'Address that others use in place of "{key}".',
            optional=True,
        )
        for key in ('flow', 'control', 'rpc')
    ],
)

_FABRIC: Final = address('fabric', 'UDP address that takes answer packets.')

BALANCER_FIELDS: Final[FieldTable] = (
    name('name', 'Name of the process, unique in the system.'),
    name('host', 'Name of the host.'),
    name('failure_domain', 'Failure domain of the host.'),
    name('operator', 'Operator that runs the host.'),
    *_PROCESS_ADDRESSES,
    Field('platform', FieldKind.url, 'Base URL of the platform.'),
    Field(
        'seeds',
        FieldKind.sections,
        'Balancers that are asked first.',
        default=(),
        maximum=64,
        fields=(
            name('name', 'Name of the balancer.'),
            name('failure_domain', 'Its failure domain.'),
            address('control', 'Its control address.'),
            address('rpc', 'Its gRPC address.'),
        ),
    ),
    Field(
        'witnesses',
        FieldKind.names,
        'Names of the witnesses, an odd number.',
        minimum=1,
        maximum=MAX_WITNESSES,
    ),
    _FABRIC,
    LOG_LEVEL,
)

AGENT_FIELDS: Final[FieldTable] = (
    name('name', 'Name of the target, unique in its service.'),
    name('service', 'Service of the target.'),
    name('host', 'Name of the host.'),
    name('failure_domain', 'Failure domain of the host.'),
    *_PROCESS_ADDRESSES,
    Field(
        'witnesses',
        FieldKind.sections,
        'Witnesses of the lease, an odd number.',
        minimum=1,
        maximum=MAX_WITNESSES,
        fields=(
            name('name', 'Name of the balancer.'),
            address('control', 'Its control address.'),
            address('rpc', 'Its gRPC address.'),
        ),
    ),
    _FABRIC,
    Field(
        'target',
        FieldKind.section,
        'Addresses of the target beside the agent.',
        fields=(
            address('flow', 'UDP address for flow payloads.'),
            address('rpc', 'TCP address for gRPC.'),
        ),
    ),
    count('slots', 'Requests that the target runs at once.', defaults.SLOTS),
    LOG_LEVEL,
)

_FLOW_LIMITS: Final[FieldTable] = (
    duration('idle_timeout_s', 'Idle time of a flow', defaults.IDLE_TIMEOUT_S),
    count(
        'connection_limit',
        'Open flows of one target.',
        defaults.CONNECTION_LIMIT,
    ),
)

_REQUEST_LIMITS: Final[FieldTable] = (
    count('slots', 'Requests that one target runs at once.', defaults.SLOTS),
    count(
        'queue_limit',
        'Requests that wait for one target.',
        defaults.QUEUE_LIMIT,
    ),
    Field(
        'long_body_bytes',
        FieldKind.integer,
        'Size in bytes from which a body counts as long work.',
        default=defaults.LONG_BODY_BYTES,
        minimum=1,
        maximum=defaults.PLATFORM_OBJECT_BYTES * 100,
    ),
    duration('retention_s', 'Time records are kept', defaults.RETENTION_S),
    share(
        'retry_budget',
        'Share of the load that retries may add.',
        defaults.RETRY_BUDGET,
    ),
)

SERVICE_FIELDS: Final[FieldTable] = (
    name('service', 'Name of the service.'),
    address('address', 'Address that callers and flows use.'),
    name('operator', 'Operator of the service.'),
    Field(
        'flows',
        FieldKind.section,
        'Limits of flows.',
        default={},
        fields=_FLOW_LIMITS,
    ),
    Field(
        'requests',
        FieldKind.section,
        'Limits of requests.',
        default={},
        fields=_REQUEST_LIMITS,
    ),
    duration('warm_up_s', 'Ramp of a cold target', defaults.WARM_UP_S),
    share(
        'eject_share',
        'Largest share of targets that are ejected at once.',
        defaults.EJECT_SHARE,
    ),
)
