"""Kind numbers of the messages between operator commands and processes."""

from typing import Final, NamedTuple

from trefoilhaven_core.telemetry import messages as telemetry
from trefoilhaven_core.timeline import messages as timeline

_KindTable = dict[int, type[NamedTuple]]

OPERATOR_KINDS: Final[_KindTable] = {
    20: telemetry.StatusRequest,
    21: telemetry.StatusReply,
    22: timeline.TimelineRequest,
    23: timeline.TimelineReply,
    24: telemetry.DrainRequest,
    25: telemetry.DrainReply,
    26: telemetry.ExplainRequest,
    27: telemetry.ExplainReply,
}
