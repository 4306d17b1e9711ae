"""Field tables of the settings files of gateways and sidecars."""

from typing import Final

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.settings.common_fields import (
    LOG_LEVEL,
    MAX_COUNT,
    MAX_TIME_S,
    address,
    name,
)
from trefoilhaven_core.settings.fields import Field, FieldKind, FieldTable

_SEGMENT_PROCESS_FIELDS: Final[FieldTable] = (
    name('name', 'Name of the process, unique in the system.'),
    name('host', 'Name of the host.'),
    name('failure_domain', 'Failure domain of the host.'),
    address('readiness', 'TCP address that the fabric asks for readiness.'),
    address('control', 'UDP and TCP address for other processes.'),
    Field(
        'advertise_control',
        FieldKind.address,
        'Address that others use in place of "control".',
        optional=True,
    ),
    address('metrics', 'TCP address of the metrics endpoint.'),
    address('platform', "TCP address of the platform's store."),
    Field(
        'seeds',
        FieldKind.sections,
        'Balancers that are asked first, by an address of theirs.',
        default=(),
        maximum=64,
        fields=(address('address', 'Any address of the balancer.'),),
    ),
    Field(
        'state_offers',
        FieldKind.boolean,
        'Whether the state is offered to balancers that have restarted.',
        default=defaults.STATE_OFFERS,
    ),
    LOG_LEVEL,
)

GATEWAY_FIELDS: Final[FieldTable] = (
    *_SEGMENT_PROCESS_FIELDS,
    address('segments', "UDP address that takes clients' segments."),
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
        maximum=MAX_TIME_S,
    ),
)

SIDECAR_FIELDS: Final[FieldTable] = (
    *_SEGMENT_PROCESS_FIELDS,
    name('service', 'Service of the target.'),
    address('segments', "UDP address that takes the target's segments."),
    address('announcements', "TCP address that takes the target's heartbeats."),
    address('target', 'UDP and TCP address of the target.'),
    address('fabric', 'Address whose port all clients take segments at.'),
    Field(
        'warm_up',
        FieldKind.section,
        'Limit of the new connections of a cold target; no limit if absent.',
        optional=True,
        fields=(
            Field(
                'overage',
                FieldKind.number,
                'Factor on the rate that the service can handle while cold.',
                minimum=0,
                maximum=1000,
            ),
            Field(
                'slack',
                FieldKind.number,
                'Openings a second in addition.',
                default=0,
                minimum=0,
                maximum=MAX_COUNT,
            ),
        ),
    ),
)
