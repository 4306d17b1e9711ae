"""Logs as JSON lines on standard output.

Modules log through ``logging.getLogger(__name__)`` and pass the fields of
a line as ``extra``, for example
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

# Limit of keys that a rate-limited log tracks. Keys can come from outside,
# for example from the senders of datagrams, and must not exhaust memory.
MAX_LIMITED_KEYS: Final = 256

logger = logging.getLogger(__name__)

# Shared by all keys above the limit.
_OTHER_KEYS: Final = 'others'


class LineBudget(logging.Filter):
    """Limits the rate of log lines with a token bucket.

    After dropped lines, the next line that passes holds their number in
    ``suppressed_lines``. Errors always pass.
    """

    def __init__(
        self,
        lines_per_s: float = defaults.LOG_BUDGET_LINES_PER_S,
        burst: int = defaults.LOG_BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with a full bucket; ``clock`` returns seconds."""
        super().__init__()
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock()
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line passes."""
        now = self._clock()
        gained = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.ERROR:
            self._suppressed += 1
            return False
        self._tokens = max(0, self._tokens - 1)
        if self._suppressed:
            record.suppressed_lines = self._suppressed
            self._suppressed = 0
        return True


class DroppingHandler(logging.StreamHandler[TextIO]):
    """Writes lines to a non-blocking stream.

    A line that does not fit into the pipe is dropped; the next line that
    is written holds the number of dropped lines in ``dropped_lines``.
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
        """Write one line, or drop it if the write fails."""
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

    Uncaught exceptions are logged as well. The rate of lines is limited,
    and the process does not block when the stream is not read.
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
    # Lines contain no thread, process id or source location; collecting
    # these takes a third of the time of each record.
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
        'process ends with an uncaught exception',
        exc_info=(kind, error, trace),
    )


class RateLimitedLog:
    """Logs at most ``lines_per_s`` lines per second for each key.

    The next line of a key holds the number of lines dropped since its last
    one in ``suppressed``. When the table of keys is full, the counts of
    expired keys move to ``others``, the key of new keys without room.
    """

    def __init__(
        self,
        logger: logging.Logger,
        lines_per_s: float = defaults.LOG_LINES_PER_S,
    ) -> None:
        self._logger = logger
        self._interval_s = 1 / lines_per_s
        self._next_s: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}
        self._next_expiry_s: float = 0

    def warn(self, now_s: float, key: str, message: str, **fields: Any) -> None:
        """Log a warning unless the last line of its key is too recent.

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
