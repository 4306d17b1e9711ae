"""Steps that start a deployment and change it."""

import time
from pathlib import Path
from typing import Any, NamedTuple

from behave import given, when

from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
)
from trefoilhaven_bench.scenarios.runs import ScenarioRun
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
    context.run = ScenarioRun(description, context.directory, _SERVICE_FILES)
    context.loop.run(context.run.start())


@when('a balancer is killed')
def kill_balancer(context: Any) -> None:
    """Kill a balancer chosen by the seed; the fabric is not notified."""
    run = context.run
    victim = run.random.choice(run.deployment.running_balancers())
    context.loop.run(run.deployment.kill(victim))


@when('the fabric forwards to the running balancers only')
def update_fabric(context: Any) -> None:
    """Send the list of running balancers to the fabric."""
    context.loop.run(context.run.deployment.update_fabric())


@when('a balancer joins')
def add_balancer(context: Any) -> None:
    """Start one more balancer behind the fabric."""
    context.loop.run(context.run.deployment.add_balancer())


@when('the target "{target}" of "{service}" drains')
def drain_target(context: Any, target: str, service: str) -> None:
    """Drain a target; record when its agent accepted, in Unix time."""
    run = context.run
    run.saved['drained'] = (service, target)
    run.saved['drained_at'] = context.loop.run(
        run.commands.drain(service, target),
    )


@when('"{service}" is published with a warm-up of {seconds:g} s')
def publish_change(context: Any, service: str, seconds: float) -> None:
    """Publish a changed service file and record its version."""
    run = context.run
    run.saved['version'] = context.loop.run(
        run.commands.change_service(service, warm_up_s=seconds),
    )


@when('the platform goes down')
def stop_platform(context: Any) -> None:
    """Let the platform answer every call with an error."""
    context.loop.run(context.run.deployment.set_platform_faults(down=True))


@when('a balancer is stopped')
def stop_balancer(context: Any) -> None:
    """Stop a balancer gracefully; the fabric is not notified."""
    run = context.run
    addresses = run.deployment.running_rpc()
    name = run.random.choice(list(addresses))
    child = run.deployment.children[name]
    run.saved['stopped'] = StoppedBalancer(addresses[name], time.monotonic())
    assert context.loop.run(child.stop()), f'{child.plan.name} was killed'


@when('the process "{name}" is killed')
def kill_process(context: Any, name: str) -> None:
    """Kill a target or an agent."""
    context.loop.run(context.run.deployment.kill(name))


@when('the agent of "{target}" is paused until it counts as {state}')
def pause_agent(context: Any, target: str, state: str) -> None:
    """Pause an agent until all balancers list its target in a state."""
    context.run.deployment.pause(f'agent-{target}')
    _await_state(context, target, MemberState[state])


@when('the agent of "{target}" is resumed')
def resume_agent(context: Any, target: str) -> None:
    """Resume a paused agent and wait until its target counts as alive."""
    context.run.deployment.resume(f'agent-{target}')
    _await_state(context, target, MemberState.alive)


@when('"{domain}" is cut off until "{target}" counts as {state}')
def isolate_domain(
    context: Any,
    domain: str,
    target: str,
    state: str,
) -> None:
    """Cut a failure domain's links to the others, but not to clients."""
    run = context.run
    run.saved['isolated'] = domain
    context.loop.run(run.deployment.isolate(domain, cut=True))
    _await_state(context, target, MemberState[state])


@when('"{domain}" is connected again until "{target}" counts as alive')
def connect_domain(context: Any, domain: str, target: str) -> None:
    """Restore a failure domain's links to the others."""
    run = context.run
    context.loop.run(run.deployment.isolate(domain, cut=False))
    run.saved.pop('isolated')
    _await_state(context, target, MemberState.alive)


def _await_state(context: Any, target: str, state: MemberState) -> None:
    """Wait until all balancers outside an isolated domain agree."""
    run = context.run
    isolated = run.saved.get('isolated')

    async def agreed() -> bool:
        seen = await run.commands.states_seen(target, isolated)
        return seen == {state}

    context.loop.run(run.until(agreed))
