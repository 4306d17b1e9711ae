"""Kind numbers of all messages between the system's processes.

The numbers are part of the protocol and never reused.
"""

from typing import Final, NamedTuple

from trefoilhaven_core.connections import messages as connections
from trefoilhaven_core.connections import notices
from trefoilhaven_core.connections import restorations
from trefoilhaven_core.flows import messages as flows
from trefoilhaven_core.membership import messages as membership
from trefoilhaven_core.ownership import messages as ownership
from trefoilhaven_core.telemetry import messages as telemetry
from trefoilhaven_core.timeline import messages as timeline

KindTable = dict[int, type[NamedTuple]]

MESSAGE_KINDS: Final[KindTable] = {
    1: flows.FlowPacket,
    2: membership.Heartbeat,
    3: membership.HeartbeatAck,
    4: membership.HeartbeatRefused,
    5: membership.FenceRequest,
    6: membership.FenceVote,
    7: membership.Changes,
    8: membership.Digest,
    9: ownership.ClaimBuckets,
    10: ownership.ClaimReply,
    11: membership.ConfigurationNotice,
    12: membership.RegistryNotice,
    13: membership.StateRequest,
    14: membership.State,
    15: flows.FlowsEnded,
    20: telemetry.StatusRequest,
    21: telemetry.StatusReply,
    22: timeline.TimelineRequest,
    23: timeline.TimelineReply,
    24: telemetry.DrainRequest,
    25: telemetry.DrainReply,
    26: telemetry.ExplainRequest,
    27: telemetry.ExplainReply,
    30: connections.SegmentForward,
    31: connections.SegmentReturn,
    32: connections.HolderQuery,
    33: connections.HolderReply,
    34: connections.ConnectionAccepted,
    35: connections.TargetReport,
    36: connections.BalancerHello,
    37: connections.RouteQuery,
    38: connections.RouteReply,
    39: connections.TargetsQuery,
    40: connections.TargetsReply,
    41: notices.TargetPolicy,
    42: notices.StateOffer,
    43: restorations.RegistrationRequest,
    44: restorations.HeardQuery,
    45: restorations.HeardReply,
}
