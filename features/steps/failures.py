"""Steps that kill, pause and cut off processes."""

import asyncio
import json
from typing import Any

from behave import given, then, when

from trefoilhaven_bench.deployments.commands import CommandError
from trefoilhaven_core.membership.messages import MemberState

_REQUESTS_TIMEOUT_S = 90
_FENCE_TIMEOUT_S = 30
_HEAL_TIMEOUT_S = 60
_IN_FORCE_LIMIT_S = 4


@given('all links lose {loss:d}% and double {doubled:d}% of their packets')
def degrade_links(context: Any, loss: int, doubled: int) -> None:
    """Change all links of the fault proxy."""
    changes = {'loss': loss / 100, 'duplication': doubled / 100}
    context.loop.run(context.stage.deployment.set_links(**changes))


@given('the platform loses the answer of the next write')
def lose_answer(context: Any) -> None:
    """Let the next write take effect without an answer."""
    context.loop.run(
        context.stage.deployment.set_platform_faults(lose_write_answers=1),
    )


@when('the agent of "{target}" is killed')
def kill_agent(context: Any, target: str) -> None:
    """Kill an agent and note which flows its target served."""
    stage = context.stage
    stage.noted['victim'] = target
    context.loop.run(stage.deployment.kill(f'agent-{target}'))


@when('the agent of "{target}" starts again')
def start_agent(context: Any, target: str) -> None:
    """Start a killed agent with its settings."""
    context.loop.run(context.stage.deployment.start_again(f'agent-{target}'))


@when('the target "{target}" is killed')
def kill_target(context: Any, target: str) -> None:
    """Kill a target; its agent goes on."""
    context.loop.run(context.stage.deployment.kill(target))


@when('the agent of "{target}" is paused')
def pause_agent(context: Any, target: str) -> None:
    """Stop an agent with SIGSTOP."""
    context.stage.noted['victim'] = target
    context.stage.deployment.pause(f'agent-{target}')


@when('the agent of "{target}" resumes')
def resume_agent(context: Any, target: str) -> None:
    """Continue a paused agent."""
    context.stage.deployment.resume(f'agent-{target}')


@when('its lease is fenced')
def await_fence(context: Any) -> None:
    """Wait until a witness tells that the lease was fenced."""
    stage = context.stage
    victim = stage.noted['victim']

    async def is_fenced() -> bool:
        events = await stage.commands.events()
        return any(
            event.kind == 'lease fenced' and event.host == victim
            for event in events
        )

    context.loop.run(stage.until(is_fenced, _FENCE_TIMEOUT_S))


@when('{count:d} more requests have ended')
def await_requests(context: Any, count: int) -> None:
    """Wait for more requests of each load to end."""
    for load in context.stage.requests.values():
        context.loop.run(load.until_finished(count, _REQUESTS_TIMEOUT_S))


@when('the failure domain "{domain}" is cut off for {seconds:d} s')
def cut_domain(context: Any, domain: str, seconds: int) -> None:
    """Cut a failure domain from the others, and heal it again."""

    async def cut() -> None:
        deployment = context.stage.deployment
        others = set(deployment.description.failure_domains) - {domain}
        for other in sorted(others):
            await deployment.set_cut(domain, other, cut=True)
        # The length of the cut is the scenario's, not a wait for a result.
        await asyncio.sleep(seconds)
        for other in sorted(others):
            await deployment.set_cut(domain, other, cut=False)

    context.loop.run(cut())


@when('all members are alive again everywhere')
def await_healing(context: Any) -> None:
    """Wait until every process sees every member alive."""
    stage = context.stage

    async def is_healed() -> bool:
        statuses = await stage.commands.statuses()
        return all(
            status.member.state == MemberState.alive
            for reply in statuses.values()
            for status in reply.members
        )

    context.loop.run(stage.until(is_healed, _HEAL_TIMEOUT_S))


@when('two operators publish different changes of "{service}"')
def publish_twice(context: Any, service: str) -> None:
    """Start two publishes of the same base version side by side."""
    stage = context.stage
    stage.noted['service'] = service
    stage.noted['publishes'] = context.loop.run(
        stage.commands.race(service, ({'warm_up_s': 2}, {'warm_up_s': 4})),
    )


@then('exactly one publish succeeded and the other shows both sides')
def check_race(context: Any) -> None:
    """One winner; the loser names the conflict."""
    results = context.stage.noted['publishes']
    lost = [result for result in results if isinstance(result, CommandError)]
    assert len(lost) == 1, results
    assert 'conflict' in str(lost[0]), lost
    assert '---' in str(lost[0]), lost
    assert '+++' in str(lost[0]), lost


@then("the winner's version is in force in all processes")
def check_winner(context: Any) -> None:
    """The platform's version is in force everywhere."""
    stage = context.stage
    service = stage.noted['service']

    async def check() -> float:
        version = await stage.commands.published_version(service)
        in_force = await stage.commands.until_in_force(
            service,
            version,
            _IN_FORCE_LIMIT_S,
        )
        return float(in_force.seconds)

    print(f'in force after {context.loop.run(check()):.2f} s', flush=True)


@then('only flows of "{target}" are broken')
def check_own_flows(context: Any, target: str) -> None:
    """End the loads; flows of other targets must not be broken."""
    flows, requests = context.loop.run(context.stage.stop_loads())
    context.requests = requests
    for report in flows:
        foreign = {
            name: count
            for name, count in report['broken_by_target'].items()
            if name != target
        }
        print(f'broken flows: {report["broken_by_target"]}', flush=True)
        assert not foreign, json.dumps(report, default=str)
        assert not report['wrong'], report
