"""Exports the metrics of a process through OpenTelemetry."""

import collections.abc

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import prometheus_client

COUNTERS = {
    "refusals": ("reason", "Refused requests by reason"),
    "retries": ("reason", "Repeated attempts by reason"),
    "answers": ("service", "Whole answers by service"),
    "ended_answers": ("waited_for", "Answers ended to free memory"),
    "admission_refusals": ("cause", "Requests that stream admission refused by cause"),
    "choices": ("zone", "Servers chosen for requests, by whether in the host's zone"),
    "hedges": ("outcome", "Second copies of late requests by outcome"),
    "engine_orders": ("outcome", "Orders to engines by how they were answered"),
}
"""Label name and description of each counter."""

HISTOGRAMS = {
    "first_token": "Time to first token",
    "total": "Time to the answer's end",
    "gap": "Longest pause between two parts of an answer",
    "map_switch_plan": "Time to plan a new expert map",
    "map_switch_prepare": "Time to copy experts for a new map",
    "map_switch_arm": "Time to arm all ranks for a new map",
    "map_switch_undo": "Time to undo a switch to a new map",
    "map_switch_release": "Time until all ranks have begun a pass with a new map",
    "admission_wait": "Wait for capacity at the entry host by route",
}
HISTOGRAM_LABELS = {"admission_wait": "route"}


class Exporter:
    """Owns the OpenTelemetry meter and the Prometheus registry."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        self._provider = opentelemetry.sdk.metrics.MeterProvider([reader])
        self._meter = self._provider.get_meter("lycheegauge")
        self._counters = {
            name: self._meter.create_counter(
                f"lycheegauge_{name}", description=description
            )
            for name, (_, description) in COUNTERS.items()
        }
        self._histograms = {
            name: self._meter.create_histogram(
                f"lycheegauge_{name}", unit="s", description=description
            )
            for name, description in HISTOGRAMS.items()
        }

    def count(self, name: str, label: str, amount: int) -> None:
        """Adds to a counter."""
        self._counters[name].add(amount, {COUNTERS[name][0]: label})

    def record(self, name: str, seconds: float, label: str = "") -> None:
        """Adds a sample to a histogram."""
        labels = {HISTOGRAM_LABELS[name]: label} if label else {}
        self._histograms[name].record(seconds, labels)

    def register_gauge(
        self, name: str, description: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read at each export."""
        self._meter.create_observable_gauge(
            name,
            [lambda _: [opentelemetry.metrics.Observation(read())]],
            description=description,
        )

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        exported: bytes = prometheus_client.generate_latest(self._registry)
        return exported

    def close(self) -> None:
        """Shuts down the meter provider."""
        self._provider.shutdown()
