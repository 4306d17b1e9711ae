"""Counters of the flow table."""


class FlowCounters:
    """What an agent's flow table did since its start.

    ``broken`` counts flows that were lost although their target may live,
    ``redirected`` those that were placed on a sibling.
    """

    __slots__ = (
        'admitted_placed',
        'broken',
        'dropped',
        'ended',
        'forwarded',
        'opened',
        'queued',
        'redirected',
        'refused',
        'refused_service',
        'reset',
    )

    def __init__(self) -> None:
        """Start at zero."""
        for name in self.__slots__:
            setattr(self, name, 0)

    opened: int
    admitted_placed: int
    broken: int
    dropped: int
    ended: int
    forwarded: int
    queued: int
    redirected: int
    refused: int
    refused_service: int
    reset: int
