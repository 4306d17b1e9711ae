"""Steps that kill, pause and cut off processes."""

import asyncio
from typing import Any

from behave import given, then, when

from trefoilhaven_bench.deployments.commands import CommandError
from trefoilhaven_core.membership.messages import MemberState

_HEAL_TIMEOUT_S = 60
_IN_FORCE_LIMIT_S = 4


@given(
    'all links lose {loss:d}% and duplicate {duplicated:d}% of their packets'
)
def degrade_links(context: Any, loss: int, duplicated: int) -> None:
    """Set loss and duplication of all datagram links of the fault proxy."""
    changes = {'loss': loss / 100, 'duplication': duplicated / 100}
    context.loop.run(context.run.deployment.set_links(**changes))


@given('the platform loses the answer of the next write')
def lose_answer(context: Any) -> None:
    """Let the next write take effect, but drop its answer."""
    context.loop.run(
        context.run.deployment.set_platform_faults(lose_write_answers=1),
    )


@when('the process "{name}" starts again')
def start_process(context: Any, name: str) -> None:
    """Start a killed process again with the same settings."""
    context.loop.run(context.run.deployment.start_again(name))


@when('the failure domain "{domain}" is cut off for {seconds:d} s')
def cut_domain(context: Any, domain: str, seconds: int) -> None:
    """Cut the links between a failure domain and all others for a time."""

    async def cut() -> None:
        deployment = context.run.deployment
        others = set(deployment.description.failure_domains) - {domain}
        for other in sorted(others):
            await deployment.set_cut(domain, other, cut=True)
        # A fixed sleep: the scenario gives the duration of the cut.
        await asyncio.sleep(seconds)
        for other in sorted(others):
            await deployment.set_cut(domain, other, cut=False)

    context.loop.run(cut())


@when('all members are alive again everywhere')
def await_healing(context: Any) -> None:
    """Wait until every process lists every member as alive."""
    run = context.run

    async def is_healed() -> bool:
        statuses = await run.commands.statuses()
        return all(
            status.member.state == MemberState.alive
            for reply in statuses.values()
            for status in reply.members
        )

    context.loop.run(run.until(is_healed, _HEAL_TIMEOUT_S))


@when('two operators publish different changes of "{service}"')
def publish_twice(context: Any, service: str) -> None:
    """Run two publishes with the same base version concurrently."""
    run = context.run
    run.saved['service'] = service
    run.saved['publishes'] = context.loop.run(
        run.commands.publish_concurrently(
            service,
            ({'warm_up_s': 2}, {'warm_up_s': 4}),
        ),
    )


@then('exactly one publish succeeded and the other shows both sides')
def check_race(context: Any) -> None:
    """One publish succeeds; the other reports a conflict with a diff."""
    results = context.run.saved['publishes']
    lost = [result for result in results if isinstance(result, CommandError)]
    assert len(lost) == 1, results
    assert 'conflict' in str(lost[0]), lost
    assert '---' in str(lost[0]), lost
    assert '+++' in str(lost[0]), lost


@then("the winner's version is in force in all processes")
def check_winner(context: Any) -> None:
    """The version stored at the platform is in force in all processes."""
    run = context.run
    service = run.saved['service']

    async def check() -> float:
        version = await run.commands.published_version(service)
        in_force = await run.commands.until_in_force(
            service,
            version,
            _IN_FORCE_LIMIT_S,
        )
        return float(in_force.seconds)

    print(f'in force after {context.loop.run(check()):.2f} s', flush=True)
