"""Structured logs: one JSON object a line, bounded, and never in anybody's way.

A line goes into a bounded queue that a thread of its own empties, so a reader
that stalls delays no request. Each kind of line has a budget of lines a second;
what is left out is counted and told. Lines on failed requests and changed beliefs
have the larger budgets, so they go last.
"""

import collections.abc
import json
import logging
import queue
import sys
import threading
import time
import typing

import loguru

QUEUE_LINES = 2000
"""Lines that wait for the reader; about half a megabyte."""

USUAL_LINES_PER_S = 20.0
"""Budget of lines that tell of something ordinary, by kind."""

IMPORTANT_LINES_PER_S = 100.0
"""Budget of lines on failures and changed beliefs, by kind."""

BURST_S = 5.0
"""Unused budget is saved up for so long."""

REPORT_INTERVAL_S = 5.0
"""What was left out is told this often, in seconds."""

USUAL = "usual"
"""Extra field that marks a line as ordinary; it is not written."""


class LineBudget:
    """A bucket of lines for each kind, and the count of those left out.

    Args:
        read_clock: Returns seconds.
    """

    def __init__(
        self, read_clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._read_clock = read_clock
        self._left: dict[str, tuple[float, float]] = {}
        self._omitted: dict[str, int] = {}

    def take(self, kind: str, is_usual: bool) -> bool:
        """Takes one line of a kind, or counts it as left out."""
        now = self._read_clock()
        rate = USUAL_LINES_PER_S if is_usual else IMPORTANT_LINES_PER_S
        most = rate * BURST_S
        left, at = self._left.get(kind, (most, now))
        left = min(most, left + (now - at) * rate)
        if left < 1.0:
            self._left[kind] = (left, now)
            self.note_omitted(kind)
            return False
        self._left[kind] = (left - 1.0, now)
        return True

    def note_omitted(self, kind: str) -> None:
        """Counts a line that was left out."""
        self._omitted[kind] = self._omitted.get(kind, 0) + 1

    def take_omitted(self) -> dict[str, int]:
        """Returns the counts of lines left out since the last call."""
        omitted, self._omitted = self._omitted, {}
        return omitted


class LineWriter:
    """Writes lines to a stream from a thread of its own.

    Args:
        stream: Where lines go; a write may block.
        budget: Decides which lines are written.
    """

    def __init__(self, stream: typing.TextIO, budget: LineBudget | None = None) -> None:
        self._stream = stream
        self._budget = budget or LineBudget()
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self._told_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, daemon=True, name="logs")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Writes what waits, for a short time at most."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def write(self, message: typing.Any) -> None:
        """Takes one record of loguru."""
        record = message.record
        extra = dict(record["extra"])
        is_usual = bool(extra.pop(USUAL, False))
        kind = record["message"]
        if not self._budget.take(kind, is_usual):
            return
        self._put(make_line(record, extra), kind)
        self._tell_omitted(extra.get("process", ""))

    def _tell_omitted(self, process: str) -> None:
        now = time.monotonic()
        if now - self._told_at < REPORT_INTERVAL_S:
            return
        self._told_at = now
        omitted = self._budget.take_omitted()
        if omitted:
            line = {
                "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
                "level": "WARNING",
                "message": "lines left out",
                "process": process,
                "counts": omitted,
            }
            self._put(json.dumps(line), "lines left out")

    def _put(self, line: str, kind: str) -> None:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._budget.note_omitted(kind)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The reader is gone; there is nowhere left to tell it.
                return


def make_line(
    record: typing.Mapping[str, typing.Any], extra: typing.Mapping[str, typing.Any]
) -> str:
    """Makes the JSON line of a record."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **extra,
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, default=str)


class LibraryHandler(logging.Handler):
    """Passes the lines of libraries on, so that they are bounded as well."""

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one record of the standard library's logging."""
        error = record.exc_info[1] if record.exc_info else None
        loguru.logger.opt(exception=error).log(
            record.levelname,
            "a library reports",
            library=record.name,
            detail=record.getMessage(),
        )


def configure_logs(
    process: str, level: str, stream: typing.TextIO | None = None
) -> LineWriter:
    """Sends all logs of this process to standard output as JSON lines.

    Args:
        process: The process's name, which each line carries.
        level: The least level that is written.
        stream: Another stream, where standard output is for a person.
    """
    writer = LineWriter(stream or sys.stdout)
    writer.start()
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process})
    loguru.logger.add(writer.write, level=level, format="{message}")
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    return writer
