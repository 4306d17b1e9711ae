"""Steps that start a deployment and change it."""

import time
from pathlib import Path
from typing import Any, NamedTuple

from behave import given, when

from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
)
from trefoilhaven_bench.scenarios.stages import Stage
from trefoilhaven_bench.settings import LIN_DOMAIN_DELAY_S
from trefoilhaven_core.membership.messages import MemberState


class StoppedBalancer(NamedTuple):
    """A balancer's gRPC address and the monotonic time of its stop."""

    balancer: str
    at: float


_SERVICE_FILES = Path(__file__).parents[2] / 'examples/services'


@given('a deployment behind the fault proxy with these services')
def start_deployment(context: Any) -> None:
    """Start three balancers and the targets of the table."""
    services = tuple(
        ServiceDescription(
            row['service'],
            row['address'],
            int(row['targets']),
            int(row['slots']),
        )
        for row in context.table
    )
    description = DeploymentDescription(
        'small',
        'lin',
        'tw-south',
        ('tainan-a', 'kaohsiung-b', 'pingtung-c'),
        services,
        domain_delay_s=LIN_DOMAIN_DELAY_S,
        proxied=True,
        seed=context.seed,
    )
    context.stage = Stage(description, context.directory, _SERVICE_FILES)
    context.loop.run(context.stage.start())


@when('a balancer is killed')
def kill_balancer(context: Any) -> None:
    """Kill a balancer chosen by the seed; the fabric is not notified."""
    stage = context.stage
    victim = stage.random.choice(stage.deployment.running_balancers())
    context.loop.run(stage.deployment.kill(victim))


@when('the fabric forwards to the running balancers only')
def update_fabric(context: Any) -> None:
    """Send the list of running balancers to the fabric."""
    context.loop.run(context.stage.deployment.spray_over_running())


@when('a balancer joins')
def add_balancer(context: Any) -> None:
    """Start one more balancer behind the fabric."""
    context.loop.run(context.stage.deployment.add_balancer())


@when('the target "{target}" of "{service}" drains')
def drain_target(context: Any, target: str, service: str) -> None:
    """Drain a target; record when its agent accepted, in Unix time."""
    stage = context.stage
    stage.noted['drained'] = (service, target)
    stage.noted['drained_at'] = context.loop.run(
        stage.commands.drain(service, target),
    )


@when('"{service}" is published with a warm-up of {seconds:g} s')
def publish_change(context: Any, service: str, seconds: float) -> None:
    """Publish a changed service file and record its version."""
    stage = context.stage
    stage.noted['version'] = context.loop.run(
        stage.commands.change_service(service, warm_up_s=seconds),
    )


@when('the platform goes down')
def stop_platform(context: Any) -> None:
    """Let the platform answer every call with an error."""
    context.loop.run(context.stage.deployment.set_platform_faults(down=True))


@when('a balancer is stopped')
def stop_balancer(context: Any) -> None:
    """Stop a balancer gracefully; the fabric is not notified."""
    stage = context.stage
    addresses = stage.deployment.running_rpc()
    name = stage.random.choice(list(addresses))
    child = stage.deployment.children[name]
    stage.noted['stopped'] = StoppedBalancer(addresses[name], time.monotonic())
    assert context.loop.run(child.stop()), f'{child.plan.name} was killed'


@when('the process "{name}" is killed')
def kill_process(context: Any, name: str) -> None:
    """Kill a target or an agent."""
    context.loop.run(context.stage.deployment.kill(name))


@when('the agent of "{target}" is paused until it counts as {state}')
def pause_agent(context: Any, target: str, state: str) -> None:
    """Pause an agent until all balancers list its target in a state."""
    context.stage.deployment.pause(f'agent-{target}')
    _await_state(context, target, MemberState[state])


@when('the agent of "{target}" is resumed')
def resume_agent(context: Any, target: str) -> None:
    """Resume a paused agent and wait until its target counts as alive."""
    context.stage.deployment.resume(f'agent-{target}')
    _await_state(context, target, MemberState.alive)


@when('"{domain}" is cut off until "{target}" counts as {state}')
def isolate_domain(
    context: Any,
    domain: str,
    target: str,
    state: str,
) -> None:
    """Cut a failure domain's links to the others, but not to clients."""
    stage = context.stage
    stage.noted['isolated'] = domain
    context.loop.run(stage.deployment.isolate(domain, cut=True))
    _await_state(context, target, MemberState[state])


@when('"{domain}" is connected again until "{target}" counts as alive')
def connect_domain(context: Any, domain: str, target: str) -> None:
    """Restore a failure domain's links to the others."""
    stage = context.stage
    context.loop.run(stage.deployment.isolate(domain, cut=False))
    stage.noted.pop('isolated')
    _await_state(context, target, MemberState.alive)


def _await_state(context: Any, target: str, state: MemberState) -> None:
    """Wait until all balancers outside an isolated domain agree."""
    stage = context.stage
    isolated = stage.noted.get('isolated')

    async def agreed() -> bool:
        seen = await stage.commands.states_seen(target, isolated)
        return seen == {state}

    context.loop.run(stage.until(agreed))
