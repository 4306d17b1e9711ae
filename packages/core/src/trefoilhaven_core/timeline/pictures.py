"""SVG picture of a timeline with one lane for each process.

Events are placed by their rank in causal order instead of their time, so
that bursts stay legible.
"""

from collections.abc import Sequence
from typing import Final
from xml.etree import ElementTree

from trefoilhaven_core.timeline.merges import format_event, format_stamp
from trefoilhaven_core.timeline.messages import TimelineEvent

# Sizes in pixels.
_LABEL_WIDTH: Final = 160
# A lane has room for the slanted label of an event.
_LANE_HEIGHT: Final = 90
_EVENT_SPACING: Final = 26
# Labels closer together than this would overlap and are omitted.
_MIN_LABEL_SPACING: Final = 22
_MAX_LANE_WIDTH: Final = 12_000
_MARGIN: Final = 24
_RADIUS: Final = 5

_NAMESPACE: Final = 'http://www.w3.org/2000/svg'
_COLOURS: Final = (
    '#1b6ca8',
    '#b3541e',
    '#3f7d20',
    '#8e3b8c',
    '#a3333d',
    '#5c6672',
)


def draw_timeline(events: Sequence[TimelineEvent]) -> str:
    """Return events, which must be in causal order, as SVG text."""
    lanes = sorted({event.process for event in events})
    kinds = sorted({event.kind for event in events})
    spacing = _choose_spacing(len(events))
    width = _LABEL_WIDTH + round(spacing * len(events)) + _MARGIN * 2
    height = _LANE_HEIGHT * (len(lanes) + 1) + _MARGIN * 2
    root = ElementTree.Element(
        'svg',
        xmlns=_NAMESPACE,
        width=str(width),
        height=str(height),
        viewBox=f'0 0 {width} {height}',
    )
    root.set('font-family', 'sans-serif')
    root.set('font-size', '11')
    _draw_header(root, events)
    for row, lane in enumerate(lanes):
        _draw_lane(root, lane, _lane_y(row), width)
    for rank, event in enumerate(events):
        colour = _COLOURS[kinds.index(event.kind) % len(_COLOURS)]
        y = _lane_y(lanes.index(event.process))
        position = (_LABEL_WIDTH + _MARGIN + round(spacing * rank), y)
        _draw_event(root, event, position, colour)
        if spacing >= _MIN_LABEL_SPACING:
            _draw_label(root, event.kind, position, colour)
    return ElementTree.tostring(root, encoding='unicode')


def _draw_header(
    root: ElementTree.Element,
    events: Sequence[TimelineEvent],
) -> None:
    text = 'no events'
    if events:
        first, last = events[0].clock, events[-1].clock
        text = (
            f'{len(events)} events from {format_stamp(first)} to '
            f'{format_stamp(last)}'
        )
    _draw_text(root, (_MARGIN, _MARGIN), text)


def _draw_lane(
    root: ElementTree.Element,
    lane: str,
    y: int,
    width: int,
) -> None:
    _draw_text(root, (_MARGIN, y + 4), lane)
    ElementTree.SubElement(
        root,
        'line',
        x1=str(_LABEL_WIDTH),
        x2=str(width - _MARGIN),
        y1=str(y),
        y2=str(y),
        stroke='#c0c4c8',
    )


def _draw_event(
    root: ElementTree.Element,
    event: TimelineEvent,
    position: tuple[int, int],
    colour: str,
) -> None:
    x, y = position
    circle = ElementTree.SubElement(
        root,
        'circle',
        cx=str(x),
        cy=str(y),
        r=str(_RADIUS),
        fill=colour,
    )
    title = ElementTree.SubElement(circle, 'title')
    title.text = _printable(format_event(event))


def _draw_label(
    root: ElementTree.Element,
    text: str,
    position: tuple[int, int],
    colour: str,
) -> None:
    x, y = position[0], position[1] - _RADIUS * 2
    label = _draw_text(root, (x, y), text)
    label.set('fill', colour)
    label.set('transform', f'rotate(-30 {x} {y})')


def _draw_text(
    root: ElementTree.Element,
    position: tuple[int, int],
    text: str,
) -> ElementTree.Element:
    x, y = position
    element = ElementTree.SubElement(root, 'text', x=str(x), y=str(y))
    element.text = _printable(text)
    return element


def _printable(text: str) -> str:
    # Control characters are not allowed in XML, even when escaped.
    return ''.join(each if each.isprintable() else '?' for each in text)


def _lane_y(row: int) -> int:
    return _MARGIN + _LANE_HEIGHT * (row + 1)


def _choose_spacing(count: int) -> float:
    return min(_MAX_LANE_WIDTH / max(count, 1), _EVENT_SPACING)
