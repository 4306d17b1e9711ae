"""Steps that generate flows and requests and check their results."""

from typing import Any

from behave import given, then, when

from trefoilhaven_bench.scenarios.invalid_datagrams import (
    send_malformed,
    send_misdirected,
    send_to_unknown,
)
from trefoilhaven_bench.verdicts import find_refused_but_ran, find_run_twice

_OPEN_TIMEOUT_S = 30
# The stated figure is 2 s. The check allows as much again, since a busy
# machine delays the agents' and the checks' own processes.
_NEW_WORK_LIMIT_S = 4
_IN_FORCE_LIMIT_S = 4
# A call sent less than this time before the stop of a balancer may not have
# reached the balancer yet.
_MAX_ARRIVAL_DELAY_S = 0.1
# Number of new flows that must open after the limit before a drained target
# is checked.
_MIN_LATER_FLOWS = 20


@given('{count:d} open flows to "{service}"')
def open_flows(context: Any, count: int, service: str) -> None:
    """Open flows and wait until all are answered."""
    run = context.run
    context.loop.run(run.start_flows(service, count, open_per_s=100))
    load = run.flows[service]
    context.loop.run(load.until_opened(count, _OPEN_TIMEOUT_S))


@given('{rate:d} new flows a second to "{service}"')
def keep_opening_flows(context: Any, rate: int, service: str) -> None:
    """Open flows at a steady rate until the scenario ends."""
    run = context.run
    flows = rate * 100
    context.loop.run(run.start_flows(service, flows, open_per_s=rate))
    load = run.flows[service]
    context.loop.run(load.until_opened(2 * rate, _OPEN_TIMEOUT_S))


@given('{rate:d} requests a second to "{service}"')
def send_requests(context: Any, rate: int, service: str) -> None:
    """Send requests at a steady rate until the scenario ends."""
    run = context.run
    context.loop.run(run.start_requests(service, rate))
    load = run.requests[service]
    context.loop.run(load.until_finished(rate, _OPEN_TIMEOUT_S))


@given('{rate:d} long requests a second to "{service}"')
def send_long_requests(context: Any, rate: int, service: str) -> None:
    """Send requests that run twenty times as long as usual."""
    run = context.run
    context.loop.run(run.start_requests(service, rate, long_share=1))
    load = run.requests[service]
    context.loop.run(load.until_finished(rate, _OPEN_TIMEOUT_S))


@when('every flow was answered again or has failed')
def await_answers(context: Any) -> None:
    """Wait until each open flow gets a new answer or fails."""
    context.loop.run(context.run.until_settled())


@when('{count:d} more requests have finished')
def await_requests(context: Any, count: int) -> None:
    """Wait until more requests of each service have an outcome."""
    for load in context.run.requests.values():
        context.loop.run(load.until_finished(count, _OPEN_TIMEOUT_S))


@when('garbage, unknown addresses and packets at wrong agents are sent')
def send_wrong_packets(context: Any) -> None:
    """Send datagrams that must not reach any target."""
    run = context.run
    arguments = (run.deployment, run.random)
    sent = send_malformed(*arguments, 100)
    sent += send_to_unknown(*arguments, 100)
    sent += send_misdirected(*arguments, 30)
    print(f'{sent} wrong datagrams sent', flush=True)


@when('new flows open after the limit for a leaving target')
def await_later_flows(context: Any) -> None:
    """Wait for new flows that open after the drain's time limit."""
    run = context.run
    service, _ = run.saved['drained']
    limit = run.saved['drained_at'] + _NEW_WORK_LIMIT_S

    async def has_enough_flows() -> bool:
        pages = await run.deployment.fetch_pages(service, 'flows')
        later = [at for page in pages for at in page['started'] if at > limit]
        return len(later) >= _MIN_LATER_FLOWS

    context.loop.run(run.until(has_enough_flows))


@then('no flow is broken')
def check_flows(context: Any) -> None:
    """Stop the loads; no flow may be broken or get a wrong answer."""
    flows, requests = context.loop.run(context.run.stop_loads())
    context.requests = requests
    for report in flows:
        assert not report['broken'], report
        assert not report['wrong'], report


@then('only flows of "{target}" are broken')
def check_flows_of_others(context: Any, target: str) -> None:
    """Stop the loads; flows of other targets must not be broken.

    No flow may get a wrong answer.
    """
    run = context.run
    reports = context.loop.run(run.stop_loads())
    context.requests = reports[1]
    for load in run.flows.values():
        broken = load.broken_by_target()
        print(f'broken flows: {dict(broken)}', flush=True)
        assert set(broken) <= {target}, load.report()
        assert not load.counts['wrong'], load.report()


@then('no request in progress was cut')
def check_calls(context: Any) -> None:
    """No call in progress at a balancer's stop may fail there."""
    stopped = context.run.saved['stopped']
    for report in context.requests:
        cut = [
            call
            for call in report['failed_calls']
            if call.balancer == stopped.balancer
            and call.asked_at < stopped.at - _MAX_ARRIVAL_DELAY_S
            and call.failed_at > stopped.at
        ]
        assert not cut, cut
        assert not report['counts'].get('partial'), report['counts']


@then('every request got a whole answer or ran at most once')
def check_requests(context: Any) -> None:
    """No answer is wrong, and no request runs twice.

    A request that was reported as not run did not run.
    """
    if 'requests' not in context:
        reports = context.loop.run(context.run.stop_loads())
        context.requests = reports[1]
    for report in context.requests:
        observe = context.run.deployment.fetch_pages(report['service'], 'ran')
        pages = context.loop.run(observe)
        assert report['done'], report['counts']
        assert not report['wrong'], report['counts']
        assert not find_run_twice(pages, report['run_once_keys'])
        assert not find_refused_but_ran(pages, report['refused'])


@then('the drained target got no new work after the limit')
def check_drained(context: Any) -> None:
    """No flow or request started at the target after the limit."""
    run = context.run
    service, target = run.saved['drained']
    starts = []
    for page in context.loop.run(run.deployment.fetch_pages(service, 'flows')):
        if page['target'] == target:
            starts.extend(page['started'])
    for page in context.loop.run(run.deployment.fetch_pages(service, 'ran')):
        if page['target'] == target:
            starts.extend(
                entry['started_at']
                for entries in page['ran'].values()
                for entry in entries
            )
    latest_s = max(starts, default=0) - run.saved['drained_at']
    print(f'last new work {latest_s:.2f} s after the drain', flush=True)
    assert latest_s <= _NEW_WORK_LIMIT_S, latest_s


@then('no target got a payload of another service')
def check_services(context: Any) -> None:
    """Targets got only well-formed payloads of their own service."""
    run = context.run
    for service in run.deployment.description.services:
        observe = run.deployment.fetch_pages(service.name, 'flows')
        for page in context.loop.run(observe):
            assert not page['counts'].get('cross_service'), page['counts']
            assert not page['counts'].get('malformed'), page['counts']


@then('all processes still run')
def check_processes(context: Any) -> None:
    """No process has exited."""
    children = context.run.deployment.children
    ended = [name for name, child in children.items() if not child.running]
    assert not ended, ended


@then('the new version of "{service}" is in force in all processes')
def check_in_force(context: Any, service: str) -> None:
    """Every process reports the version within the limit."""
    run = context.run
    in_force = context.loop.run(
        run.commands.until_in_force(
            service,
            run.saved['version'],
            _IN_FORCE_LIMIT_S,
        ),
    )
    print(f'in force after {in_force.seconds:.2f} s', flush=True)
