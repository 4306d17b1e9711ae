"""Effects that the decision code of flows returns."""

from enum import Enum
from typing import NamedTuple

from trefoilhaven_core.flows.messages import FlowKey, FlowPacket, FlowsEnded


class ResetReason(Enum):
    """Why an agent resets a flow."""

    lost = 'flow is not known to the owner of its bucket'
    target_lost = 'target is lost'
    no_target = 'no target takes new flows'
    connection_limit = 'connection limit is reached'
    idle = 'idle timeout'


class DropReason(Enum):
    """Why a packet is dropped."""

    wrong_service = 'packet of another service'
    malformed = 'answer on the way to a target'
    hop_limit = 'hop limit is reached'
    no_owner = 'no owner is known'
    queue_full = 'queue of the bucket is full'
    queue_timeout = 'bucket was not acquired in time'
    flow_ended = 'flow has ended'
    holder_silent = 'holder may be a silent sibling'
    holder_restarted = 'packet was placed on an earlier incarnation'
    holder_unknown = 'holder is not in the view yet'
    stale = 'first packet of a flow waited through a pause'
    no_lease = 'no lease to decide that the flow is lost'


class Deliver(NamedTuple):
    """Pass a payload to the target; ``is_new`` opens the connection."""

    flow: FlowKey
    payload: bytes
    is_new: bool
    is_last: bool = False


class Forward(NamedTuple):
    """Send a packet to the agent of another target."""

    target: str
    packet: FlowPacket


class SendReset(NamedTuple):
    """Tell the caller that its flow has ended."""

    flow: FlowKey
    reason: ResetReason


class Queued(NamedTuple):
    """The packet is queued until the agent may decide about its bucket."""

    bucket: int


class Dropped(NamedTuple):
    """The packet was dropped."""

    reason: DropReason


class SendFlowsEnded(NamedTuple):
    """Send the owner of some buckets the flows in them that ended."""

    target: str
    message: FlowsEnded


Effect = Deliver | Forward | SendReset | Queued | Dropped | SendFlowsEnded
