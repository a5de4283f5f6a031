"""An entry host's estimate of one backend server's load.

A report describes the past: the engine's numbers are ``age_s`` old when they
arrive, and this entry host has sent and finished requests since. The estimate
therefore splits a report into this host's own requests, which are known exactly,
and those of the other entry hosts, which decay towards the fleet's mean
utilisation as the report ages. Without the decay, nine hosts would all trust the
same old report of an idle server and send their next requests to it.
"""

import bisect
import math

from lycheegauge.internal.protocol import freshness, work

# After this time a report's count of other entry hosts' requests has half weight.
LOAD_HALF_LIFE_S = 1.0
# Requests that this host may have in flight before the first report arrives.
UNREPORTED_LIMIT = 1
# While this host has no request in flight, no reply brings a newer report, so one
# request may be sent to a server whose last report, this old, showed it as full.
STALE_REPORT_S = 1.0
HISTORY_LENGTH = 64
INITIAL_AVOIDANCE_S = 0.1
MAX_AVOIDANCE_S = 5.0


class LoadEstimate:
    """Load estimate for one backend server.

    Attributes:
        server: The backend server as announced.
        report: The newest report, or ``None``.
        measured_at: When the engine measured the report's numbers, in seconds.
        in_flight: Unfinished requests of this entry host.
        others: Requests of other entry hosts when the report was measured.
        failures: Number of consecutive failures.
        freed: Slots that this host's finished requests released and that it has
            not used again.
        avoided_until: The server is not chosen before this time, in seconds.
    """

    __slots__ = (
        "_counts",
        "_times",
        "avoided_until",
        "failures",
        "freed",
        "in_flight",
        "measured_at",
        "others",
        "report",
        "server",
    )

    def __init__(self, server: freshness.BackendServer) -> None:
        self.server = server
        self.report: work.LoadReport | None = None
        self.measured_at = -math.inf
        self.in_flight = 0
        self.others = 0.0
        self.failures = 0
        self.freed = 0
        self.avoided_until = -math.inf
        self._times: list[float] = []
        self._counts: list[int] = []

    def is_newer(self, report: work.LoadReport, now: float) -> bool:
        """Returns whether a report is newer than the last one.

        Reports of one agent may arrive out of order over different streams.
        """
        same_boot = self.report is not None and self.report.boot_id == report.boot_id
        return not same_boot or now - report.age_s >= self.measured_at

    def apply_report(self, report: work.LoadReport, now: float) -> None:
        """Applies a report that is newer than the last one."""
        measured_at = now - report.age_s
        self.report = report
        self.measured_at = measured_at
        total = report.running + report.waiting
        self.others = max(0.0, total - self._count_in_flight_at(measured_at))

    def note_sent(self, now: float) -> None:
        """Records that a request was sent."""
        self.freed = max(0, self.freed - 1)
        self._set_in_flight(self.in_flight + 1, now)

    def note_ended(self, now: float) -> None:
        """Records the end of a request, whatever its outcome."""
        self._set_in_flight(max(0, self.in_flight - 1), now)

    def note_success(self) -> None:
        """Records a released slot and ends the avoidance after failures."""
        self.freed += 1
        self.failures = 0
        self.avoided_until = -math.inf

    def note_full(self, now: float) -> None:
        """Records that the agent refused a request because the server is full.

        This is newer than any report: the agent counts the requests that it admits,
        while the engine's numbers lag behind.
        """
        self.freed = 0
        if self.report is not None:
            self.others = max(0.0, float(self.report.limit - self.in_flight))
            self.measured_at = now

    def avoid(self, now: float, seconds: float) -> None:
        """Excludes the server from being chosen for some seconds."""
        self.avoided_until = max(self.avoided_until, now + seconds)

    def note_failure(self, now: float) -> None:
        """Avoids the server, for twice as long after each consecutive failure."""
        self.failures += 1
        seconds = INITIAL_AVOIDANCE_S * 2 ** min(self.failures - 1, 10)
        self.avoid(now, min(seconds, MAX_AVOIDANCE_S))

    def get_limit(self) -> int:
        """Returns the agent's last reported limit, or else the announced capacity."""
        return self.report.limit if self.report else self.server.capacity

    def estimate(self, mean_utilisation: float, now: float) -> float:
        """Estimates the number of requests at the server from all entry hosts.

        Args:
            mean_utilisation: The mean of ``others`` over the service's servers, as a
                fraction of their limits. A mean in requests kept cold servers idle,
                although other hosts can't have sent them more than their low limit.
            now: Monotonic time in seconds.
        """
        mean_others = mean_utilisation * self.get_limit()
        if self.report is None:
            return mean_others + self.in_flight
        weight = self.get_report_weight(now)
        return mean_others + (self.others - mean_others) * weight + self.in_flight

    def get_report_weight(self, now: float) -> float:
        """Returns the weight of the last report, decaying with age from 1 to 0."""
        age = max(0.0, now - self.measured_at)
        return math.exp2(-age / LOAD_HALF_LIFE_S)

    def has_headroom(self, estimate: float, caution: float, now: float) -> bool:
        """Returns whether the agent would probably admit one more request.

        Args:
            estimate: What ``estimate`` returned.
            caution: Number of requests by which an old report may be too low. It is
                not added while a slot released by this host's own requests is free.
            now: Monotonic time in seconds.
        """
        if now < self.avoided_until:
            return False
        if self.report is None or self.failures:
            return self.in_flight < UNREPORTED_LIMIT
        if self.freed == 0:
            # Bounded by the limit, since a cold server's low limit leaves no room
            # for a margin.
            margin_max = (self.report.limit - 1) / 2
            estimate += min(caution * (1.0 - self.get_report_weight(now)), margin_max)
        if estimate + 1 <= self.report.limit:
            return True
        return self.in_flight == 0 and now - self.measured_at > STALE_REPORT_S

    def _set_in_flight(self, count: int, now: float) -> None:
        self.in_flight = count
        self._times.append(now)
        self._counts.append(count)
        if len(self._times) > HISTORY_LENGTH:
            del self._times[: HISTORY_LENGTH // 2]
            del self._counts[: HISTORY_LENGTH // 2]

    def _count_in_flight_at(self, moment: float) -> int:
        position = bisect.bisect_right(self._times, moment)
        if position:
            return self._counts[position - 1]
        if self._counts and len(self._counts) >= HISTORY_LENGTH // 2:
            return self._counts[0]
        return 0
