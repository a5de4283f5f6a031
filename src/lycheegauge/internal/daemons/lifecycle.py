"""Runs a daemon as a process: signals, graceful shutdown and exit code."""

import asyncio
import signal
import typing

import loguru

from lycheegauge import errors

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
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload or log_reload)
    await wait_for_signal()
    loguru.logger.info("stopping", step="stop")
    await drain_daemon(daemon, stop_timeout_s)
    await daemon.close()
    loguru.logger.info("stopped", step="stop")
    return EXIT_DONE


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
    """Starts a task that runs as long as its daemon; logs an error if it fails.

    Nothing awaits such a task before the daemon closes, so its failure would
    otherwise go unnoticed.
    """
    task = asyncio.create_task(run())
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: "asyncio.Task[None]") -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            "a background task failed; restart the process", task=task.get_name()
        )


def log_reload() -> None:
    """Logs a SIGHUP of a daemon that reads its settings only at startup."""
    loguru.logger.info(
        "SIGHUP ignored: settings are read only at startup", step="reload"
    )
