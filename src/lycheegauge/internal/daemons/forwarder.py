"""State shared by all forwarded requests of one entry host."""

import asyncio
import random

import loguru

from lycheegauge import metrics, settings
from lycheegauge.internal.coordination import (
    coldratelimit,
    crashdetector,
    declaredservices,
    hedging,
    hostshares,
    memorylimits,
    progress,
    repeatbudget,
    requestoutcomes,
    rosterview,
    servercandidates,
    serverchoice,
    serverevidence,
    serverstatements,
)
from lycheegauge.internal.daemons import (
    crashprobes,
    hostload,
    lateanswers,
    logupdates,
    serverchooser,
    serverrecords,
    silencewatch,
    startwait,
    streamadmissions,
    suspectruns,
)
from lycheegauge.internal.protocol import controlcalls, roster, routetables
from lycheegauge.internal.transport import (
    boundedupstream,
    bytebudget,
    clock,
    upstream,
)

PROGRESS_RETENTION_S = 10.0
"""How long the time of a server's last output is kept, in seconds; longer than a
request takes."""

OUTCOMES_INTERVAL_S = 2.0
"""Interval at which the counts of ended requests are logged, in seconds."""


class Forwarder:
    """Owns the connections to backend servers and the requests in flight.

    Attributes:
        services: The declared services.
        records: Records what requests show of the servers.
        late_answers: Hears the answers to attempts that were given up.
        chooser: Chooses the servers of requests.
        crash_probes: Finds out whether servers crashed.
        updates: Applies the updates from the log.
        start_wait: The requests that wait while the host starts.
        suspect_runs: The requests that may have crashed servers.
        load: How loaded this host sees the servers.

    Args:
        part: The host's settings.
        view: The roster and the routing state as this host knows them.
        dialect: The dialect of the external API.
        counters: Counts refusals and retries.
    """

    def __init__(
        self,
        part: settings.GatewaySettings,
        view: rosterview.RosterView,
        dialect: controlcalls.Dialect,
        counters: metrics.Metrics,
    ) -> None:
        self.part = part
        self.view = view
        self.dialect = dialect
        self.metrics = counters
        self.budget = make_budget(part.limits)
        self.pool = boundedupstream.make_pool(self.budget)
        self.random_source = random.Random()
        self.choice = serverchoice.ServerChoice()
        self.cold_limiter = coldratelimit.ColdRateLimiter()
        self.statements = serverstatements.ServerStatements(self.random_source)
        self.share = hostshares.HostShareHolder(
            part.repeats.window_s + repeatbudget.TRANSIT_S
        )
        self.hedging = hedging.Hedging(part.hedging.extra_fraction, self.share)
        self.evidence = serverevidence.ServerEvidence(
            part.evidence.from_servers, self.share
        )
        preferences = servercandidates.Preferences(
            part.availability_zone,
            part.server_choice.zone_tolerance,
            part.server_choice.weigh_work,
            part.server_choice.from_servers,
        )
        self.services = declaredservices.DeclaredServices(preferences)
        self.candidates = servercandidates.ServerCandidates(
            view,
            self.choice,
            self.statements,
            self.cold_limiter,
            self.share,
            self._count_connections,
            preferences,
            self.evidence,
        )
        self.progress = progress.ServerProgress()
        self.crashdetector = crashdetector.CrashDetector()
        self.admission = streamadmissions.StreamAdmissions(
            part, view, self.choice, self.share, counters, self.random_source
        )
        self.outcomes = requestoutcomes.RequestOutcomes()
        self.start_wait = startwait.StartWait()
        self.suspect_runs = suspectruns.SuspectRuns()
        self._join_parts()
        self._outcomes_logged_at = clock.read_clock()
        self.stopping = False
        self.refuses_requests = False
        self.running: set[asyncio.Task[None]] = set()
        self._longest_gaps: dict[str, float] = {}
        self._budgets: dict[str, repeatbudget.RepeatBudget] = {}

    def _join_parts(self) -> None:
        """Creates the parts that use the knowledge of the host."""
        part, view, services, choice = self.part, self.view, self.services, self.choice
        preferences = part.server_choice
        counts_choices = (
            preferences.weigh_work or preferences.zone_tolerance is not None
        )
        self.records = serverrecords.ServerRecords(
            view,
            services,
            choice,
            self.statements,
            self.evidence,
            self.share,
            self.dialect.headers,
        )
        self.pool.on_extra_data = self.records.note_extra_data
        self.late_answers = lateanswers.LateAnswers(
            self.records, self.dialect.headers.request_id
        )
        self.chooser = serverchooser.ServerChooser(
            view,
            services,
            self.candidates,
            choice,
            self.statements,
            self.cold_limiter,
            self.evidence,
            self.random_source,
            self.metrics if counts_choices else None,
        )
        self.crash_probes = crashprobes.CrashProbes(
            view,
            services,
            choice,
            self.crashdetector,
            self.pool,
            self.suspect_runs.note_change,
        )
        self.updates = logupdates.LogUpdates(
            view,
            self.dialect,
            services,
            choice,
            self.statements,
            self.evidence,
            self.crash_probes,
            self.admission,
            self.start_wait,
            preferences.weigh_work,
        )
        self.load = hostload.HostLoad(
            part.name,
            view,
            services,
            choice,
            self.admission,
            preferences.directory_by_load,
            preferences.from_servers,
        )

    def apply_changes(self, changed: tuple[str, ...]) -> None:
        """Applies the changes that a pull returned."""
        self.updates.apply(changed)
        if "roster" in changed:
            self.sweep()

    def sweep(self) -> None:
        """Closes idle connections that are old or whose server is gone."""
        self.progress.drop_silent(clock.read_clock() - PROGRESS_RETENTION_S)
        self.hedging.times.drop_old(clock.read_clock())
        present = {server.incarnation for server in self.view.servers.values()}
        self.pool.close_stale(present)
        self.statements.remove_absent(present, clock.read_clock())

    def log_outcomes(self) -> None:
        """Logs how the requests of each route ended since the last such line."""
        now = clock.read_clock()
        if now - self._outcomes_logged_at < OUTCOMES_INTERVAL_S:
            return
        counts = self.outcomes.pop_counts()
        if counts:
            loguru.logger.info(
                "requests ended",
                since_s=round(now - self._outcomes_logged_at, 2),
                counts=counts,
            )
        chosen = self.chooser.pop_counts()
        if chosen:
            loguru.logger.info("servers chosen", **chosen)
        self._outcomes_logged_at = now

    def get_retry_budget(self, service: str) -> repeatbudget.RepeatBudget:
        """Returns this host's share of a service's retry budget."""
        repeats = self.part.repeats
        if service not in self._budgets:
            self._budgets[service] = repeatbudget.RepeatBudget(
                repeats.ratio, repeats.slack, repeats.window_s, self.share
            )
        return self._budgets[service]

    def note_request(self, service: str) -> None:
        """Counts a request for a service, which earns retries and raises the demand."""
        now = clock.read_clock()
        self.share.note_request(now)
        self.get_retry_budget(service).note_request(now)
        self.hedging.note_request(service, now)

    def _count_connections(self, incarnation: str) -> int:
        """Counts this host's connections to a server; -1 if one of them is idle."""
        if self.pool.has_idle(incarnation):
            return -1
        return self.pool.count_open(incarnation)

    def note_gap(self, service: str, gap_s: float) -> None:
        """Records a pause between two parts of a stream."""
        if gap_s > 0.0 and self.hedging.is_active:
            self.hedging.passes.note_gap(service, gap_s, clock.read_clock())
        if gap_s > self._longest_gaps.get(service, 0.0):
            self._longest_gaps[service] = gap_s

    def pop_gaps(self) -> tuple[roster.ServiceGap, ...]:
        """Returns each service's longest pause since the last call, and resets it."""
        gaps, self._longest_gaps = self._longest_gaps, {}
        return tuple(roster.ServiceGap(*item) for item in gaps.items())

    def make_silence_watch(
        self,
        connection: upstream.UpstreamConnection,
        server: roster.ServerListing,
        route: routetables.Route,
    ) -> silencewatch.SilenceWatch:
        """Creates the monitor of an attempt that may be repeated at another server."""
        sent_at = clock.read_clock()

        def is_lost() -> bool:
            now = clock.read_clock()
            budget = self.get_retry_budget(server.service)
            slots = self.services.count_slots(server)
            if self.choice.estimate(server, slots, now) > 1.0:
                # The request is probably queued for a slot there.
                return False
            return self.progress.is_lagging(
                server.service, server.name, sent_at, now
            ) and budget.has_left(now)

        late_after_s = progress.SILENCE_TARGET_MULTIPLE * route.target_first_s
        return silencewatch.SilenceWatch(connection, late_after_s, is_lost)

    async def close(self) -> None:
        """Cancels all requests and closes all connections."""
        self.admission.close()
        for task in self.running:
            task.cancel()
        await asyncio.gather(
            self.crash_probes.close(), *self.running, return_exceptions=True
        )
        await self.late_answers.close()
        self.pool.close()
        if self.budget is not None:
            self.budget.close()


def make_budget(limits: settings.Limits) -> bytebudget.ByteBudget | None:
    """Creates the bound on the bytes held; ``None`` if the settings have none."""
    if not limits.held_bytes:
        return None
    return bytebudget.ByteBudget(
        memorylimits.MemoryLimits(limits.held_bytes, limits.connection_bytes)
    )
