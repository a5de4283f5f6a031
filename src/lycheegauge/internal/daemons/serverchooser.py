"""Chooses the servers of requests, or refuses requests that no server may get."""

import random
import typing

from lycheegauge import metrics
from lycheegauge.internal.coordination import (
    choicecounts,
    coldratelimit,
    declaredservices,
    forwardrules,
    refusals,
    requestwork,
    rosterview,
    servercandidates,
    serverchoice,
    serverevidence,
    serverselection,
    serverstatements,
    waitforecast,
)
from lycheegauge.internal.protocol import roster, routetables, work
from lycheegauge.internal.transport import clock


class ServerChooser:
    """Chooses servers and takes what a choice costs.

    Args:
        view: The roster.
        services: The declared services.
        candidates: What this host knows of the servers.
        choice: The open requests of the servers.
        statements: What the servers' answers stated.
        cold_limiter: This host's part of the rates of cold servers.
        evidence: The servers that are out because they fail requests.
        random_source: Draws the servers to compare.
        choice_metrics: Counts the chosen servers; ``None`` counts none.
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        services: declaredservices.DeclaredServices,
        candidates: servercandidates.ServerCandidates,
        choice: serverchoice.ServerChoice,
        statements: serverstatements.ServerStatements,
        cold_limiter: coldratelimit.ColdRateLimiter,
        evidence: serverevidence.ServerEvidence,
        random_source: random.Random,
        choice_metrics: metrics.Metrics | None,
    ) -> None:
        self._view = view
        self._services = services
        self._candidates = candidates
        self._choice = choice
        self._statements = statements
        self._cold_limiter = cold_limiter
        self._evidence = evidence
        self._random_source = random_source
        self._metrics = choice_metrics
        self._counts = choicecounts.ChoiceCounts()
        self._forecasts: dict[str, waitforecast.WaitForecast] = {}

    def choose(
        self,
        service: str,
        tried: set[str],
        size: requestwork.ExpectedSize | None = None,
        may_probe: bool = False,
    ) -> roster.ServerListing | forwardrules.GivenUp:
        """Chooses a server for a request, or returns why there is none."""
        selection = self._candidates.select(
            self._get_declared(service),
            tried,
            size,
            self._random_source,
            clock.read_clock(),
            may_probe,
        )
        if self._metrics is not None:
            zone = self._counts.note(selection)
            if zone:
                self._metrics.count_choice(zone)
        if selection.chosen is None:
            return refusals.refuse_selection(selection, size, self._random_source)
        server = selection.chosen.server
        if selection.chosen.is_cold:
            self._cold_limiter.take(server.name)
        if selection.chosen.is_probe_due:
            self._evidence.take_probe(server, clock.read_clock())
        self._statements.take(server.incarnation)
        return server

    def list_candidates(
        self,
        service: str,
        tried: set[str],
        size: requestwork.ExpectedSize | None = None,
    ) -> list[serverselection.Candidate]:
        """Lists what this host knows of the servers of a service."""
        return self._candidates.collect(
            self._get_declared(service), tried, clock.read_clock(), size
        )

    def may_send(self, server: roster.ServerListing) -> bool:
        """Tells whether a chosen server still wants requests."""
        return self._statements.may_send(server.incarnation, clock.read_clock())

    def has_server(self, service: str) -> bool:
        """Tells whether any server of a service may receive work."""
        return any(
            server.service == service
            and not self._statements.is_leaving(server.incarnation)
            for server in self._view.list_usable(clock.read_clock())
        )

    def check_wait(
        self, route: routetables.Route, service: str, server: roster.ServerListing
    ) -> forwardrules.GivenUp | None:
        """Refuses a first attempt that would start too late; others may wait."""
        slots = self._services.count_slots(server)
        if not slots:
            return None
        busy = self._choice.estimate(server, slots, clock.read_clock())
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

    def get_forecast(self, service: str) -> waitforecast.WaitForecast:
        """Returns the forecast of a service's waiting times."""
        return self._forecasts.setdefault(service, waitforecast.WaitForecast())

    def pop_counts(self) -> dict[str, typing.Any]:
        """Returns how servers were chosen since the last call."""
        return self._counts.pop()

    def _get_declared(self, service: str) -> routetables.ServiceDeclaration:
        declared = self._services.get(service)
        assert declared is not None
        return declared
