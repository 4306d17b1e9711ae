"""Counters of the flow table."""


class FlowCounters:
    """Events counted by an agent's flow table since the process started.

    ``broken`` counts flows that were reset as unknown although their target
    may be alive, ``redirected`` flows that were placed on a sibling.
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
