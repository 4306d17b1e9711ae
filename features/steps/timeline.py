"""Steps that check the output of the command ``timeline``."""

import time
from collections.abc import Iterable
from typing import Any, NamedTuple
from xml.etree import ElementTree

from behave import then, when

from trefoilhaven_core.timeline.clocks import pack_stamp
from trefoilhaven_core.timeline.messages import TimelineEvent

_SVG_TEXT = '{http://www.w3.org/2000/svg}text'
_TAKE_OVER_TIMEOUT_S = 30
_SERVICE = 'classroom-desk'


class CollectedEvents(NamedTuple):
    """Events after the kill of a target's agent, in the printed order."""

    victim: str
    siblings: frozenset[str]
    events: tuple[TimelineEvent, ...]
    unreachable: frozenset[str]

    def find(self, kind: str, **fields: str) -> list[int]:
        """Return the indexes of the events with these fields."""
        wanted = {'kind': kind, **fields}.items()
        return [
            index
            for index, event in enumerate(self.events)
            if wanted <= event._asdict().items()
        ]


@when('the agent of "{target}" is killed')
def kill_agent(context: Any, target: str) -> None:
    """Kill an agent and record the time."""
    run = context.run
    run.saved['victim'] = target
    run.saved['killed'] = pack_stamp(time.time())
    context.loop.run(run.deployment.kill(f'agent-{target}'))


@when('the siblings of "{target}" serve requests again')
def await_requests(context: Any, target: str) -> None:
    """Wait for the event ``requests resumed`` of each sibling."""
    run = context.run

    async def resumed() -> bool:
        context.collected = await _read_events(run)
        found = context.collected.find('requests resumed')
        servers = {context.collected.events[index].process for index in found}
        return bool(servers >= context.collected.siblings)

    context.loop.run(run.until(resumed, _TAKE_OVER_TIMEOUT_S))


@then('the timeline shows these events of "{target}" in order')
def check_order(context: Any, target: str) -> None:
    """The first events of the listed kinds appear in this order."""
    kinds = [row['event'] for row in context.table]
    firsts = []
    for kind in kinds:
        found = context.collected.find(kind, host=target)
        assert found, f'no event "{kind}": {_text(context.collected.events)}'
        firsts.append(found[0])
    assert firsts == sorted(firsts), _text(context.collected.events)


@then('each sibling was granted the fence before it acquired buckets')
def check_fences(context: Any) -> None:
    """Two of three witnesses grant the fence before buckets are acquired."""
    collected = context.collected
    for sibling in collected.siblings:
        votes = {
            collected.events[index].process: index
            for index in reversed(
                collected.find('lease fenced', host=collected.victim)
            )
            if collected.events[index].detail.endswith(f'asked by {sibling}')
        }
        fenced = collected.find('sibling fenced', process=sibling)[0]
        earlier = [index for index in votes.values() if index < fenced]
        assert len(earlier) >= 2, (sibling, _text(collected.events))
        acquired = collected.find('buckets acquired', process=sibling)
        assert fenced < acquired[0], (sibling, _text(collected.events))


@then('each sibling acquired buckets before it served a request')
def check_resumption(context: Any) -> None:
    """The first request after the takeover has an event with its key."""
    collected = context.collected
    for sibling in collected.siblings:
        acquired = collected.find('buckets acquired', process=sibling)
        resumed = collected.find('requests resumed', process=sibling)
        assert acquired[0] < resumed[0], (sibling, _text(collected.events))
        assert collected.events[resumed[0]].request_key
        # At most one event per acquisition, however many requests follow.
        assert len(resumed) <= len(acquired), _text(collected.events)


@then('at least {count:d} processes report events')
def check_processes(context: Any, count: int) -> None:
    """The events come from at least ``count`` processes."""
    processes = {event.process for event in context.collected.events}
    assert len(processes) >= count, processes


@then('the process of "{target}" is named as unreachable')
def check_unreachable(context: Any, target: str) -> None:
    """Only the agent that was killed is unreachable."""
    unreachable = context.collected.unreachable
    assert unreachable == {f'{_SERVICE}/{target}'}, unreachable


@then('the filters by service and host leave out all other events')
def check_filters(context: Any) -> None:
    """A filter returns all matching events and no others."""
    commands = context.run.commands
    everything = _events(context.loop.run(commands.timeline()))
    assert {_SERVICE, 'packet-press'} <= {each.service for each in everything}
    for option, field, wanted in (
        ('--service', 'service', 'packet-press'),
        ('--service', 'service', _SERVICE),
        ('--host', 'host', context.collected.victim),
    ):
        found = _events(context.loop.run(commands.timeline(option, wanted)))
        expected = {
            event for event in everything if getattr(event, field) == wanted
        }
        assert expected, (option, wanted)
        # New events may have been added since the unfiltered read.
        assert expected <= set(found), (option, wanted)
        assert {getattr(event, field) for event in found} == {wanted}


@then('the picture has a lane for each process')
def check_picture(context: Any) -> None:
    """The picture is well-formed SVG and names all processes."""
    run = context.run
    path = run.deployment.directory / 'timeline.svg'
    content = context.loop.run(
        run.commands.timeline('--service', _SERVICE, '--picture', str(path)),
    )
    root = ElementTree.parse(path).getroot()
    assert root.tag == '{http://www.w3.org/2000/svg}svg', root.tag
    texts = {element.text for element in root.iter(_SVG_TEXT)}
    assert {event.process for event in _events(content)} <= texts, texts


async def _read_events(run: Any) -> CollectedEvents:
    content = await run.commands.timeline('--service', _SERVICE)
    victim = run.saved['victim']
    events = tuple(
        event
        for event in _events(content)
        if event.clock >= run.saved['killed']
    )
    siblings = set(run.deployment.targets(_SERVICE)) - {victim}
    unreachable = frozenset(each['process'] for each in content['unreachable'])
    return CollectedEvents(victim, frozenset(siblings), events, unreachable)


def _events(content: dict[str, Any]) -> tuple[TimelineEvent, ...]:
    return tuple(TimelineEvent(**event) for event in content['events'])


def _text(events: Iterable[TimelineEvent]) -> str:
    return '\n'.join(map(str, events))
