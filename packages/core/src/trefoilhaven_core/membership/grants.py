"""Lease state that a witness keeps for one target."""

from typing import Final

# Time of an event that did not happen.
NEVER: Final = float('-inf')


class Grant:
    """Lease state of one target at a witness.

    ``acked_at`` is the time of the last acknowledgement of the current
    incarnation, ``older_acked_at`` that of any older incarnation, and
    ``seen_at`` the time of the last heartbeat or fence request. Times are
    monotonic seconds, ``NEVER`` for an event that did not happen.
    """

    __slots__ = (
        'acked_at',
        'fenced_term',
        'incarnation',
        'older_acked_at',
        'seen_at',
        'term',
    )

    def __init__(self, incarnation: int, term: int) -> None:
        """Start without an acknowledgement."""
        self.incarnation = incarnation
        self.term = term
        self.fenced_term = 0
        self.acked_at = NEVER
        self.older_acked_at = NEVER
        self.seen_at = NEVER

    @property
    def is_fenced(self) -> bool:
        """Whether the highest known term is fenced."""
        return self.term <= self.fenced_term

    def advance(self, incarnation: int, term: int) -> None:
        """Adopt a newer incarnation, or a higher term of the same one."""
        if incarnation > self.incarnation:
            self.older_acked_at = max(self.older_acked_at, self.acked_at)
            self.acked_at = NEVER
            self.fenced_term = 0
            self.incarnation = incarnation
            self.term = term
        elif incarnation == self.incarnation:
            self.term = max(self.term, term)
