"""Runs one daemon as a process: signals, planned stop, exit code."""

import asyncio
import signal
import typing

import loguru

from lycheegauge import errors

EXIT_DONE = 0
EXIT_UNAVAILABLE = 3


class Daemon(typing.Protocol):
    """What a process runs."""

    async def start(self) -> None:
        """Starts all tasks and listeners."""

    async def drain(self) -> None:
        """Takes no new work and finishes what runs."""

    async def close(self) -> None:
        """Closes everything at once."""


async def run_daemon(
    daemon: Daemon,
    stop_timeout_s: float,
    reload: typing.Callable[[], None] | None = None,
) -> int:
    """Runs a daemon; the first signal drains it, a second one ends it.

    Args:
        daemon: What runs.
        stop_timeout_s: The longest that draining may take, in seconds.
        reload: Called on a hang-up signal.
    """
    try:
        await daemon.start()
    except (errors.LycheegaugeError, OSError) as error:
        loguru.logger.error(f"can't start: {error}", step="start")
        await daemon.close()
        return EXIT_UNAVAILABLE
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload or note_reload)
    await wait_for_signal()
    loguru.logger.info("stopping", step="stop")
    await drain_daemon(daemon, stop_timeout_s)
    await daemon.close()
    loguru.logger.info("stopped", step="stop")
    return EXIT_DONE


async def drain_daemon(daemon: Daemon, stop_timeout_s: float) -> None:
    """Drains until done, until the time is over or until a second signal."""
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
    """Starts a task that lives as long as its daemon; an early end is an error.

    Nobody awaits such a task before the daemon closes, so its failure would go
    unseen.
    """
    task = asyncio.create_task(run())
    task.add_done_callback(_note_end)
    return task


def _note_end(task: "asyncio.Task[None]") -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            "a task of this process ended; restart the process", task=task.get_name()
        )


def note_reload() -> None:
    """Notes a hang-up signal; settings are read at the start only."""
    loguru.logger.info("settings are read at the next start", step="reload")
