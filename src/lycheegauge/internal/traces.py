"""Reads the logs of several processes: one request's lines, or reasons over time."""

import collections
import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

CONTEXT_BEFORE_S = 5.0
"""A request is shown with its hosts' other log lines from this many seconds before."""

COMMON_FIELDS = ("time", "level", "message", "process")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed log line."""

    at: datetime.datetime
    process: str
    message: str
    fields: dict[str, typing.Any]

    def format_line(self, start: datetime.datetime) -> str:
        """Formats the line for reading, with its time in ms since ``start``."""
        offset_ms = round((self.at - start).total_seconds() * 1000)
        pairs = " ".join(f"{name}={text}" for name, text in self.fields.items())
        return f"{offset_ms:>+8} ms  {self.process}  {self.message}  {pairs}".rstrip()


def read_lines(files: collections.abc.Iterable[pathlib.Path]) -> list[LogLine]:
    """Reads the JSON log lines of all files, sorted by time.

    Text before a line's first brace, such as another program's time stamp, is
    ignored, and so are lines that are not log lines.
    """
    lines = []
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as content:
            lines += [line for text in content if (line := parse_line(text))]
    return sorted(lines, key=lambda line: line.at)


def is_cut_off(path: pathlib.Path) -> bool:
    """Tells whether a file ends within a log line, so that later lines may be missing.

    A file that ends with a whole line may have been cut off after it.
    """
    with path.open(encoding="utf-8", errors="replace") as content:
        last = collections.deque(content, maxlen=1)
    is_ended = not last or last[0].endswith("\n")
    return not is_ended and parse_line(last[0]) is None


def parse_line(text: str) -> LogLine | None:
    """Parses one line; returns ``None`` if it is not a log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(document["time"])
        fields = {
            name: document[name] for name in document if name not in COMMON_FIELDS
        }
        return LogLine(
            at, str(document.get("process", "")), document["message"], fields
        )
    except (ValueError, KeyError, TypeError):
        return None


def format_trace(request_id: str, lines: list[LogLine]) -> list[str]:
    """Formats a request's log lines in the order of time.

    They include the lines without a request id, such as state changes, that the
    same processes wrote during the request or shortly before it.
    """
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    processes = {line.process for line in request_lines}
    start, end = request_lines[0].at, request_lines[-1].at
    since = start - datetime.timedelta(seconds=CONTEXT_BEFORE_S)
    context_lines = [
        line
        for line in lines
        if line.process in processes
        and "request_id" not in line.fields
        and since <= line.at <= end
    ]
    trace = sorted([*request_lines, *context_lines], key=lambda line: line.at)
    return [line.format_line(start) for line in trace]


def count_reasons(lines: list[LogLine]) -> list[str]:
    """Counts the requests given up, by second and reason."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for line in lines:
        if line.message == "request given up":
            second = line.at.isoformat(timespec="seconds")
            counts[second, str(line.fields.get("reason", ""))] += 1
    return [
        f"{second}  {count:>5}  {reason}"
        for (second, reason), count in sorted(counts.items())
    ]
