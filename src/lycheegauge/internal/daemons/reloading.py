"""Takes changed settings into a running daemon."""

import asyncio
import pathlib
import typing

import loguru

from lycheegauge import errors, settings
from lycheegauge.internal.daemons import lifecycle

CHECK_INTERVAL_S = 2.0
"""A settings file may change without a signal; this is how often its time of
change is looked at, well within the time that old seeds stay reachable."""


class Reloader:
    """Reads the settings again on a hang-up signal or when their file changed.

    Args:
        source: Where the settings are read.
        held: The settings in force.
        apply: Takes what can change while the daemon runs.
    """

    def __init__(
        self,
        source: settings.SettingsSource,
        held: typing.Any,
        apply: typing.Callable[[typing.Any], None],
    ) -> None:
        self._source = source
        self._held = held
        self._apply = apply
        self._changed_at = _read_change_time(source.path)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts looking at the file."""
        self._task = lifecycle.start_task(self._keep_looking)

    def close(self) -> None:
        """Stops looking at the file."""
        if self._task is not None:
            self._task.cancel()

    def reload(self) -> None:
        """Reads the settings now; unreadable ones change nothing."""
        self._changed_at = _read_change_time(self._source.path)
        try:
            part = self._source.read()
        except errors.SettingsError as error:
            loguru.logger.warning(
                "settings can't be read, the old ones stay in force: {}",
                error,
                step="reload",
            )
            return
        before, after = self._held.model_dump(), part.model_dump()
        changed = [name for name in after if after[name] != before[name]]
        self._apply(part)
        self._held = part
        loguru.logger.info("settings read again", step="reload", changed=changed)

    async def _keep_looking(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if _read_change_time(self._source.path) != self._changed_at:
                self.reload()


def _read_change_time(path: pathlib.Path) -> int:
    """Returns the file's time of change in ns; 0 while there is no such file."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # It is just being replaced; reading it reports what is wrong, if it stays so.
        return 0
