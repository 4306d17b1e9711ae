"""Counters of the flow table."""


class FlowCounters:
    """Events counted by an agent's flow table since the process started.

    Packets: ``forwarded``, ``queued`` and ``dropped``. ``wrong_service`` counts
    packets and notices of another service, which are not in ``dropped``.

    Flows: ``opened`` on the own target, of which ``admitted_placed`` were
    placed by another owner; ``redirected``, placed on a sibling; ``ended``,
    closed or reset after they were opened, of which ``reset`` were idle or lost
    their target; ``refused``, reset before they were opened; ``broken``, reset
    as unknown flows although their target may be alive.
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
        'wrong_service',
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
    wrong_service: int
    reset: int
