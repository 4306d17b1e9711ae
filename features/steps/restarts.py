"""Steps that restart all balancers and agents and await recovery."""

from typing import Any

from behave import when

_RECOVERY_TIMEOUT_S = 30


@when('all balancers and agents are killed and start again')
def restart_product(context: Any) -> None:
    """Kill all balancers and agents, start them, wait until all are ready."""
    context.loop.run(context.run.restart_product())


@when('{count:d} new flows to "{service}" are open')
def open_new_flows(context: Any, count: int, service: str) -> None:
    """End the current flows and open new ones."""
    run = context.run
    context.loop.run(run.replace_flows(service, count))
    load = run.flows[service]
    context.loop.run(load.until_opened(count, _RECOVERY_TIMEOUT_S))


@when('{count:d} more requests are done')
def await_done_requests(context: Any, count: int) -> None:
    """Wait for complete answers; other outcomes are not counted."""
    loads = context.run.requests.values()
    wanted = {load: load.counts['done'] + count for load in loads}

    async def has_enough_requests() -> bool:
        return all(load.counts['done'] >= done for load, done in wanted.items())

    context.loop.run(
        context.run.until(has_enough_requests, _RECOVERY_TIMEOUT_S)
    )
