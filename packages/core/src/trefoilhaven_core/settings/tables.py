"""Field tables of the settings files of all processes and service files."""

from typing import Final

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.settings.fields import Field, FieldKind, FieldTable

MAX_WITNESSES: Final = 5

_MAX_TIME_S: Final = 604_800.0
_MAX_COUNT: Final = 1_000_000
_LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')


def _address(key: str, description: str) -> Field:
    return Field(key, FieldKind.address, description)


def _name(key: str, description: str) -> Field:
    return Field(key, FieldKind.name, description)


def _count(key: str, description: str, default: int) -> Field:
    return Field(
        key,
        FieldKind.integer,
        description,
        default=default,
        minimum=1,
        maximum=_MAX_COUNT,
    )


def _duration(key: str, description: str, default: float) -> Field:
    return Field(
        key,
        FieldKind.number,
        f'{description}, in seconds.',
        default=default,
        minimum=0,
        maximum=_MAX_TIME_S,
    )


def _share(key: str, description: str, default: float) -> Field:
    return Field(
        key,
        FieldKind.number,
        description,
        default=default,
        minimum=0,
        maximum=1,
    )


_PROCESS_ADDRESSES: Final[FieldTable] = (
    _address('flow', 'UDP address for flow packets.'),
    _address('control', 'UDP address for control messages.'),
    _address('rpc', 'TCP address for gRPC.'),
    _address('metrics', 'TCP address of the metrics endpoint.'),
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

_FABRIC: Final = _address('fabric', 'UDP address that takes answer packets.')

_LOG_LEVEL: Final = Field(
    'log_level',
    FieldKind.choice,
    'Lowest level of log lines.',
    default=defaults.LOG_LEVEL,
    choices=_LOG_LEVELS,
)

BALANCER_FIELDS: Final[FieldTable] = (
    _name('name', 'Name of the process, unique in the system.'),
    _name('host', 'Name of the host.'),
    _name('failure_domain', 'Failure domain of the host.'),
    _name('operator', 'Operator that runs the host.'),
    *_PROCESS_ADDRESSES,
    Field('platform', FieldKind.url, 'Base URL of the platform.'),
    Field(
        'seeds',
        FieldKind.sections,
        'Balancers that are asked first.',
        default=(),
        maximum=64,
        fields=(
            _name('name', 'Name of the balancer.'),
            _name('failure_domain', 'Its failure domain.'),
            _address('control', 'Its control address.'),
            _address('rpc', 'Its gRPC address.'),
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
    _LOG_LEVEL,
)

AGENT_FIELDS: Final[FieldTable] = (
    _name('name', 'Name of the target, unique in its service.'),
    _name('service', 'Service of the target.'),
    _name('host', 'Name of the host.'),
    _name('failure_domain', 'Failure domain of the host.'),
    *_PROCESS_ADDRESSES,
    Field(
        'witnesses',
        FieldKind.sections,
        'Witnesses of the lease, an odd number.',
        minimum=1,
        maximum=MAX_WITNESSES,
        fields=(
            _name('name', 'Name of the balancer.'),
            _address('control', 'Its control address.'),
            _address('rpc', 'Its gRPC address.'),
        ),
    ),
    _FABRIC,
    Field(
        'target',
        FieldKind.section,
        'Addresses of the target beside the agent.',
        fields=(
            _address('flow', 'UDP address for flow payloads.'),
            _address('rpc', 'TCP address for gRPC.'),
        ),
    ),
    _count('slots', 'Requests that the target runs at once.', defaults.SLOTS),
    _LOG_LEVEL,
)

_FLOW_LIMITS: Final[FieldTable] = (
    _duration('idle_timeout_s', 'Idle time of a flow', defaults.IDLE_TIMEOUT_S),
    _count(
        'connection_limit',
        'Open flows of one target.',
        defaults.CONNECTION_LIMIT,
    ),
)

_REQUEST_LIMITS: Final[FieldTable] = (
    _count('slots', 'Requests that one target runs at once.', defaults.SLOTS),
    _count(
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
    _duration('retention_s', 'Time records are kept', defaults.RETENTION_S),
    _share(
        'retry_budget',
        'Share of the load that retries may add.',
        defaults.RETRY_BUDGET,
    ),
)

SERVICE_FIELDS: Final[FieldTable] = (
    _name('service', 'Name of the service.'),
    _address('address', 'Address that callers and flows use.'),
    _name('operator', 'Operator of the service.'),
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
    _duration('warm_up_s', 'Ramp of a cold target', defaults.WARM_UP_S),
    _share(
        'eject_share',
        'Largest share of targets that are ejected at once.',
        defaults.EJECT_SHARE,
    ),
)

_SEGMENT_PROCESS_FIELDS: Final[FieldTable] = (
    _name('name', 'Name of the process, unique in the system.'),
    _name('host', 'Name of the host.'),
    _name('failure_domain', 'Failure domain of the host.'),
    _address('readiness', 'TCP address that the fabric asks for readiness.'),
    _address('control', 'UDP and TCP address for other processes.'),
    Field(
        'advertise_control',
        FieldKind.address,
        'Address that others use in place of "control".',
        optional=True,
    ),
    _address('metrics', 'TCP address of the metrics endpoint.'),
    _address('platform', "TCP address of the platform's store."),
    Field(
        'seeds',
        FieldKind.sections,
        'Balancers that are asked first, by an address of theirs.',
        default=(),
        maximum=64,
        fields=(_address('address', 'Any address of the balancer.'),),
    ),
    Field(
        'state_offers',
        FieldKind.boolean,
        'Whether the state is offered to balancers that have restarted.',
        default=defaults.STATE_OFFERS,
    ),
    _LOG_LEVEL,
)

GATEWAY_FIELDS: Final[FieldTable] = (
    *_SEGMENT_PROCESS_FIELDS,
    _address('segments', "UDP address that takes clients' segments."),
    Field(
        'processor_share',
        FieldKind.number,
        'Share of a processor core that the process may use.',
        default=defaults.PROCESSOR_SHARE,
        minimum=0.001,
        maximum=100,
    ),
    Field(
        'processor_speed',
        FieldKind.number,
        'Speed of that core, relative to a usual one.',
        default=defaults.PROCESSOR_SPEED,
        minimum=0.001,
        maximum=100,
    ),
    Field(
        'evacuations',
        FieldKind.boolean,
        'Whether evacuations of failure domains are read from the platform.',
        default=defaults.EVACUATIONS,
    ),
    Field(
        'overload_refusals',
        FieldKind.boolean,
        'Whether new connections are refused when a service is short of room.',
        default=defaults.OVERLOAD_REFUSALS,
    ),
    Field(
        'domain_crossing_cost_s',
        FieldKind.number,
        'Additional wait that is accepted to keep a request inside the '
        'failure domain, in seconds. Without it, a fixed penalty applies. '
        f'A usual value is {defaults.DOMAIN_CROSSING_COST_S}.',
        optional=True,
        minimum=0,
        maximum=_MAX_TIME_S,
    ),
)

SIDECAR_FIELDS: Final[FieldTable] = (
    *_SEGMENT_PROCESS_FIELDS,
    _name('service', 'Service of the target.'),
    _address('segments', "UDP address that takes the target's segments."),
    _address(
        'announcements', "TCP address that takes the target's heartbeats."
    ),
    _address('target', 'UDP and TCP address of the target.'),
    _address('fabric', 'Address whose port all clients take segments at.'),
    Field(
        'warm_up',
        FieldKind.section,
        'Limit of the new connections of a cold target; no limit if absent.',
        optional=True,
        fields=(
            Field(
                'overage',
                FieldKind.number,
                'Factor on the rate that the service bears while cold.',
                minimum=0,
                maximum=1000,
            ),
            Field(
                'slack',
                FieldKind.number,
                'Openings a second in addition.',
                default=0,
                minimum=0,
                maximum=_MAX_COUNT,
            ),
        ),
    ),
)
