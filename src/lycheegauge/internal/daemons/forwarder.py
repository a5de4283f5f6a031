"""State shared by all forwarded requests of one entry host."""

import asyncio
import collections
import collections.abc
import math
import random
import zlib

import loguru
from returns import result

from lycheegauge import errors, metrics, settings
from lycheegauge.internal.coordination import (
    choicecounts,
    coldratelimit,
    crashdetector,
    crashes,
    forwardrules,
    hedging,
    hostshares,
    memorylimits,
    partdetector,
    progress,
    repeatbudget,
    requestoutcomes,
    requestwork,
    rosterview,
    routeindex,
    servercandidates,
    serverchoice,
    serverevidence,
    serverselection,
    serverstatements,
    waitforecast,
)
from lycheegauge.internal.daemons import loadsharing, silencewatch, streamadmissions
from lycheegauge.internal.protocol import (
    changes,
    controlcalls,
    roster,
    routetables,
    work,
)
from lycheegauge.internal.transport import (
    boundedupstream,
    bytebudget,
    clock,
    upstream,
)

RETRY_AFTER_S = {
    work.RefusalReason.LEASE_EXPIRED: 0.5,
    work.RefusalReason.NO_ROUTE_TABLE: 0.5,
    work.RefusalReason.NO_BACKEND_SERVER: 0.7,
    work.RefusalReason.BACKEND_SERVERS_FULL: 0.4,
    work.RefusalReason.COLD_LIMIT: 0.4,
    work.RefusalReason.RETRY_BUDGET_SPENT: 0.5,
    work.RefusalReason.STOPPING: 0.05,
    work.RefusalReason.MEMORY_FULL: 1.0,
}
"""When a refused caller may retry, in seconds: after one or two pulls where the entry
host lacks state, after about a third of a typical response time where slots are full,
at once where another entry host can serve, and after the time in which stalled answers
are ended where memory is full."""

DEFAULT_RETRY_AFTER_S = 0.5

SETTLING_TIME_S = 2.5
"""Time after the first route table in which a host may still lack servers, in
seconds."""

PROGRESS_RETENTION_S = 10.0
"""How long the time of a server's last output is kept, in seconds; longer than a
request takes."""

OUTCOMES_INTERVAL_S = 2.0
"""Interval at which the counts of ended requests are logged, in seconds."""

LIMIT_RETRY_AFTER_MAX_S = 2.0

WAIT_RETRY_AFTER_MIN_S = 0.1
RETRY_SPREAD_S = 0.5
"""Callers that are told the same time to come back are spread over this, in seconds."""

START_WAITERS_MAX = 256
"""Maximum number of requests that wait while the host starts; each holds its body in
memory."""


