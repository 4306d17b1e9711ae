"""Loads the settings of a process and service files.

Example: ``load_balancer_settings(Path('balancer.json'))`` returns ``Ok``
with the settings, or ``Error`` with all findings.
"""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from trefoilhaven_core.settings.documents import Document, read_document
from trefoilhaven_core.settings.findings import Finding, Findings
from trefoilhaven_core.settings.readers import read_fields
from trefoilhaven_core.settings.tables import (
    AGENT_FIELDS,
    BALANCER_FIELDS,
    GATEWAY_FIELDS,
    SERVICE_FIELDS,
    SIDECAR_FIELDS,
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
    Witness,
)

_Values = dict[str, Any]


def load_balancer_settings(path: Path) -> Result[BalancerSettings, Findings]:
    """Read and check the settings file of a balancer."""
    return read_document(path).bind(read_balancer_settings)


def read_balancer_settings(
    document: Document,
) -> Result[BalancerSettings, Findings]:
    """Check the content of a balancer's settings file."""
    return read_fields(document, BALANCER_FIELDS).bind(
        lambda read: _checked(document, read, read['witnesses']).map(
            _build_balancer,
        ),
    )


def load_agent_settings(path: Path) -> Result[AgentSettings, Findings]:
    """Read and check the settings file of an agent."""
    return read_document(path).bind(read_agent_settings)


def read_agent_settings(document: Document) -> Result[AgentSettings, Findings]:
    """Check the content of an agent's settings file."""
    return read_fields(document, AGENT_FIELDS).bind(
        lambda read: _checked(
            document,
            read,
            tuple(witness['name'] for witness in read['witnesses']),
        ).map(_build_agent),
    )


def load_gateway_settings(path: Path) -> Result[GatewaySettings, Findings]:
    """Read and check the settings file of a balancer for segments."""
    return read_document(path).bind(
        lambda document: read_fields(document, GATEWAY_FIELDS).map(
            lambda read: GatewaySettings(**_complete(read)),
        ),
    )


def load_sidecar_settings(path: Path) -> Result[SidecarSettings, Findings]:
    """Read and check the settings file of an agent for segments."""
    return read_document(path).bind(
        lambda document: read_fields(document, SIDECAR_FIELDS).map(
            lambda read: SidecarSettings(**_complete(read)),
        ),
    )


def read_service(document: Document) -> Result[ServiceConfiguration, Findings]:
    """Check the content of a service file."""
    return read_fields(document, SERVICE_FIELDS).map(_build_service)


def _checked(
    document: Document,
    read: _Values,
    witnesses: tuple[str, ...],
) -> Result[_Values, Findings]:
    findings: list[Finding] = []
    if len(set(witnesses)) != len(witnesses):
        findings.append(
            document.finding('$.witnesses', 'a witness is listed twice'),
        )
    if len(witnesses) % 2 == 0:
        message = f'{len(witnesses)} witnesses; the number must be odd'
        findings.append(document.finding('$.witnesses', message))
    findings.extend(_same_sockets(document, read))
    return Error(tuple(findings)) if findings else Ok(read)


def _same_sockets(document: Document, read: _Values) -> list[Finding]:
    return [
        document.finding(f'$.{second}', f'the same address as "{first}"')
        for first, second in (('flow', 'control'), ('rpc', 'metrics'))
        if read[first] == read[second]
    ]


def _advertised(read: _Values) -> _Values:
    return {
        f'advertise_{key}': read.get(f'advertise_{key}', read[key])
        for key in ('flow', 'control', 'rpc')
    }


def _complete(read: _Values) -> _Values:
    return read | {
        'advertise_control': read.get('advertise_control', read['control']),
        'seeds': tuple(seed['address'] for seed in read['seeds']),
    }


def _build_balancer(read: _Values) -> BalancerSettings:
    seeds = tuple(Seed(**seed) for seed in read['seeds'])
    return BalancerSettings(**(read | _advertised(read) | {'seeds': seeds}))


def _build_agent(read: _Values) -> AgentSettings:
    nested = {
        'witnesses': tuple(Witness(**each) for each in read['witnesses']),
        'target': TargetAddresses(**read['target']),
    }
    return AgentSettings(**(read | _advertised(read) | nested))


def _build_service(read: _Values) -> ServiceConfiguration:
    nested = {
        'flows': FlowLimits(**read['flows']),
        'requests': RequestLimits(**read['requests']),
    }
    return ServiceConfiguration(**(read | nested))
