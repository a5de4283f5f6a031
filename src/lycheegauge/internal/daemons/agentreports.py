"""Commits agents' reports of crashes and cleared suspects to the log."""

import asyncio
import collections
import dataclasses

from returns import result

from lycheegauge.internal.daemons import logclient
from lycheegauge.internal.protocol import changes, freshness

MAX_COMMITTED_REPORTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedReports:
    """Reports that are committed, so that the agent need not send them again."""

    boots: tuple[str, ...] = ()
    clearances: tuple[str, ...] = ()


class AgentReportRecorder:
    """Proposes reports in the background, so that no pull waits for the log.

    Reports are idempotent, and agents resend them until they are acknowledged.
    A report that is lost here or committed twice therefore does no harm.
    """

    def __init__(self, log: logclient.LogClient) -> None:
        self._log = log
        self._committed: collections.OrderedDict[changes.Change, None] = (
            collections.OrderedDict()
        )
        self._proposing: dict[changes.Change, asyncio.Task[None]] = {}

    def record(self, pull: freshness.AgentPull) -> RecordedReports:
        """Starts committing a pull's reports; returns those already committed."""
        clearances = [
            *pull.clearances,
            *(changes.ClearSuspect(name, 0.0) for name in pull.cleared),
        ]
        reports: list[changes.Change] = [*pull.crashes, *clearances]
        for change in reports:
            if change not in self._committed and change not in self._proposing:
                task = asyncio.create_task(self._commit(change))
                self._proposing[change] = task
        unrecorded = {
            item.fingerprint for item in clearances if item not in self._committed
        }
        return RecordedReports(
            tuple(item.boot_id for item in pull.crashes if item in self._committed),
            tuple(
                item.fingerprint
                for item in clearances
                if item.fingerprint not in unrecorded
            ),
        )

    def close(self) -> None:
        """Cancels all pending proposals."""
        for task in self._proposing.values():
            task.cancel()

    async def _commit(self, change: changes.Change) -> None:
        try:
            outcome = await self._log.propose(change)
        finally:
            self._proposing.pop(change, None)
        if isinstance(outcome, result.Success):
            self._committed[change] = None
            while len(self._committed) > MAX_COMMITTED_REPORTS:
                self._committed.popitem(last=False)
