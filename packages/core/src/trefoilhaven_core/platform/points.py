"""Points in the history of a store that may come back older.

A store that returns from an older copy loses its latest changes and gives
their revisions out again. Its era, a number in its answers, rises each time.
"""

import logging
from collections.abc import Callable
from typing import Final, NamedTuple

logger = logging.getLogger(__name__)

# Highest era that is taken for true: the version of evacuations has 18 bits
# for it. A higher one would hide all later answers for ever.
MAX_ERA: Final = (1 << 18) - 1

EraHandler = Callable[[int], None]


class StorePoint(NamedTuple):
    """A revision of the store in an era; points are ordered by both."""

    era: int = 0
    revision: int = 0


class EraTracker:
    """Latest era of the store, from the answers to one process."""

    def __init__(self) -> None:
        """Start before the first answer, in era 0."""
        self.era = 0
        self._is_known = False
        self._handlers: list[EraHandler] = []

    def on_rise(self, handler: EraHandler) -> Callable[[], None]:
        """Call a handler with each new era; return how to end that.

        The era of the first answer is not a new one.
        """
        self._handlers.append(handler)
        return lambda: self._handlers.remove(handler)

    def observe(self, header: str, *, is_success: bool) -> int:
        """Return the era of an answer, which may be older than the latest.

        ``header`` is the text of the era, '' in an answer without it. Such an
        answer is of the latest era, since a server between this process and
        the store may have given it.
        """
        era = _read_era(header)
        if era is None:
            self._is_known = self._is_known or is_success
            return self.era
        if era <= self.era and self._is_known:
            return era
        previous, was_known = self.era, self._is_known
        self.era = era
        self._is_known = True
        if was_known:
            logger.warning(
                'the store has come back from an older copy',
                extra={'era': era, 'previous_era': previous},
            )
            for handler in tuple(self._handlers):
                handler(era)
        return era


def _read_era(header: str) -> int | None:
    """Return the era in a header, None if there is none or it is malformed."""
    if not header.isascii() or not header.isdigit():
        return None
    era = int(header) if len(header) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None
