"""Reload of the settings of a running process."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.settings.findings import Findings

logger = logging.getLogger(__name__)

# Fields that a reload applies; all others need a restart.
RELOADABLE_FIELDS = frozenset(('log_level',))

LoadSettings = Callable[[], Result[Any, Findings]]


class ReloadResult(NamedTuple):
    """Changed fields: applied now, and deferred to the next start."""

    applied: tuple[str, ...]
    deferred: tuple[str, ...]


class SettingsReloader:
    """Reloads the settings at SIGHUP.

    Only ``RELOADABLE_FIELDS`` take effect at once, all other fields at the
    next start. The findings of invalid settings are logged and the
    settings in force stay.
    """

    def __init__(self, settings: Any, load: LoadSettings) -> None:
        self.settings = settings
        self._load = load

    def reload(self) -> ReloadResult:
        """Read the settings and apply the reloadable fields."""
        loaded = self._load()
        if loaded.is_error():
            findings = [str(finding) for finding in loaded.error]
            logger.error(
                'invalid settings were not applied',
                extra={'findings': findings},
            )
            return ReloadResult((), ())
        new = loaded.ok._asdict()
        changed = [
            key
            for key, value in self.settings._asdict().items()
            if new[key] != value
        ]
        applied = tuple(key for key in changed if key in RELOADABLE_FIELDS)
        deferred = tuple(key for key in changed if key not in RELOADABLE_FIELDS)
        self.settings = self.settings._replace(
            **{key: new[key] for key in applied}
        )
        logging.getLogger().setLevel(self.settings.log_level.upper())
        logger.info(
            'settings reloaded',
            extra={'applied': applied, 'deferred': deferred},
        )
        return ReloadResult(applied, deferred)
