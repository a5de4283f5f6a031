"""Runs journal calls in a worker thread, one at a time."""

import asyncio
import collections.abc
import concurrent.futures
import typing

from lycheegauge import errors
from lycheegauge.internal.daemons import replicationrequests
from lycheegauge.internal.protocol import agreement
from lycheegauge.internal.state import journal as journals


class JournalWriter:
    """Writes a journal in the background and reports when each write has ended.

    Args:
        journal: The journal.
        executor: The executor of the journal's calls; ``None`` creates one thread.
        report: Called with a ``Synced`` or ``WriteFailed`` in the event loop's
            thread.
    """

    def __init__(
        self,
        journal: journals.Journal,
        executor: concurrent.futures.Executor | None,
        report: collections.abc.Callable[[typing.Any], None],
    ) -> None:
        self._journal = journal
        self._executor = executor or concurrent.futures.ThreadPoolExecutor(1, "journal")
        self._report = report
        self._write: asyncio.Future[None] | None = None

    async def open(self) -> agreement.StoredState:
        """Opens the journal; raises what ``Journal.open`` raises."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._journal.open)

    def start(self, persist: agreement.Persist) -> None:
        """Starts a write; the end of the previous one must have been reported."""
        loop = asyncio.get_running_loop()
        self._write = loop.run_in_executor(
            self._executor, self._journal.persist, persist
        )
        self._write.add_done_callback(self._report_end)

    async def close(self) -> None:
        """Waits for the write in progress, then closes the journal."""
        if self._write is not None:
            await asyncio.wait([self._write])
        self._executor.shutdown()
        self._journal.close()

    def _report_end(self, write: asyncio.Future[None]) -> None:
        error = write.exception()
        if error is None:
            self._report(replicationrequests.Synced())
        elif isinstance(error, errors.StorageFailedError):
            self._report(replicationrequests.WriteFailed(error))
        else:
            described = errors.StorageFailedError(
                f"journal write failed: {error!r}", "persist"
            )
            self._report(replicationrequests.WriteFailed(described))
