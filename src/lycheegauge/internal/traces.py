"""Reads the logs of several processes back: one request, or reasons over time."""

import collections
import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

BEFORE_S = 5.0
"""What a process came to believe so long before a request is shown with it."""

COMMON = ("time", "level", "message", "process")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log."""

    at: datetime.datetime
    process: str
    message: str
    fields: dict[str, typing.Any]

    def write(self, start: datetime.datetime) -> str:
        """Writes the line for a person, with ms since ``start``."""
        offset_ms = round((self.at - start).total_seconds() * 1000)
        told = " ".join(f"{name}={text}" for name, text in self.fields.items())
        return f"{offset_ms:>+8} ms  {self.process}  {self.message}  {told}".rstrip()


def read_lines(files: collections.abc.Iterable[pathlib.Path]) -> list[Line]:
    """Reads the JSON lines of all files in the order of their time.

    What stands before a line's first brace, such as another program's time stamp,
    is left out, and so are lines that are no log lines.
    """
    lines = []
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as content:
            lines += [line for text in content if (line := parse_line(text))]
    return sorted(lines, key=lambda line: line.at)


def parse_line(text: str) -> Line | None:
    """Parses one line; ``None`` if it is no log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(document["time"])
        fields = {name: document[name] for name in document if name not in COMMON}
        return Line(at, str(document.get("process", "")), document["message"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def tell_request(request_id: str, lines: list[Line]) -> list[str]:
    """Tells a request's story, with what its hosts came to believe around it."""
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        return []
    hosts = {line.process for line in own}
    start, end = own[0].at, own[-1].at
    since = start - datetime.timedelta(seconds=BEFORE_S)
    around = [
        line
        for line in lines
        if line.process in hosts
        and "request_id" not in line.fields
        and since <= line.at <= end
    ]
    story = sorted([*own, *around], key=lambda line: line.at)
    return [line.write(start) for line in story]


def count_reasons(lines: list[Line]) -> list[str]:
    """Counts the requests that were given up, by second and reason."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for line in lines:
        if line.message == "request given up":
            second = line.at.isoformat(timespec="seconds")
            counts[second, str(line.fields.get("reason", ""))] += 1
    return [
        f"{second}  {count:>5}  {reason}"
        for (second, reason), count in sorted(counts.items())
    ]
