"""Settings that are read again while a process runs."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.settings.findings import Findings

logger = logging.getLogger(__name__)

# Fields that take effect without a restart.
RELOADABLE_FIELDS = frozenset(('log_level',))

LoadSettings = Callable[[], Result[Any, Findings]]


class ReloadResult(NamedTuple):
    """What a reload found: fields in force now, and at the next start."""

    applied: tuple[str, ...]
    deferred: tuple[str, ...]


class SettingsReloader:
    """Reads the settings again at SIGHUP.

    Faulty settings are logged and change nothing. All other
    fields take effect at the next start.
    """

    def __init__(self, settings: Any, load: LoadSettings) -> None:
        """Start with the settings in force."""
        self.settings = settings
        self._load = load

    def reload(self) -> ReloadResult:
        """Read the settings and put the live fields in force."""
        loaded = self._load()
        if loaded.is_error():
            findings = [str(finding) for finding in loaded.error]
            logger.error('settings not taken', extra={'findings': findings})
            return ReloadResult((), ())
        wanted = loaded.ok._asdict()
        changed = [
            key
            for key, value in self.settings._asdict().items()
            if wanted[key] != value
        ]
        applied = tuple(key for key in changed if key in RELOADABLE_FIELDS)
        deferred = tuple(key for key in changed if key not in RELOADABLE_FIELDS)
        self.settings = self.settings._replace(
            **{key: wanted[key] for key in applied}
        )
        logging.getLogger().setLevel(self.settings.log_level.upper())
        logger.info(
            'settings reloaded',
            extra={'applied': applied, 'deferred': deferred},
        )
        return ReloadResult(applied, deferred)