class Forwarder:
    """Owns the connections to backend servers and the requests in flight.

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
        self.index: routeindex.RouteIndex | None = None
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
        self.candidates = servercandidates.ServerCandidates(
            view,
            self.choice,
            self.statements,
            self.cold_limiter,
            self.share,
            self._count_connections,
            servercandidates.Preferences(
                part.availability_zone,
                part.server_choice.zone_tolerance,
                part.server_choice.weigh_work,
                part.server_choice.from_servers,
            ),
            self.evidence,
        )
        self.pool.on_extra_data = self._note_extra_data
        self.progress = progress.ServerProgress()
        self.crashdetector = crashdetector.CrashDetector()
        self.admission = streamadmissions.StreamAdmissions(
            part, view, self.choice, self.share, counters, self.random_source
        )
        self.outcomes = requestoutcomes.RequestOutcomes()
        self._service_sizes: collections.Counter[str] = collections.Counter()
        self._choice_counts = choicecounts.ChoiceCounts()
        preferences = part.server_choice
        self._counts_choices = (
            preferences.weigh_work or preferences.zone_tolerance is not None
        )
        self._outcomes_logged_at = clock.read_clock()
        self.stopping = False
        self.refuses_requests = False
        self.on_load_changed: collections.abc.Callable[[], None] = _do_nothing
        self._update_event = asyncio.Event()
        self._waiting_for_update = 0
        self._settled_at = math.inf
        self.running: set[asyncio.Task[None]] = set()
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._longest_gaps: dict[str, float] = {}
        self._budgets: dict[str, repeatbudget.RepeatBudget] = {}
        self._forecasts: dict[str, waitforecast.WaitForecast] = {}

    async def wait_for_update(self, max_wait_s: float) -> bool:
        """Waits for the next update, if this host has only just started.

        Right after all hosts were lost, a caller has often spent its retries on
        closed ports, so a refusal would be final for it, and the missing state
        arrives with the next pulls.

        Returns:
            Whether an update arrived. ``False`` immediately if this host has settled
            or too many requests are waiting.
        """
        is_settled = clock.read_clock() >= self._settled_at
        if is_settled or self._waiting_for_update >= START_WAITERS_MAX:
            return False
        self._waiting_for_update += 1
        try:
            async with asyncio.timeout(max(0.0, max_wait_s)):
                await self._update_event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting_for_update -= 1
        return True

    # Updates from the log and evidence of crashes.

    def apply_changes(self, changed: tuple[str, ...]) -> None:
        """Applies the changes that a pull returned."""
        if changed:
            self._update_event.set()
            self._update_event = asyncio.Event()
        if "table" in changed and self.view.table is not None:
            self._apply_table(self.view.table)
        if "restrictions" in changed:
            restrictions = self.view.restrictions
            loguru.logger.info(
                "restrictions in force",
                revision=restrictions.revision,
                zones_out=restrictions.zones_out,
                departures=len(restrictions.departures),
            )
        if "roster" in changed:
            self.choice.remove_absent(self.view.servers)
            if self.part.server_choice.weigh_work:
                listed = self.view.servers.values()
                self._service_sizes = collections.Counter(s.service for s in listed)
                self.choice.update_servers(listed)
            self.evidence.update_servers(self.view.servers.values(), clock.read_clock())
            self._detect_crashes()
            self.sweep()

    def record_broken_attempt(
        self, server: roster.ServerListing, fingerprint: str, parts: tuple[str, ...]
    ) -> None:
        """Records an aborted attempt and probes whether its server is gone.

        Args:
            server: The attempt's server.
            fingerprint: The digest of the request.
            parts: The shared parts of its prompt, if they may have crashed the server.
        """
        now = clock.read_clock()
        suspect = None
        if parts:
            slots = max(1, self._count_slots(server))
            open_requests = self.choice.estimate(server, slots, now) * slots
            suspect = partdetector.Suspect(parts, open_requests)
        self.crashdetector.record_broken_attempt(server, fingerprint, now, suspect)
        if server.incarnation in self._probes:
            return
        task = asyncio.create_task(self._probe(server))
        self._probes[server.incarnation] = task
        task.add_done_callback(lambda _: self._probes.pop(server.incarnation, None))

    async def _probe(self, server: roster.ServerListing) -> None:
        """Checks once for all attempts aborted at a server whether it still listens."""
        try:
            connection = await self.pool.connect(server.incarnation, server.address)
        except errors.PeerUnreachableError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                now = clock.read_clock()
                report = self.crashdetector.handle_refused_connection(server, now)
                if report is not None:
                    _log_crash(report, "its port is closed")
            return
        self.pool.release(server.incarnation, connection)

    def _detect_crashes(self) -> None:
        now = clock.read_clock()
        for report in self.crashdetector.detect_restarts(
            self.view.servers.values(), now
        ):
            _log_crash(report, "it restarted")

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
        chosen = self._choice_counts.pop()
        if chosen:
            loguru.logger.info("servers chosen", **chosen)
        self._outcomes_logged_at = now

    def _apply_table(self, document: roster.RouteDocument) -> None:
        read = self.dialect.parse_table(zlib.decompress(document.body))
        if isinstance(read, result.Failure):
            loguru.logger.error(
                "a committed route table can't be read",
                version=document.version,
                reason=str(read.failure()),
            )
            return
        self.index = routeindex.RouteIndex(read.unwrap())
        routes = self.index.table.routes
        self.statements.set_longest_deadline(
            max((route.timeout_s for route in routes), default=math.inf)
        )
        self.admission.set_table(self.index)
        self._settled_at = min(self._settled_at, clock.read_clock() + SETTLING_TIME_S)
        loguru.logger.info("route table in force", version=document.version)

    @property
    def table_version(self) -> int:
        """The version of the route table in force; 0 for none."""
        return self.index.table.version if self.index else 0

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

    def get_forecast(self, service: str) -> waitforecast.WaitForecast:
        """Returns the forecast of a service's waiting times."""
        return self._forecasts.setdefault(service, waitforecast.WaitForecast())

    def check_wait(
        self, route: routetables.Route, service: str, server: roster.ServerListing
    ) -> forwardrules.GivenUp | None:
        """Refuses a first attempt that would start too late; others may wait."""
        assert self.index is not None
        slots = self._count_slots(server)
        if not slots:
            return None
        busy = self.choice.estimate(server, slots, clock.read_clock())
        wait_s = self.get_forecast(service).predict_wait(busy, slots)
        after_s = waitforecast.compute_retry_after(wait_s, route.target_first_s)
        if after_s is None:
            return None
        return forwardrules.give_up(
            work.RefusalReason.OVERLOADED,
            work.RunState.NOT_RUN,
            after_s,
            f"a slot is free in {wait_s:.2f} s at the least busy server",
        )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tells whether a request must not run, since it crashed servers before."""
        return self.crashdetector.get_verdict(fingerprint) is crashes.Verdict.REFUSED

    def has_server(self, service: str) -> bool:
        """Tells whether any server of a service may receive work."""
        return bool(self._list_usable(service, clock.read_clock()))

    def _list_usable(self, service: str, now: float) -> list[roster.ServerListing]:
        """Lists a service's servers, without those that said that they leave."""
        return [
            server
            for server in self.view.list_usable(now)
            if server.service == service
            and not self.statements.is_leaving(server.incarnation)
        ]

    def choose_server(
        self,
        service: str,
        tried: set[str],
        size: requestwork.ExpectedSize | None = None,
        may_probe: bool = False,
    ) -> roster.ServerListing | forwardrules.GivenUp:
        """Chooses a server for a request, or returns why there is none."""
        selection = self.select_server(service, tried, size, may_probe)
        if self._counts_choices:
            zone = self._choice_counts.note(selection)
            if zone:
                self.metrics.count_choice(zone)
        if selection.chosen is None:
            return self.refuse_selection(selection, size)
        server = selection.chosen.server
        if selection.chosen.is_cold:
            self.cold_limiter.take(server.name)
        if selection.chosen.is_probe_due:
            self.evidence.take_probe(server, clock.read_clock())
        self.statements.take(server.incarnation)
        return server

    def select_server(
        self,
        service: str,
        tried: set[str],
        size: requestwork.ExpectedSize | None = None,
        may_probe: bool = False,
    ) -> serverselection.Selection:
        """Decides where a request may be sent; changes nothing."""
        assert self.index is not None
        return self.candidates.select(
            self.index.services[service],
            tried,
            size,
            self.random_source,
            clock.read_clock(),
            may_probe,
        )

    def expect_size(
        self, service: str, headers: collections.abc.Mapping[str, str]
    ) -> requestwork.ExpectedSize | None:
        """Estimates a request's size; ``None`` if servers are not compared by work."""
        if not self.part.server_choice.weigh_work:
            return None
        names = self.dialect.headers
        stated = self.dialect.parse_request_size(
            headers.get(names.token_counts, ""), headers.get(names.length_hint, "")
        )
        return self.expect_stated_size(service, stated)

    def expect_stated_size(
        self, service: str, stated: controlcalls.RequestSize | None
    ) -> requestwork.ExpectedSize | None:
        """Estimates the size of a request from the one that its caller states."""
        model = self._make_work_model(service)
        return model.expect_size(stated) if model is not None else None

    def _make_work_model(self, service: str) -> requestwork.WorkModel | None:
        """Makes the model of a service's engines; ``None`` if it is not used."""
        declared = self.index.services.get(service) if self.index else None
        if declared is None or not self._weighs_work(service):
            return None
        return requestwork.make_model(declared)

    def list_candidates(
        self, service: str, tried: set[str]
    ) -> list[serverselection.Candidate]:
        """Lists what this host knows of the servers of a service."""
        assert self.index is not None
        return self.candidates.collect(
            self.index.services[service], tried, clock.read_clock()
        )

    def _weighs_work(self, service: str) -> bool:
        """Tells whether the servers of a service are compared by their work."""
        preferences = self.part.server_choice
        if not preferences.weigh_work:
            return False
        return self._service_sizes[service] >= preferences.from_servers

    def _count_connections(self, incarnation: str) -> int:
        """Counts this host's connections to a server; -1 if one of them is idle."""
        if self.pool.has_idle(incarnation):
            return -1
        return self.pool.count_open(incarnation)

    def refuse_selection(
        self,
        selection: serverselection.Selection,
        size: requestwork.ExpectedSize | None,
    ) -> forwardrules.GivenUp:
        """Builds the refusal of a request that no server may get now."""
        assert selection.refusal is not None
        if selection.refusal is work.RefusalReason.REQUEST_TOO_LARGE:
            assert size is not None
            needed = f"the request needs {size.tokens} tokens of a server's memory"
            return self.refuse(selection.refusal, f"{needed}, more than one has")
        if selection.refusal is work.RefusalReason.SERVER_WAIT:
            return self._refuse_by_wait(selection.remaining)
        if selection.refusal is work.RefusalReason.SERVER_LIMIT:
            return self._refuse_by_limit(selection.remaining)
        return self.refuse(selection.refusal)

    def _refuse_by_limit(
        self, servers: tuple[serverselection.Candidate, ...]
    ) -> forwardrules.GivenUp:
        """Refuses a request until one of the servers takes another one."""
        shortest_s = min(server.limit_interval_s for server in servers)
        after_s = min(LIMIT_RETRY_AFTER_MAX_S, shortest_s)
        return forwardrules.give_up(
            work.RefusalReason.SERVER_LIMIT,
            work.RunState.NOT_RUN,
            after_s,
            f"{len(servers)} servers state a limit on their requests",
        )

    def _refuse_by_wait(
        self, servers: tuple[serverselection.Candidate, ...]
    ) -> forwardrules.GivenUp:
        """Refuses a request until the first of the servers wants requests again."""
        shortest_s = min(server.wait_s for server in servers)
        after_s = max(WAIT_RETRY_AFTER_MIN_S, shortest_s)
        after_s += self.random_source.uniform(0.0, RETRY_SPREAD_S)
        return forwardrules.give_up(
            work.RefusalReason.SERVER_WAIT,
            work.RunState.NOT_RUN,
            after_s,
            f"{len(servers)} servers want no request for {shortest_s:.2f} s or more",
        )

    def note_statement(
        self, server: roster.ServerListing, head: upstream.ResponseHead
    ) -> None:
        """Records what a server's answer states about the server."""
        now = clock.read_clock()
        names = self.dialect.headers
        if self._weighs_work(server.service):
            stated = serverstatements.parse_load(head.get(names.server_load))
            if stated is not None:
                self.choice.note_stated_load(server.name, stated, now)
        statement = serverstatements.read_statement(
            head.status,
            head.get(names.server_limit),
            head.get(names.server_leaving),
            head.get(names.retry_after),
        )
        interval = self.share.get_interval(now)
        news = self.statements.note_answer(server, statement, interval, now)
        if news.is_new_limit:
            loguru.logger.info(
                "limit stated by a backend server",
                server=server.name,
                requests_per_s=statement.limit,
            )
        if news.is_new_leaving:
            loguru.logger.info(
                "a backend server says that it leaves",
                server=server.name,
                born_ms=server.born_ms,
            )
        if statement.wait_s:
            loguru.logger.info(
                "a backend server wants no requests",
                server=server.name,
                wait_s=statement.wait_s,
                unreadable=statement.unreadable[:64],
            )

    def may_send(self, server: roster.ServerListing) -> bool:
        """Tells whether a chosen server still wants requests."""
        now = clock.read_clock()
        return self.statements.may_send(server.incarnation, now)

    def note_sent(
        self,
        server: roster.ServerListing,
        size: requestwork.ExpectedSize | None = None,
    ) -> requestwork.RequestWork | None:
        """Records that a request is sent to a server.

        Returns:
            What it holds and brings there; ``None`` if ``size`` is not given.
        """
        self.choice.note_sent(server.name)
        self.statements.note_sent(server.incarnation)
        self.evidence.note_sent(server, clock.read_clock())
        self.on_load_changed()
        model = self._make_work_model(server.service)
        if size is None or model is None:
            return None
        brought = requestwork.RequestWork(server.incarnation, size, model)
        self.choice.memory.add(brought)
        return brought

    def note_ended(
        self,
        server: roster.ServerListing,
        brought: requestwork.RequestWork | None = None,
    ) -> None:
        """Records that a request at a server ended."""
        self.choice.note_ended(server.name)
        self.statements.note_ended(server.incarnation)
        if brought is not None:
            self.choice.memory.remove(brought)
        self.evidence.note_ended(server)
        self.on_load_changed()

    def note_pass(self, service: str, gap_s: float, events: int) -> None:
        """Records a pause between writes of whole events, and the events after it."""
        self.admission.note_gap(service, gap_s, clock.read_clock(), events)

    def note_failure(self, server: roster.ServerListing) -> None:
        """Records as evidence that a server failed a request."""
        if self.evidence.note_failure(server, clock.read_clock()):
            loguru.logger.warning(
                "a backend server is out: its last requests here failed",
                server=server.name,
                born_ms=server.born_ms,
            )

    def _note_extra_data(self, incarnation: str) -> None:
        """Counts a late copy of an answer as a failure of its server."""
        for server in self.view.servers.values():
            if server.incarnation == incarnation:
                self.note_failure(server)

    def note_answer(self, server: roster.ServerListing, sent_at: float) -> None:
        """Records as evidence that a server answered a request completely."""
        if self.evidence.note_answer(server, sent_at, clock.read_clock()):
            loguru.logger.info(
                "a backend server is readmitted: it answered probes",
                server=server.name,
                born_ms=server.born_ms,
            )

    def apply_suspects(self, reply: roster.RosterReply) -> None:
        """Applies the leader's list of servers that failed at several hosts."""
        now = clock.read_clock()
        suspects = reply.suspect_servers
        for name in self.evidence.apply_suspects(reply.source, suspects, now):
            loguru.logger.warning(
                "a backend server is out: it failed at several hosts",
                server=name,
                suspects=len(suspects),
                out=self.evidence.count_out(),
            )

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
            if self.choice.estimate(server, self._count_slots(server), now) > 1.0:
                # The request is probably queued for a slot there.
                return False
            return self.progress.is_lagging(
                server.service, server.name, sent_at, now
            ) and budget.has_left(now)

        late_after_s = progress.SILENCE_TARGET_MULTIPLE * route.target_first_s
        return silencewatch.SilenceWatch(connection, late_after_s, is_lost)

    def note_memories(self, memories: tuple[roster.ServerMemory, ...]) -> None:
        """Records what engines report of their memory."""
        now = clock.read_clock()
        self.choice.memory.remove_old_counts(now)
        for item in memories:
            server = self.view.servers.get(item.server)
            model = self._make_work_model(server.service) if server else None
            if server is None or model is None:
                continue
            if server.born_ms == item.born_ms:
                tokens = int(item.used * model.profile.memory_tokens)
                reported_at = now - item.age_ms / 1000
                self.choice.memory.note_engine_count(
                    server.incarnation, tokens, reported_at
                )

    def get_most_filled(self, now: float) -> float:
        """Returns the filled fraction of the fullest server's memory; 0 if unknown."""
        filled = [0.0]
        for server in self.view.list_usable(now):
            model = self._make_work_model(server.service)
            if model is not None and model.profile.memory_tokens:
                held = self.choice.estimate_tokens(server, now)
                filled.append(held / model.profile.memory_tokens)
        return max(filled)

    def count_open_by_host(self) -> dict[str, int]:
        """Counts the open requests of the entry hosts; empty if they don't count."""
        preferences = self.part.server_choice
        if not preferences.directory_by_load:
            return {}
        if len(self.view.servers) < preferences.from_servers:
            return {}
        counts = self.choice.news.count_by_host()
        return {**counts, self.part.name: self.choice.count_own_requests()}

    def _count_slots(self, server: roster.ServerListing) -> int:
        """Returns the slots that a server announced, or that its service declares."""
        declared = self.index.services.get(server.service) if self.index else None
        return server.slots or (declared.slots if declared else 0)

    def get_slots(self, service: str) -> int:
        """Returns the slots that a service declares for each of its servers."""
        declared = self.index.services.get(service) if self.index else None
        return declared.slots if declared else 0

    def is_lock_step(self, service: str) -> bool:
        """Tells whether the servers of a service run each pass together."""
        declared = self.index.services.get(service) if self.index else None
        return declared is not None and declared.experts is not None

    def is_highly_loaded(self, now: float) -> bool:
        """Tells whether most slots of some service are busy."""
        if self.index is None:
            return False
        if self.admission.is_crowded(now):
            return True
        busy: dict[str, float] = collections.defaultdict(float)
        slots: dict[str, int] = collections.defaultdict(int)
        for server in self.view.list_usable(now):
            count = self._count_slots(server)
            busy[server.service] += count * self.choice.estimate(server, count, now)
            slots[server.service] += count
        return any(
            busy[service] > loadsharing.HIGH_LOAD_FRACTION * slots[service]
            for service in slots
        )

    def refuse(
        self, reason: work.RefusalReason, detail: str = ""
    ) -> forwardrules.GivenUp:
        """Builds the refusal of a request that was not run."""
        after_s = RETRY_AFTER_S.get(reason, DEFAULT_RETRY_AFTER_S)
        return forwardrules.give_up(reason, work.RunState.NOT_RUN, after_s, detail)

    async def close(self) -> None:
        """Cancels all requests and closes all connections."""
        self.admission.close()
        tasks = [*self.running, *self._probes.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
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


def _do_nothing() -> None:
    """Default for ``on_load_changed``, used until a listener is set."""


def _log_crash(report: changes.ReportCrash, evidence: str) -> None:
    loguru.logger.warning(
        "a backend server crashed while it ran requests",
        server=report.backend_server,
        born_ms=report.boot_id,
        evidence=evidence,
        fingerprints=report.fingerprints,
    )
