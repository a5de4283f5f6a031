"""Measures on what a process spends its time, and how long its event loop stalls.

While the event loop runs one long computation, the process sends no heartbeat and
answers no call. The logs of its peers then only show that it was silent.
"""

import asyncio
import collections
import collections.abc
import contextlib
import time

import loguru

from lycheegauge.internal.daemons import lifecycle
from lycheegauge.internal.transport import clock

CHECK_INTERVAL_S = 0.1
STALL_S = 0.3
"""Stalls from this length on are logged, in seconds: half of the shortest election
timeout."""

REPORT_INTERVAL_S = 5.0


class WorkMeter:
    """Sums the time of named kinds of work, and logs the sums and stalls."""

    def __init__(self) -> None:
        self._spent_s: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        self._longest_s = 0.0
        self._longest_kind = ""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to watch the event loop and to log reports."""
        self._task = lifecycle.start_task(self._run)

    async def close(self) -> None:
        """Stops logging."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @contextlib.contextmanager
    def measure(self, kind: str) -> collections.abc.Iterator[None]:
        """Adds the duration of the block, which must not await, to a kind of work."""
        started_at = clock.read_clock()
        try:
            yield
        finally:
            spent_s = clock.read_clock() - started_at
            self._spent_s[kind] += spent_s
            if spent_s > self._longest_s:
                self._longest_s, self._longest_kind = spent_s, kind

    async def _run(self) -> None:
        reported_at = clock.read_clock()
        cpu_s = time.process_time()
        while True:
            due_at = clock.read_clock() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = clock.read_clock()
            if now - due_at >= STALL_S:
                loguru.logger.warning(
                    "event loop stalled",
                    stalled_s=round(now - due_at, 3),
                    longest_work=self._longest_kind,
                    longest_work_s=round(self._longest_s, 3),
                )
            self._longest_s, self._longest_kind = 0.0, ""
            if now - reported_at >= REPORT_INTERVAL_S:
                used_s = time.process_time() - cpu_s
                self._write_report(now - reported_at, used_s)
                reported_at, cpu_s = now, cpu_s + used_s

    def _write_report(self, elapsed_s: float, cpu_s: float) -> None:
        spent = {kind: round(value, 3) for kind, value in self._spent_s.items()}
        self._spent_s.clear()
        loguru.logger.info(
            "work done", elapsed_s=round(elapsed_s, 2), cpu_s=round(cpu_s, 3), **spent
        )
