"""Loads and validates settings files and service files.

Example: ``load_balancer_settings(Path('balancer.json'))`` returns ``Ok``
with the settings, or ``Error`` with all findings.
"""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from trefoilhaven_core.settings.documents import Document, read_document
from trefoilhaven_core.settings.findings import Finding, Findings
from trefoilhaven_core.settings.readers import read_fields
from trefoilhaven_core.settings.segment_tables import (
    GATEWAY_FIELDS,
    SIDECAR_FIELDS,
)
from trefoilhaven_core.settings.tables import (
    AGENT_FIELDS,
    BALANCER_FIELDS,
    SERVICE_FIELDS,
)
from trefoilhaven_core.settings.types import (
    AgentSettings,
    BalancerSettings,
    FlowLimits,
    GatewaySettings,
    RequestLimits,
    Seed,
    ServiceConfiguration,
    SidecarSettings,
    TargetAddresses,
    WarmUpLimits,
    Witness,
)

_Values = dict[str, Any]


def load_balancer_settings(path: Path) -> Result[BalancerSettings, Findings]:
    """Load and validate the settings file of a balancer."""
    return read_document(path).bind(read_balancer_settings)


def read_balancer_settings(
    document: Document,
) -> Result[BalancerSettings, Findings]:
    """Validate the parsed settings file of a balancer."""
    return read_fields(document, BALANCER_FIELDS).bind(
        lambda values: _validate_across_fields(
            document, values, values['witnesses']
        ).map(
            _build_balancer,
        ),
    )


def load_agent_settings(path: Path) -> Result[AgentSettings, Findings]:
    """Load and validate the settings file of an agent."""
    return read_document(path).bind(read_agent_settings)


def read_agent_settings(document: Document) -> Result[AgentSettings, Findings]:
    """Validate the parsed settings file of an agent."""
    return read_fields(document, AGENT_FIELDS).bind(
        lambda values: _validate_across_fields(
            document,
            values,
            tuple(witness['name'] for witness in values['witnesses']),
        ).map(_build_agent),
    )


def load_gateway_settings(path: Path) -> Result[GatewaySettings, Findings]:
    """Load and validate the settings file of a gateway."""
    return read_document(path).bind(
        lambda document: read_fields(document, GATEWAY_FIELDS).map(
            lambda values: GatewaySettings(**_derive_values(values)),
        ),
    )


def load_sidecar_settings(path: Path) -> Result[SidecarSettings, Findings]:
    """Load and validate the settings file of a sidecar."""
    return read_document(path).bind(
        lambda document: read_fields(document, SIDECAR_FIELDS).map(
            lambda values: _build_sidecar(_derive_values(values)),
        ),
    )


def read_service(document: Document) -> Result[ServiceConfiguration, Findings]:
    """Validate a parsed service file."""
    return read_fields(document, SERVICE_FIELDS).map(_build_service)


def _validate_across_fields(
    document: Document,
    values: _Values,
    witnesses: tuple[str, ...],
) -> Result[_Values, Findings]:
    findings: list[Finding] = []
    if len(set(witnesses)) != len(witnesses):
        findings.append(
            document.finding('$.witnesses', 'a witness is listed twice'),
        )
    # An odd number of witnesses leaves a majority on one side when the network
    # is partitioned in two.
    if len(witnesses) % 2 == 0:
        message = f'{len(witnesses)} witnesses; the number must be odd'
        findings.append(document.finding('$.witnesses', message))
    findings.extend(_duplicate_addresses(document, values))
    return Error(tuple(findings)) if findings else Ok(values)


def _duplicate_addresses(document: Document, values: _Values) -> list[Finding]:
    return [
        document.finding(f'$.{second}', f'the same address as "{first}"')
        for first, second in (('flow', 'control'), ('rpc', 'metrics'))
        if values[first] == values[second]
    ]


def _advertised(values: _Values) -> _Values:
    return {
        f'advertise_{key}': values.get(f'advertise_{key}', values[key])
        for key in ('flow', 'control', 'rpc')
    }


def _derive_values(values: _Values) -> _Values:
    return values | {
        'advertise_control': values.get('advertise_control', values['control']),
        'seeds': tuple(seed['address'] for seed in values['seeds']),
    }


def _build_sidecar(values: _Values) -> SidecarSettings:
    warm_up = values.get('warm_up')
    limits = WarmUpLimits(**warm_up) if warm_up else None
    return SidecarSettings(**(values | {'warm_up': limits}))


def _build_balancer(values: _Values) -> BalancerSettings:
    seeds = tuple(Seed(**seed) for seed in values['seeds'])
    return BalancerSettings(**(values | _advertised(values) | {'seeds': seeds}))


def _build_agent(values: _Values) -> AgentSettings:
    nested = {
        'witnesses': tuple(Witness(**each) for each in values['witnesses']),
        'target': TargetAddresses(**values['target']),
    }
    return AgentSettings(**(values | _advertised(values) | nested))


def _build_service(values: _Values) -> ServiceConfiguration:
    nested = {
        'flows': FlowLimits(**values['flows']),
        'requests': RequestLimits(**values['requests']),
    }
    return ServiceConfiguration(**(values | nested))
