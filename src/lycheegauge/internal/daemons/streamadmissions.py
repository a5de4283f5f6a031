"""Admits the streams of model services at one entry host, and holds those that wait."""

import asyncio
import collections.abc
import copy
import dataclasses
import itertools
import math
import random

import loguru

from lycheegauge import metrics, settings
from lycheegauge.internal.coordination import (
    forwardrules,
    hostshares,
    loadnews,
    rosterview,
    routeexplanation,
    routeindex,
    serverchoice,
    streamadmission,
    streamcapacity,
    streamgate,
    streamwaiting,
)
from lycheegauge.internal.daemons import loadsharing
from lycheegauge.internal.protocol import (
    controlcalls,
    roster,
    routetables,
    work,
)
from lycheegauge.internal.transport import clock

VIEW_AGE_MAX_S = 0.005
"""How long the counts of other hosts' streams are reused, in seconds."""

SERVERS_AGE_MAX_S = 0.1
"""How long the list of a service's servers is reused, in seconds."""

EVENTS_INTERVAL_S = 0.01
"""Load updates and gaps between events within this time lead to one look at the waiting
requests. A host gets some hundred updates per second from a large site."""

PULL_AGE_MAX_S = 1.0
UNLEASED_FRACTION = 0.5
"""Part of the capacity that all hosts may use together without leases, as long as a
leader has answered their last pull within this time, in seconds."""

LOG_INTERVAL_S = 1.0
CROWDED_FRACTION = 0.5
"""Fraction of the capacity above which hosts tell each other about each change."""

CROWDED_HOLD_S = loadnews.NEWS_LIFETIME_S
"""For how long updates go on when the streams become fewer, in seconds. The last counts
of a crowded time would otherwise be used by the other hosts until they expire."""

STOPPING_RETRY_AFTER_S = 0.05

REASONS = {
    streamadmission.Cause.QUEUE_FULL: work.RefusalReason.QUEUE_FULL,
    streamadmission.Cause.STOPPING: work.RefusalReason.STOPPING,
}
"""The reason that callers get, if it is not overload."""


