"""Counters and histograms of one process, exported through OpenTelemetry.

Loading OpenTelemetry takes a large part of a process's start-up time, and callers
wait for the process to start. Measurements are therefore kept as plain numbers until
the metrics are first requested.
"""

import collections
import collections.abc
import importlib
import typing

from lycheegauge.internal.protocol import work

EXPORTER_MODULE = "lycheegauge.internal.telemetry"
"""The module that imports OpenTelemetry; it is imported on first use."""

PENDING_SAMPLES_MAX = 20_000
"""Histogram samples kept until metrics are first requested. Beyond it the oldest are
dropped, which bounds the memory of a process whose metrics are never read."""


class Metrics:
    """The counters and histograms of one process.

    Every reason is exported with the value 0 from the start, so that an alert on
    a reason works before the reason first occurs.
    """

    def __init__(self) -> None:
        self._exporter: typing.Any = None
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._samples: collections.deque[tuple[str, float, str]] = collections.deque(
            maxlen=PENDING_SAMPLES_MAX
        )
        self._gauges: list[tuple[str, str, collections.abc.Callable[[], float]]] = []
        for refusal_reason in work.RefusalReason:
            self._counts["refusals", refusal_reason.value] = 0
        for retry_reason in work.RetryReason:
            self._counts["retries", retry_reason.value] = 0

    def count_refusal(self, reason: work.RefusalReason) -> None:
        """Counts one refused request."""
        self._count("refusals", reason.value)

    def count_retry(self, reason: work.RetryReason) -> None:
        """Counts one repeated attempt."""
        self._count("retries", reason.value)

    def count_answer(self, service: str) -> None:
        """Counts one complete answer."""
        self._count("answers", service)

    def count_ended_answer(self, side: str) -> None:
        """Counts one answer that was ended to free memory, by whom it waited for."""
        self._count("ended_answers", side)

    def count_hedge(self, outcome: str) -> None:
        """Counts one second copy of a late request by its outcome."""
        self._count("hedges", outcome)

    def count_engine_order(self, outcome: str) -> None:
        """Counts one order to an engine by its outcome."""
        self._count("engine_orders", outcome)

    def count_choice(self, zone: str) -> None:
        """Counts one choice of a server by its zone: the host's own or another."""
        self._count("choices", zone)

    def record_first_token(self, seconds: float) -> None:
        """Records the time from a request's arrival to its first token."""
        self._record("first_token", seconds)

    def record_total(self, seconds: float) -> None:
        """Records the time from a request's arrival to the end of its answer."""
        self._record("total", seconds)

    def count_admission_refusal(self, cause: str) -> None:
        """Counts one request that the admission of streams refused, by its cause."""
        self._count("admission_refusals", cause)

    def record_admission_wait(self, route: str, seconds: float) -> None:
        """Records how long a request waited for capacity at this host."""
        self._record("admission_wait", seconds, route)

    def record_gap(self, seconds: float) -> None:
        """Records the longest pause between two parts of an answer."""
        self._record("gap", seconds)

    def record_map_switch(self, phase: str, seconds: float) -> None:
        """Records the duration of a phase of a switch of an expert map."""
        self._record(f"map_switch_{phase}", seconds)

    def register_gauge(
        self,
        name: str,
        description: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Registers a gauge whose value is read at each export."""
        if self._exporter is None:
            self._gauges.append((name, description, read))
        else:
            self._exporter.register_gauge(name, description, read)

    @staticmethod
    def load_exporter() -> None:
        """Imports OpenTelemetry; safe in another thread while metrics are recorded."""
        importlib.import_module(EXPORTER_MODULE)

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        if self._exporter is None:
            self._open_exporter()
        exported: bytes = self._exporter.export()
        return exported

    def close(self) -> None:
        """Shuts the exporter down."""
        if self._exporter is not None:
            self._exporter.close()

    def _count(self, name: str, label: str) -> None:
        if self._exporter is None:
            self._counts[name, label] += 1
        else:
            self._exporter.count(name, label, 1)

    def _record(self, name: str, seconds: float, label: str = "") -> None:
        if self._exporter is None:
            self._samples.append((name, seconds, label))
        else:
            self._exporter.record(name, seconds, label)

    def _open_exporter(self) -> None:
        exporter = importlib.import_module(EXPORTER_MODULE).Exporter()
        for (name, label), count in self._counts.items():
            exporter.count(name, label, count)
        for name, seconds, label in self._samples:
            exporter.record(name, seconds, label)
        for gauge in self._gauges:
            exporter.register_gauge(*gauge)
        self._counts.clear()
        self._samples.clear()
        self._gauges.clear()
        self._exporter = exporter
