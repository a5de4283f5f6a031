"""Applies changed settings to a running daemon."""

import asyncio
import pathlib
import typing

import loguru

from lycheegauge import errors, settings
from lycheegauge.internal.daemons import lifecycle

CHECK_INTERVAL_S = 2.0
"""Interval in seconds at which the settings file's modification time is checked,
since the file may change without a signal. It is well below the time that old seeds
stay reachable."""


class Reloader:
    """Rereads the settings on SIGHUP or when their file has changed.

    Args:
        source: Where the settings are read from.
        current: The current settings.
        apply: Applies the settings that can change while the daemon runs.
    """

    def __init__(
        self,
        source: settings.SettingsSource,
        current: typing.Any,
        apply: typing.Callable[[typing.Any], None],
    ) -> None:
        self._source = source
        self._current = current
        self._apply = apply
        self._modified_at = _get_modification_time(source.path)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching the file."""
        self._task = lifecycle.start_task(self._keep_watching)

    def close(self) -> None:
        """Stops watching the file."""
        if self._task is not None:
            self._task.cancel()

    def reload(self) -> None:
        """Rereads the settings now; settings that can't be read change nothing."""
        self._modified_at = _get_modification_time(self._source.path)
        try:
            part = self._source.read()
        except errors.SettingsError as error:
            loguru.logger.warning(
                "settings can't be read, keeping the previous ones: {}",
                error,
                step="reload",
            )
            return
        before, after = self._current.model_dump(), part.model_dump()
        changed = [name for name in after if after[name] != before[name]]
        self._apply(part)
        self._current = part
        loguru.logger.info("settings read again", step="reload", changed=changed)

    async def _keep_watching(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if _get_modification_time(self._source.path) != self._modified_at:
                self.reload()


def _get_modification_time(path: pathlib.Path) -> int:
    """Returns the file's modification time in ns; 0 if it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be in the middle of a replacement. If the error persists,
        # reading the settings reports it.
        return 0
