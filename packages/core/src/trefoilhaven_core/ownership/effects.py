"""Effects and states returned by the ownership logic."""

from enum import Enum
from typing import NamedTuple

from trefoilhaven_core.membership.messages import FenceRequest
from trefoilhaven_core.ownership.messages import ClaimBuckets


class OwnershipState(Enum):
    """Ownership of a bucket as seen by one agent.

    ``elsewhere`` means that the agent neither owns nor acquires the bucket.
    """

    owned = 'owned'
    acquiring = 'acquiring'
    elsewhere = 'elsewhere'


class SendClaim(NamedTuple):
    """Send a claim to the agent of a target."""

    target: str
    claim: ClaimBuckets


class SendFence(NamedTuple):
    """Send a fence request to all witnesses of the service."""

    request: FenceRequest


class BucketsAcquired(NamedTuple):
    """The agent has become the owner of these buckets."""

    buckets: tuple[int, ...]


class BucketsLost(NamedTuple):
    """The agent no longer owns these buckets.

    ``new_owner`` is the claimant that they were granted to, or None if the
    agent was fenced.
    """

    buckets: tuple[int, ...]
    new_owner: str | None


Effect = SendClaim | SendFence | BucketsAcquired | BucketsLost
