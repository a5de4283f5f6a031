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

QUEUE_LINES_MAX = 2000
"""Capacity of the queue in lines, which is about half a megabyte."""

ROUTINE_LINES_PER_S = 20.0
"""Rate limit of each kind of routine line, in lines per second."""

IMPORTANT_LINES_PER_S = 100.0
"""Rate limit of each kind of line on a failure or a state change, in lines per
second."""

BURST_S = 5.0
"""A kind may use up to this many seconds of its rate limit at once."""

DROP_REPORT_INTERVAL_S = 5.0
"""Interval at which the counts of dropped lines are logged, in seconds."""

ROUTINE_FIELD = "usual"
"""Extra field that marks a line as routine; it is removed before writing."""


class LineRateLimiter:
    """A token bucket for each kind of line, and counts of the dropped lines.

    Args:
        read_clock: Returns the current time in seconds.
    """

    def __init__(
        self, read_clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._read_clock = read_clock
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def allow(self, kind: str, is_routine: bool) -> bool:
        """Returns whether a line may be written; counts it as dropped if not."""
        now = self._read_clock()
        rate = ROUTINE_LINES_PER_S if is_routine else IMPORTANT_LINES_PER_S
        capacity = rate * BURST_S
        tokens, refilled_at = self._buckets.get(kind, (capacity, now))
        tokens = min(capacity, tokens + (now - refilled_at) * rate)
        if tokens < 1.0:
            self._buckets[kind] = (tokens, now)
            self.count_dropped(kind)
            return False
        self._buckets[kind] = (tokens - 1.0, now)
        return True

    def count_dropped(self, kind: str) -> None:
        """Counts a dropped line."""
        self._dropped[kind] = self._dropped.get(kind, 0) + 1

    def pop_dropped(self) -> dict[str, int]:
        """Returns and resets the counts of dropped lines by kind."""
        dropped, self._dropped = self._dropped, {}
        return dropped


class LineWriter:
    """Writes lines to a stream from a separate thread.

    Args:
        stream: The output stream; its writes may block.
        limiter: Decides which lines are written.
    """

    def __init__(
        self, stream: typing.TextIO, limiter: LineRateLimiter | None = None
    ) -> None:
        self._stream = stream
        self._limiter = limiter or LineRateLimiter()
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES_MAX)
        self._reported_at = time.monotonic()
        self._thread = threading.Thread(
            target=self._write_lines, daemon=True, name="logs"
        )

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
        is_routine = bool(extra.pop(ROUTINE_FIELD, False))
        kind = record["message"]
        if not self._limiter.allow(kind, is_routine):
            return
        self._put(format_record(record, extra), kind)
        self._report_dropped(extra.get("process", ""))

    def _report_dropped(self, process: str) -> None:
        now = time.monotonic()
        if now - self._reported_at < DROP_REPORT_INTERVAL_S:
            return
        self._reported_at = now
        dropped = self._limiter.pop_dropped()
        if dropped:
            line = {
                "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
                "level": "WARNING",
                "message": "lines left out",
                "process": process,
                "counts": dropped,
            }
            self._put(json.dumps(line), "lines left out")

    def _put(self, line: str, kind: str) -> None:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._limiter.count_dropped(kind)

    def _write_lines(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed, so there is nowhere to report the error.
                return


def format_record(
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
