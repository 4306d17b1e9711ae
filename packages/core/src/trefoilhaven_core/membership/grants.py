"""A witness's memory of the lease of one target."""

from typing import Final

# Time of an event that did not happen.
NEVER: Final = float('-inf')


class Grant:
    """What a witness remembers about one target.

    ``acked_at`` is the time of the last acknowledgement of the current
    incarnation and ``older_acked_at`` of any older one.
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
        """Whether the highest term that was seen is fenced."""
        return self.term <= self.fenced_term

    def advance(self, incarnation: int, term: int) -> None:
        """Take over a newer incarnation, or a higher term of the same."""
        if incarnation > self.incarnation:
            self.older_acked_at = max(self.older_acked_at, self.acked_at)
            self.acked_at = NEVER
            self.fenced_term = 0
            self.incarnation = incarnation
            self.term = term
        elif incarnation == self.incarnation:
            self.term = max(self.term, term)
