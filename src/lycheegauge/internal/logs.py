"""Structured logs: one JSON object per line, rate-limited and non-blocking.

Lines go into a bounded queue that a separate thread writes out, so a log reader that
stalls delays no request. Each kind of line, that is each message text, has its own
rate limit; dropped lines are counted and the counts are logged. The limit is higher
for failed requests and state changes than for routine lines, so routine lines are
dropped first.
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
"""Capacity of the queue in lines, which is about half a megabyte."""

USUAL_LINES_PER_S = 20.0
"""Rate limit of each kind of routine line, in lines per second."""

IMPORTANT_LINES_PER_S = 100.0
"""Rate limit of each kind of line on a failure or a state change, in lines per
second."""

BURST_S = 5.0
"""A kind may use up to this many seconds of its rate limit at once."""

REPORT_INTERVAL_S = 5.0
"""Interval at which the counts of dropped lines are logged, in seconds."""

USUAL = "usual"
"""Extra field that marks a line as routine; it is removed before writing."""


class LineBudget:
    """A token bucket for each kind of line, and counts of the dropped lines.

    Args:
        read_clock: Returns the current time in seconds.
    """

    def __init__(
        self, read_clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._read_clock = read_clock
        self._left: dict[str, tuple[float, float]] = {}
        self._omitted: dict[str, int] = {}

    def take(self, kind: str, is_usual: bool) -> bool:
        """Returns whether a line may be written; counts it as dropped if not."""
        now = self._read_clock()
        rate = USUAL_LINES_PER_S if is_usual else IMPORTANT_LINES_PER_S
        capacity = rate * BURST_S
        tokens, refilled_at = self._left.get(kind, (capacity, now))
        tokens = min(capacity, tokens + (now - refilled_at) * rate)
        if tokens < 1.0:
            self._left[kind] = (tokens, now)
            self.note_omitted(kind)
            return False
        self._left[kind] = (tokens - 1.0, now)
        return True

    def note_omitted(self, kind: str) -> None:
        """Counts a dropped line."""
        self._omitted[kind] = self._omitted.get(kind, 0) + 1

    def take_omitted(self) -> dict[str, int]:
        """Returns and resets the counts of dropped lines by kind."""
        omitted, self._omitted = self._omitted, {}
        return omitted


class LineWriter:
    """Writes lines to a stream from a separate thread.

    Args:
        stream: The output stream; its writes may block.
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
        """Writes the queued lines, waiting ``timeout_s`` at most for each step."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def write(self, message: typing.Any) -> None:
        """Queues one loguru message; used as a loguru sink."""
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
                # The stream is closed, so there is nowhere to report the error.
                return


def make_line(
    record: typing.Mapping[str, typing.Any], extra: typing.Mapping[str, typing.Any]
) -> str:
    """Formats a loguru record as a JSON line."""
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
    """Passes the standard library's log records to loguru, which rate-limits them."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record of the standard library's logging."""
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
        process: The process's name, which each line contains.
        level: The lowest level that is written.
        stream: The stream to use if standard output is meant for a person.
    """
    writer = LineWriter(stream or sys.stdout)
    writer.start()
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process})
    loguru.logger.add(writer.write, level=level, format="{message}")
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    return writer
