"""Sums at the log's leader what all entry hosts found at the backend servers.

The sums are soft: a host's report expires, and a new leader hears of everything with
the next pulls.
"""

import collections.abc
import dataclasses
import math

from lycheegauge.internal.coordination import serverevidence
from lycheegauge.internal.protocol import roster

CONFIRMED_S = 1.0
"""Time after which a listed server stays listed until probes are answered, in seconds.
Before, the hosts that it answered are heard of: they report answers only once it is
listed."""

LISTED_MAX_S = 10.0
"""How long a server stays listed after its last reported failure, in seconds. Probes
fail more often than that; a service without repeatable requests gets none."""

LIST_INTERVAL_S = 0.1
"""How often the sums are made anew, in seconds: several tens of pulls a second read
them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    outcomes: roster.ServerOutcomes
    received_at: float

    @property
    def at(self) -> float:
        """When the latest of the outcomes was found, in seconds."""
        return self.received_at - self.outcomes.age_ms / 1000


@dataclasses.dataclass(slots=True)
class _Listed:
    """A server that failed at several hosts.

    Attributes:
        since: When failures were first a large part of its outcomes, in seconds.
        failed_at: When it last failed, in seconds.
        suspect: What the hosts are told.
    """

    since: float
    failed_at: float
    suspect: roster.SuspectServer


class OutcomeRegistry:
    """The outcomes that the entry hosts reported to the leader of one term."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[serverevidence.Key, _Report]] = {}
        self._listed: dict[serverevidence.Key, _Listed] = {}
        self._readmitted_at: dict[serverevidence.Key, float] = {}
        self._suspects: tuple[roster.SuspectServer, ...] = ()
        self._summed_at = -math.inf

    def record_outcomes(
        self,
        host: str,
        outcomes: collections.abc.Iterable[roster.ServerOutcomes],
        now: float,
    ) -> None:
        """Records a host's report in place of its last one."""
        reports = {(o.server, o.born_ms): _Report(o, now) for o in outcomes}
        if not reports:
            self._reports.pop(host, None)
            return
        self._reports[host] = reports
        for key, report in reports.items():
            listed = self._listed.get(key)
            is_good = report.outcomes.probed >= serverevidence.GOOD_PROBES
            if listed is not None and is_good and report.at > listed.failed_at:
                del self._listed[key]
                self._readmitted_at[key] = report.at
                self._summed_at = -math.inf

    def list_suspects(
        self,
        servers: collections.abc.Callable[
            [], collections.abc.Iterable[roster.ServerListing]
        ],
        now: float,
    ) -> tuple[roster.SuspectServer, ...]:
        """Lists the servers that failed at two or more hosts.

        Args:
            servers: Lists the servers in the roster; others are dropped.
            now: Current time in seconds.
        """
        if now - self._summed_at < LIST_INTERVAL_S:
            return self._suspects
        self._summed_at = now
        if not self._reports and not self._listed:
            self._suspects = ()
            return ()
        present = {serverevidence.get_key(server) for server in servers()}
        sums = self._sum_reports(now)
        for key, suspect in sums.items():
            self._update_listed(key, suspect, now)
        for key, listed in list(self._listed.items()):
            is_old = listed.failed_at < now - LISTED_MAX_S
            if key not in present or is_old:
                del self._listed[key]
        for key, at in list(self._readmitted_at.items()):
            if at < now - LISTED_MAX_S:
                del self._readmitted_at[key]
        suspects = {key: item for key, item in sums.items() if key in present}
        for key, listed in self._listed.items():
            age_ms = round((now - listed.failed_at) * 1000)
            suspects[key] = dataclasses.replace(listed.suspect, age_ms=age_ms)
        self._suspects = tuple(suspects[key] for key in sorted(suspects))
        return self._suspects

    def _update_listed(
        self, key: serverevidence.Key, suspect: roster.SuspectServer, now: float
    ) -> None:
        """Lists a server for good, or withdraws one that others find sound."""
        total = suspect.failed + suspect.answered
        is_failing = suspect.failed * serverevidence.FAILED_PARTS >= total
        failed_at = now - suspect.age_ms / 1000
        listed = self._listed.get(key)
        if listed is None:
            if is_failing:
                self._listed[key] = _Listed(now, failed_at, suspect)
            return
        listed.failed_at = max(listed.failed_at, failed_at)
        if is_failing:
            listed.suspect = suspect
        elif now - listed.since < CONFIRMED_S:
            del self._listed[key]

    def _sum_reports(
        self, now: float
    ) -> dict[serverevidence.Key, roster.SuspectServer]:
        since = now - serverevidence.OUTCOMES_S
        sums: dict[serverevidence.Key, list[int]] = {}
        failed_at: dict[serverevidence.Key, float] = {}
        for host, reports in list(self._reports.items()):
            kept = {key: item for key, item in reports.items() if item.at > since}
            self._reports[host] = kept
            if not kept:
                del self._reports[host]
            for key, report in kept.items():
                outcomes = report.outcomes
                if report.at <= self._readmitted_at.get(key, -math.inf):
                    continue
                counts = sums.setdefault(key, [0, 0, 0])
                counts[0] += outcomes.failed > 0
                counts[1] += outcomes.answered
                counts[2] += outcomes.failed
                if outcomes.failed:
                    failed_at[key] = max(failed_at.get(key, -math.inf), report.at)
        for key, listed in self._listed.items():
            # A probe that fails is the finding of a single host.
            listed.failed_at = max(listed.failed_at, failed_at.get(key, -math.inf))
        return {
            key: roster.SuspectServer(
                *key,
                failed_hosts=counts[0],
                answered=counts[1],
                failed=counts[2],
                age_ms=round((now - failed_at[key]) * 1000),
            )
            for key, counts in sums.items()
            if counts[0] >= serverevidence.HOSTS_MIN
        }
