"""Reloads the settings file of a running instance."""

import logging
from collections.abc import Callable
from pathlib import Path

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..common import InvalidInputError, Metrics, log_event
from .settings import NodeSettings, read_settings

__all__ = ["SettingsFile"]

logger = logging.getLogger(__name__)

# The platform may change the file without a signal; a check costs one small read.
CHECK_INTERVAL_S = 5.0

# Changes of all other fields take effect when the process is restarted.
CHANGEABLE = frozenset({"grace_s", "keep_final_s", "lease_limit_ms"})


class SettingsFile:
    """Reloads the file on a signal and every few seconds.

    :param settings: settings that the process was started with.
    :param on_changed: called with valid settings that differ in a changeable field.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        path: Path,
        settings: NodeSettings,
        *,
        metrics: Metrics,
        on_changed: Callable[[NodeSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._metrics = metrics
        self._on_changed = on_changed
        self._rejected_reason = ""
        self._checking = LoopingCall(self.check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Start checking for changes."""
        self._checking.start(CHECK_INTERVAL_S, now=False)

    def check(self) -> None:
        """Apply the settings if they are valid and have changed."""
        try:
            settings = read_settings(self._path)
        except InvalidInputError as error:
            if error.message != self._rejected_reason:
                self._rejected_reason = error.message
                self._metrics.count("settings.rejected")
                log_event(
                    logger,
                    "settings_rejected",
                    level=logging.ERROR,
                    reason=error.message,
                )
            return
        self._rejected_reason = ""
        if settings == self._settings:
            return
        changed = [
            name
            for name in NodeSettings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        applied = sorted(CHANGEABLE.intersection(changed))
        self._metrics.count("settings.reloaded")
        log_event(
            logger,
            "settings_reloaded",
            applied=",".join(applied),
            at_restart=",".join(sorted(set(changed) - CHANGEABLE)),
        )
        before, self._settings = self._settings, settings
        if applied:
            values = {name: getattr(settings, name) for name in applied}
            self._on_changed(msgspec.structs.replace(before, **values))