@dataclasses.dataclass(slots=True)
class _Service:
    """A service with admission, and what this host knows of it."""

    name: str
    gate: streamgate.StreamGate
    servers: tuple[str, ...] = ()
    slots: int = 0
    is_large: bool = False
    servers_at: float = -math.inf
    others: float = 0.0
    others_at: float = -math.inf
    logged_at: float = -math.inf
    refused: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request on its way through admission."""

    service: _Service
    stream: streamwaiting.Stream
    future: asyncio.Future[forwardrules.GivenUp | None] | None = None


class StreamAdmissions:
    """Owns the requests that wait for capacity.

    Args:
        part: The host's settings.
        view: The roster as this host knows it.
        choice: Open requests by server, of this and of the other hosts.
        share: This host's fraction of all limits.
        counters: Counts waits and refusals.
        random_source: Spreads retries.
    """

    def __init__(
        self,
        part: settings.GatewaySettings,
        view: rosterview.RosterView,
        choice: serverchoice.ServerChoice,
        share: hostshares.HostShareHolder,
        counters: metrics.Metrics,
        random_source: random.Random,
    ) -> None:
        self._part = part
        self._view = view
        self._choice = choice
        self._share = share
        self._metrics = counters
        self._random_source = random_source
        self._services: dict[str, _Service] = {}
        self._declared: dict[str, routetables.ServiceDeclaration] = {}
        self._numbers = itertools.count(1)
        self._tickets: dict[int, Ticket] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._crowded_until = -math.inf
        self._pull_interval_s = part.roster.pull_interval_s
        if part.admission.from_servers:
            self._register_gauges()

    def set_table(self, index: routeindex.RouteIndex) -> None:
        """Applies a route table."""
        if not self._part.admission.from_servers:
            return
        self._declared = index.services
        services: dict[str, _Service] = {}
        for name, declared in index.services.items():
            rules = make_rules(index.table, declared, self._part.admission)
            if rules is None:
                continue
            known = self._services.get(name)
            if known is None:
                gate = streamgate.StreamGate(rules, self._random_source)
                known = _Service(name, gate)
            known.gate.set_rules(rules)
            services[name] = known
        self._services = services

    # Requests.

    def is_used(self, service: str) -> bool:
        """Tells whether the requests of a service are subject to admission."""
        found = self._services.get(service)
        if found is None:
            return False
        self._update_servers(found, clock.read_clock())
        return found.is_large

    def make_ticket(
        self,
        service: str,
        route: routetables.Route,
        priority: int | None,
        organisation: str,
        size: controlcalls.RequestSize | None,
        times: tuple[float, float],
        body_bytes: int,
        identify: collections.abc.Callable[[], str],
    ) -> Ticket | None:
        """Creates the ticket of a request.

        Args:
            service: The request's service.
            route: Its route.
            priority: The priority of its key's holder; ``None`` for the route's.
            organisation: The organisation that sent it.
            size: Its stated size.
            times: When it arrived, and its deadline, in seconds.
            body_bytes: The size of its body.
            identify: Returns what identifies it when it is sent again.

        Returns:
            The ticket; ``None`` if requests of its service are not subject to
            admission.
        """
        if not self.is_used(service):
            return None
        found = self._services[service]
        return Ticket(
            found,
            streamwaiting.Stream(
                next(self._numbers),
                route.name,
                organisation,
                route.priority if priority is None else priority,
                streamadmission.estimate_work(size, found.gate.rules.profile),
                route.target_first_s,
                route.target_gap_s,
                times[0],
                times[1],
                body_bytes,
                identify,
            ),
        )

    async def enter(self, ticket: Ticket | None) -> forwardrules.GivenUp | None:
        """Waits until a request may start; returns why it is refused otherwise."""
        if ticket is None:
            return None
        service, stream = ticket.service, ticket.stream
        now = clock.read_clock()
        ruling = service.gate.arrive(stream, self._make_view(service, now), now)
        for other in ruling.displaced:
            self._end_wait(other, streamadmission.Cause.QUEUE_FULL)
        decision = ruling.decision
        if decision.verdict is streamadmission.Verdict.START:
            self._metrics.record_admission_wait(stream.route, 0.0)
            return None
        if decision.verdict is streamadmission.Verdict.REFUSE:
            after_s = service.gate.compute_retry_after(stream, decision.expected_s, now)
            return self._refuse(service, decision.cause, after_s, now)
        return await self._wait(ticket, now)

    def leave(self, ticket: Ticket | None) -> None:
        """Ends a request, whether it has started, waits or was refused."""
        if ticket is None:
            return
        ticket.service.gate.leave(ticket.stream, clock.read_clock())
        self._start_waiting()

    def refuse_waiting(self) -> None:
        """Refuses all waiting requests, because this host stops."""
        for ticket in tuple(self._tickets.values()):
            self._end_wait(ticket.stream, streamadmission.Cause.STOPPING)

    async def _wait(self, ticket: Ticket, now: float) -> forwardrules.GivenUp | None:
        stream = ticket.stream
        ticket.future = asyncio.get_running_loop().create_future()
        self._tickets[stream.number] = ticket
        self._log(ticket.service, now)
        self._start_waiting()
        try:
            async with asyncio.timeout(max(0.0, stream.waits_until - now)):
                refusal = await ticket.future
        except TimeoutError:
            refusal = None
        finally:
            self._tickets.pop(stream.number, None)
        now = clock.read_clock()
        if refusal is not None:
            return refusal
        self._metrics.record_admission_wait(stream.route, now - stream.queued_at)
        if stream.is_open:
            return None
        return self._refuse_stream(
            ticket.service, stream, streamadmission.Cause.WAITED, now
        )

    def _end_wait(
        self, stream: streamwaiting.Stream, cause: streamadmission.Cause
    ) -> None:
        """Starts a waiting request, or refuses it for a cause."""
        ticket = self._tickets.get(stream.number)
        if ticket is None or ticket.future is None or ticket.future.done():
            # Its caller has left at the same moment; ``leave`` follows.
            return
        refusal = None
        if cause is not streamadmission.Cause.NONE:
            now = clock.read_clock()
            refusal = self._refuse_stream(ticket.service, stream, cause, now)
        ticket.future.set_result(refusal)

    def _refuse_stream(
        self,
        service: _Service,
        stream: streamwaiting.Stream,
        cause: streamadmission.Cause,
        now: float,
    ) -> forwardrules.GivenUp:
        after_s = service.gate.refuse(stream, self._make_view(service, now), now)
        if cause is streamadmission.Cause.STOPPING:
            after_s = STOPPING_RETRY_AFTER_S
        return self._refuse(service, cause, after_s, now)

    def _refuse(
        self,
        service: _Service,
        cause: streamadmission.Cause,
        after_s: float,
        now: float,
    ) -> forwardrules.GivenUp:
        service.refused += 1
        self._metrics.count_admission_refusal(cause.value)
        self._log(service, now)
        return _make_refusal(cause, after_s)

    def explain(
        self,
        service: str,
        route: routetables.Route,
        priority: int,
        organisation: str,
        size: controlcalls.RequestSize | None,
    ) -> routeexplanation.AdmissionExplanation | None:
        """Explains what admission would decide about a request that arrives now.

        The decision is made on copies of all that it changes, apart from the random
        state.

        Args:
            service: The request's service.
            route: Its route.
            priority: Its priority.
            organisation: The organisation that sends it.
            size: Its stated size.

        Returns:
            ``None`` if requests of its service are not subject to admission.
        """
        if service not in self._services:
            return None
        now, copied = clock.read_clock(), copy.copy(self)
        copied._choice = self._choice.copy()
        copied._numbers = itertools.count(1)
        copied._services = {service: dataclasses.replace(self._services[service])}
        times = now, now + route.timeout_s
        ticket = copied.make_ticket(
            service, route, priority, organisation, size, times, 0, str
        )
        if ticket is None:
            return None
        view = copied._make_view(ticket.service, now)
        explained = ticket.service.gate.explain(ticket.stream, view, now)
        refused = None
        if explained.decision.verdict is streamadmission.Verdict.REFUSE:
            cause = explained.decision.cause
            refused = _make_refusal(cause, explained.retry_after_s)
        age_s = copied._choice.get_counts_age_s(ticket.service.servers, now)
        return routeexplanation.explain_admission(explained, priority, refused, age_s)

    # News that may let waiting requests start.

    def note_gap(self, service: str, gap_s: float, now: float, events: int = 1) -> None:
        """Records a pause between writes of whole events.

        Args:
            service: The service of the stream.
            gap_s: The pause, in seconds.
            now: Current time in seconds.
            events: The events that were written after it.
        """
        found = self._services.get(service)
        if found is not None:
            found.gate.meter.note_gap(gap_s, events, now)
            self._schedule(EVENTS_INTERVAL_S)

    def note_news(self) -> None:
        """Reacts to a load update of another host."""
        if self._tickets:
            self._schedule(EVENTS_INTERVAL_S)

    def note_pull(
        self, passes: tuple[roster.ServicePass, ...], interval_s: float, now: float
    ) -> None:
        """Applies a leader's answer to a pull.

        Args:
            passes: The median pass times over all hosts.
            interval_s: The time until the next pull, in seconds.
            now: Current time in seconds.
        """
        self._pull_interval_s = interval_s
        for item in passes:
            found = self._services.get(item.service)
            if found is not None:
                found.gate.meter.set_shared(item.pass_s, now)
        for service in self._services.values():
            service.others_at = -math.inf
        self._start_waiting()

    def list_passes(self, now: float) -> tuple[roster.ServicePass, ...]:
        """Lists this host's measured pass times, for the next pull."""
        reports = (
            service.gate.meter.make_report(name, now)
            for name, service in self._services.items()
        )
        return tuple(report for report in reports if report is not None)

    def is_crowded(self, now: float) -> bool:
        """Tells whether the other hosts need to know about each change here."""
        if self._tickets:
            self._crowded_until = now + CROWDED_HOLD_S
        for service in self._services.values():
            view = self._make_view(service, now)
            service.gate.observe(view, now)
            load, capacity = service.gate.measure(view, now)
            if load.open_streams > CROWDED_FRACTION * capacity.limit:
                self._crowded_until = now + CROWDED_HOLD_S
        return now < self._crowded_until

    def close(self) -> None:
        """Stops looking at waiting requests."""
        if self._timer is not None:
            self._timer.cancel()

    def _start_waiting(self) -> None:
        """Starts the waiting requests for which there is capacity now."""
        if not self._tickets:
            return
        now = clock.read_clock()
        renews_at = math.inf
        for service in self._services.values():
            view = self._make_view(service, now)
            for stream in service.gate.start_waiting(view, now):
                if stream.is_open:
                    self._end_wait(stream, streamadmission.Cause.NONE)
                elif now >= stream.waits_until:
                    self._end_wait(stream, streamadmission.Cause.WAITED)
                else:
                    self._end_wait(stream, streamadmission.Cause.SLOW_RANKS)
            if len(service.gate.waiting):
                renews_at = min(renews_at, service.gate.get_next_renewal())
        if math.isfinite(renews_at):
            self._schedule(max(EVENTS_INTERVAL_S, renews_at - now))

    def _schedule(self, after_s: float) -> None:
        """Looks at the waiting requests after a time, or earlier if that is due."""
        if not self._tickets:
            return
        loop = asyncio.get_running_loop()
        due_at = loop.time() + after_s
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._start_waiting()

    # What this host knows.

    def _make_view(self, service: _Service, now: float) -> streamgate.GateView:
        self._update_servers(service, now)
        if now - service.others_at >= VIEW_AGE_MAX_S:
            # Expired updates must not count as complete after the leader is lost.
            name = self._part.name
            hosts = [host for host in self._view.hosts if host != name]
            self._choice.update_hosts(hosts, now)
            service.others = self._choice.count_elsewhere(service.servers, now)
            service.others_at = now
        interval_s = self._pull_interval_s
        if self._choice.has_recent_news:
            interval_s = loadsharing.compute_interval(len(self._view.hosts) - 1)
        return streamgate.GateView(
            len(service.servers),
            service.slots,
            service.others,
            self._get_fraction(now),
            interval_s,
        )

    def _get_fraction(self, now: float) -> float:
        """Returns this host's fraction of the capacity; 0 if it may use none.

        A new leader grants no fractions until the leases of its predecessor have ended.
        After a restart of all hosts nobody holds one for that long, while the pulls
        show that the capacity is free.
        """
        fraction = self._share.get_fraction(now)
        if fraction <= 0.0 and now - self._view.refreshed_at <= PULL_AGE_MAX_S:
            return UNLEASED_FRACTION / max(1, len(self._view.hosts))
        return fraction

    def _update_servers(self, service: _Service, now: float) -> None:
        if now - service.servers_at < SERVERS_AGE_MAX_S:
            return
        listed = [
            server
            for server in self._view.list_usable(now)
            if server.service == service.name
        ]
        declared = self._declared.get(service.name)
        slots = declared.slots if declared else 0
        service.servers = tuple(server.name for server in listed)
        # A service stays under admission while many of its servers are lost.
        needed = self._part.admission.from_servers
        service.is_large = len(listed) >= (needed / 2 if service.is_large else needed)
        service.slots = sum(server.slots or slots for server in listed)
        service.servers_at = now

    # Logs and metrics.

    def _log(self, service: _Service, now: float) -> None:
        """Logs what the decisions depend on, at most once per second."""
        if now - service.logged_at < LOG_INTERVAL_S:
            return
        load, capacity = service.gate.measure(self._make_view(service, now), now)
        loguru.logger.info(
            "stream admission",
            service=service.name,
            pass_ms=round(1000 * capacity.pass_s),
            measured=load.pass_s is not None,
            capacity=round(capacity.limit, 1),
            open=round(load.open_streams, 1),
            own=service.gate.own,
            waiting=len(service.gate.waiting),
            refused=service.refused,
            cause=capacity.cause.value,
        )
        service.logged_at, service.refused = now, 0

    def _register_gauges(self) -> None:
        """Exports the state of admission; sums over services, but for the pass."""
        self._metrics.register_gauge(
            "lycheegauge_admission_waiting",
            "Requests that wait for capacity at this host",
            lambda: len(self._tickets),
        )
        self._metrics.register_gauge(
            "lycheegauge_admission_streams",
            "Streams that this host has open",
            lambda: sum(item.gate.own for item in self._services.values()),
        )
        self._metrics.register_gauge(
            "lycheegauge_admission_capacity",
            "Streams that all hosts together may have open",
            lambda: sum(item[1].limit for item in self._measure_all()),
        )
        self._metrics.register_gauge(
            "lycheegauge_admission_pass",
            "Longest pass time of a service, in seconds",
            lambda: max((item[1].pass_s for item in self._measure_all()), default=0.0),
        )

    def _measure_all(
        self,
    ) -> list[tuple[streamcapacity.GroupLoad, streamcapacity.StreamCapacity]]:
        now = clock.read_clock()
        return [
            service.gate.measure(self._make_view(service, now), now)
            for service in self._services.values()
        ]


def _make_refusal(cause: streamadmission.Cause, after_s: float) -> forwardrules.GivenUp:
    reason = REASONS.get(cause, work.RefusalReason.OVERLOADED)
    detail = f"stream admission: {cause.value}"
    return forwardrules.give_up(reason, work.RunState.NOT_RUN, after_s, detail)


def make_rules(
    table: routetables.RouteTable,
    declared: routetables.ServiceDeclaration,
    part: settings.StreamAdmissionSettings,
) -> streamgate.GateRules | None:
    """Returns the rules of a service; ``None`` if it is not a described model."""
    profile = declared.engine
    if profile is None or not profile.step_s or not profile.steps_per_event:
        return None
    routes = [
        route
        for route in table.routes
        if any(item.service == declared.name for item in route.services)
    ]
    targets = [
        route.target_gap_s
        for route in routes
        if route.repetition.is_stream and route.target_gap_s > 0.0
    ]
    if not targets:
        return None
    priorities = {route.priority for route in routes}
    for holder in table.key_holders:
        if holder.priority is not None:
            priorities.add(holder.priority)
    return streamgate.GateRules(
        profile,
        min(targets),
        tuple(sorted(priorities)),
        part.queue_length,
        part.queue_wait_max_s,
    )
