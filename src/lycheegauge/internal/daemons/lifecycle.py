"""Runs a daemon as a process: signals, graceful shutdown and exit code."""

import asyncio
import gc
import signal
import typing

import loguru

from lycheegauge import errors
from lycheegauge.internal.transport import clock

RESTART_PAUSE_S = 0.1
"""Pause before a failed background task is started again, in seconds. It doubles with
each further failure."""

RESTART_PAUSE_MAX_S = 5.0

EXIT_DONE = 0
EXIT_UNAVAILABLE = 3


class Daemon(typing.Protocol):
    """A daemon that a process runs."""

    async def start(self) -> None:
        """Starts all tasks and listeners."""

    async def drain(self) -> None:
        """Stops accepting new work and finishes running work."""

    async def close(self) -> None:
        """Closes everything without waiting for running work."""


async def run_daemon(
    daemon: Daemon,
    stop_timeout_s: float,
    reload: typing.Callable[[], None] | None = None,
) -> int:
    """Runs a daemon; the first signal drains it, a second one closes it at once.

    Args:
        daemon: The daemon to run.
        stop_timeout_s: Maximum time for draining, in seconds.
        reload: Called on SIGHUP.
    """
    try:
        await daemon.start()
    except (errors.LycheegaugeError, OSError) as error:
        loguru.logger.error(f"can't start: {error}", step="start")
        await daemon.close()
        return EXIT_UNAVAILABLE
    freeze_heap()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload or log_reload)
    await wait_for_signal()
    loguru.logger.info("stopping", step="stop")
    await drain_daemon(daemon, stop_timeout_s)
    await daemon.close()
    loguru.logger.info("stopped", step="stop")
    return EXIT_DONE


def freeze_heap() -> None:
    """Exempts all present objects from garbage collection.

    The modules and settings of a daemon are some 60,000 objects that are never freed. A
    full collection visited all of them, which held the event loop for 35 ms of
    processor time, and so for three times as long on a host with a third of a core.
    """
    gc.freeze()


async def drain_daemon(daemon: Daemon, stop_timeout_s: float) -> None:
    """Drains until done, until the timeout or until a second signal."""
    draining = asyncio.ensure_future(daemon.drain())
    signalled = asyncio.ensure_future(wait_for_signal())
    await asyncio.wait(
        (draining, signalled),
        timeout=stop_timeout_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in (draining, signalled):
        task.cancel()
    await asyncio.gather(draining, signalled, return_exceptions=True)


async def wait_for_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    received = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, received.set)
    await received.wait()


def start_task(
    run: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]],
) -> "asyncio.Task[None]":
    """Starts a task that runs as long as its daemon.

    After an unexpected error it is started again: a daemon without one of its tasks
    would go on to listen and no longer do its work.
    """
    return asyncio.create_task(_keep_running(run))


async def _keep_running(
    run: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    pause_s = RESTART_PAUSE_S
    while True:
        started_at = clock.read_clock()
        try:
            await run()
            return
        except Exception as error:
            if clock.read_clock() - started_at > RESTART_PAUSE_MAX_S:
                pause_s = RESTART_PAUSE_S
            loguru.logger.opt(exception=error).error(
                "a background task failed and is started again",
                task=getattr(run, "__qualname__", repr(run)),
                pause_s=pause_s,
            )
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, RESTART_PAUSE_MAX_S)


def log_reload() -> None:
    """Logs a SIGHUP of a daemon that reads its settings only at startup."""
    loguru.logger.info(
        "SIGHUP ignored: settings are read only at startup", step="reload"
    )
