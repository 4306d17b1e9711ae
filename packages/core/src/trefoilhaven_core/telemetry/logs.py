"""Logs as JSON lines on standard output.

Modules log through ``logging.getLogger(__name__)`` and give the fields of
an event as ``extra``, for example
``extra={'service': 'certify', 'request_key': 'r-17'}``.
"""

import logging
import os
import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, TextIO

from pythonjsonlogger.msgspec import MsgspecFormatter

from trefoilhaven_core.settings import defaults

# Keys that a rate-limited log tells apart. Keys can come from outside,
# for example senders of datagrams, and must not fill the memory.
MAX_LIMITED_KEYS: Final = 256

logger = logging.getLogger(__name__)

_OTHER_KEYS: Final = 'others'


class LineBudget(logging.Filter):
    """Passes a bounded number of lines a second.

    The next line that passes tells in ``suppressed_lines`` how many were
    left out before it. Errors always pass.
    """

    def __init__(
        self,
        lines_per_s: float = defaults.LOG_BUDGET_LINES_PER_S,
        burst: int = defaults.LOG_BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with a full budget; ``clock`` returns seconds."""
        super().__init__()
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._filled_at = clock()
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Take a line from the budget."""
        now = self._clock()
        gained = (now - self._filled_at) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1 and record.levelno < logging.ERROR:
            self._suppressed += 1
            return False
        self._tokens = max(0, self._tokens - 1)
        if self._suppressed:
            record.suppressed_lines = self._suppressed
            self._suppressed = 0
        return True


class DroppingHandler(logging.StreamHandler[TextIO]):
    """Writes lines without ever waiting for the reader.

    A line that the pipe does not take is dropped and counted; the next one
    tells the number in ``dropped_lines``.
    """

    def __init__(self, stream: TextIO) -> None:
        """Switch the stream's file to non-blocking mode, if it has one."""
        super().__init__(stream)
        self.dropped = 0
        try:
            self._file: int | None = stream.fileno()
            os.set_blocking(self._file, False)
        except OSError:
            # A stream in memory, as in tests, never blocks.
            self._file = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line or drop it."""
        if self._file is None:
            super().emit(record)
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        line = f'{self.format(record)}\n'.encode()
        try:
            os.write(self._file, line)
        except OSError:
            self.dropped += 1
            return
        self.dropped = 0


def configure_logging(
    process: str,
    failure_domain: str,
    level: str,
    stream: TextIO = sys.stdout,
) -> None:
    """Send all logs of this process to a stream as JSON lines.

    An exception that ends the process is logged too. The volume is bounded
    and a reader that does not read never blocks the process.
    """
    formatter = MsgspecFormatter(
        ['levelname', 'name', 'message'],
        rename_fields={'levelname': 'level', 'name': 'logger'},
        static_fields={'process': process, 'failure_domain': failure_domain},
        timestamp='time',
    )
    handler = DroppingHandler(stream)
    handler.setFormatter(formatter)
    handler.addFilter(LineBudget())
    # No line names a thread, a process number or a place in the code, and
    # collecting them for each record takes a third of its time.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # noqa: SLF001
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    sys.excepthook = _log_uncaught


def _log_uncaught(
    kind: type[BaseException],
    error: BaseException,
    trace: TracebackType | None,
) -> None:
    if issubclass(kind, KeyboardInterrupt):
        return
    logger.critical(
        'the process ends by an error',
        exc_info=(kind, error, trace),
    )


class RateLimitedLog:
    """Logs at most so many lines a second for each key.

    The next line that passes tells how many were suppressed before it.
    """

    def __init__(
        self,
        logger: logging.Logger,
        lines_per_s: float = defaults.LOG_LINES_PER_S,
    ) -> None:
        """Wrap a logger."""
        self._logger = logger
        self._interval_s = 1 / lines_per_s
        self._next_s: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}
        self._next_expiry_s: float = 0

    def warn(self, now_s: float, key: str, message: str, **fields: Any) -> None:
        """Log a warning unless the key's last line is too recent.

        ``now_s`` is a monotonic time in seconds.
        """
        known = key if self._has_room(now_s, key) else _OTHER_KEYS
        if now_s < self._next_s.get(known, now_s):
            self._suppressed[known] = self._suppressed.get(known, 0) + 1
            return
        self._next_s[known] = now_s + self._interval_s
        fields['suppressed'] = self._suppressed.pop(known, 0)
        self._logger.warning(message, extra=fields)

    def _has_room(self, now_s: float, key: str) -> bool:
        if key in self._next_s or len(self._next_s) < MAX_LIMITED_KEYS:
            return True
        if now_s < self._next_expiry_s:
            return False
        self._next_expiry_s = now_s + self._interval_s
        self._expire_keys(now_s)
        return len(self._next_s) < MAX_LIMITED_KEYS

    def _expire_keys(self, now_s: float) -> None:
        due = [key for key, due_s in self._next_s.items() if due_s <= now_s]
        for key in due:
            self._next_s.pop(key)
            count = self._suppressed.pop(key, 0)
            others = self._suppressed.get(_OTHER_KEYS, 0)
            self._suppressed[_OTHER_KEYS] = others + count
