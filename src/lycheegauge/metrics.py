"""Metrics by OpenTelemetry: a counter for each refusal and retry reason."""

import collections.abc

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import prometheus_client

from lycheegauge.internal.protocol import work


class Metrics:
    """The counters and histograms of one process.

    Every reason is exported from the start with the value 0, so that an alarm
    on a reason works before it first occurs.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        self._provider = opentelemetry.sdk.metrics.MeterProvider([reader])
        meter = self._provider.get_meter("lycheegauge")
        self._refusals = meter.create_counter(
            "lycheegauge_refusals", description="Refused requests by reason"
        )
        self._retries = meter.create_counter(
            "lycheegauge_retries", description="Repeated attempts by reason"
        )
        self._answers = meter.create_counter(
            "lycheegauge_answers", description="Whole answers by service"
        )
        self._first_token = meter.create_histogram(
            "lycheegauge_first_token", unit="s", description="Time to first token"
        )
        self._total = meter.create_histogram(
            "lycheegauge_total", unit="s", description="Time to the answer's end"
        )
        self._meter = meter
        for refusal_reason in work.RefusalReason:
            self._refusals.add(0, {"reason": refusal_reason.value})
        for retry_reason in work.RetryReason:
            self._retries.add(0, {"reason": retry_reason.value})

    def count_refusal(self, reason: work.RefusalReason) -> None:
        """Counts one refusal."""
        self._refusals.add(1, {"reason": reason.value})

    def count_retry(self, reason: work.RetryReason) -> None:
        """Counts one repeated attempt."""
        self._retries.add(1, {"reason": reason.value})

    def count_answer(self, service: str) -> None:
        """Counts one whole answer."""
        self._answers.add(1, {"service": service})

    def record_first_token(self, seconds: float) -> None:
        """Records the time from a request's arrival to its first token."""
        self._first_token.record(seconds)

    def record_total(self, seconds: float) -> None:
        """Records the time from a request's arrival to the end of its answer."""
        self._total.record(seconds)

    def observe(
        self,
        name: str,
        description: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Exports a value that is read whenever somebody asks."""
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
        """Shuts the provider down."""
        self._provider.shutdown()
