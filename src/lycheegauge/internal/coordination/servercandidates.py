"""Collects what an entry host knows of the servers of a service."""

import collections.abc
import copy
import dataclasses
import random

from lycheegauge.internal.coordination import (
    coldratelimit,
    enginememory,
    hostshares,
    requestwork,
    rosterview,
    serverchoice,
    serverevidence,
    serverselection,
    serverstatements,
)
from lycheegauge.internal.protocol import roster, routetables

CONNECTIONS_FRACTION = 0.8
"""Fraction of a server's connection limit that all entry hosts together use. The
server resets connections beyond its limit, and probes and other callers need some."""


FRESH_NEWS_HOSTS = 18
"""Other entry hosts up to which updates of loads are fresh enough to compare many
servers. The interval of the updates grows with the hosts. In a lock-step group of 72
ranks, 44 hosts that compared five servers made 0.011 of the streams wait while other
ranks had room, and 0.004 with three."""


@dataclasses.dataclass(frozen=True, slots=True)
class Preferences:
    """How the servers of a service are compared.

    Attributes:
        availability_zone: The host's own zone.
        zone_tolerance: The fraction of slots by which a server there may be busier than
            the best one elsewhere; ``None`` ignores zones.
        weighs_work: Whether their memory and expected work count.
        from_servers: The number of servers of a service from which this is used.
    """

    availability_zone: str = ""
    zone_tolerance: float | None = None
    weighs_work: bool = False
    from_servers: int = 0


class _RequestEstimate:
    """What a request brings to any server of its service."""

    def __init__(
        self, model: requestwork.WorkModel, size: requestwork.ExpectedSize
    ) -> None:
        self._tokens = size.tokens
        self._memory_tokens = model.profile.memory_tokens
        self.can_hold = not self._memory_tokens or size.tokens <= self._memory_tokens
        self.work_s = model.estimate_work(size)
        self.usual_s = model.estimate_usual_work()

    def fits(self, held: float) -> bool:
        """Tells whether the request fits beside the tokens that a server holds."""
        return enginememory.has_room(held, self._tokens, self._memory_tokens)


class ServerCandidates:
    """Joins a host's views of the servers.

    Args:
        view: The roster and the routing state.
        choice: Open requests and recent failures.
        statements: What the servers' answers stated.
        cold_limiter: This host's part of the rates of cold servers.
        share: This host's fraction of all limits.
        count_connections: Returns, for a server's incarnation, how many connections
            this host has open, or -1 if one of them is idle.
        preferences: How servers are compared.
        evidence: The servers that are out because they fail requests.
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        choice: serverchoice.ServerChoice,
        statements: serverstatements.ServerStatements,
        cold_limiter: coldratelimit.ColdRateLimiter,
        share: hostshares.HostShareHolder,
        count_connections: collections.abc.Callable[[str], int],
        preferences: Preferences,
        evidence: serverevidence.ServerEvidence,
    ) -> None:
        self._view = view
        self._choice = choice
        self._statements = statements
        self._cold_limiter = cold_limiter
        self._share = share
        self._count_connections = count_connections
        self._preferences = preferences
        self._evidence = evidence

    def collect(
        self,
        declared: routetables.ServiceDeclaration,
        tried: collections.abc.Container[str],
        now: float,
        size: requestwork.ExpectedSize | None = None,
        may_probe: bool = False,
    ) -> list[serverselection.Candidate]:
        """Lists the servers of a service that the routing state allows.

        Args:
            declared: The service.
            tried: Names of the servers that the request was sent to.
            now: Current time in seconds.
            size: The expected size of the request; ``None`` if it is not known.
            may_probe: Whether the request may probe a server that is out.
        """
        fraction = self._share.get_fraction(now)
        interval = self._share.get_interval(now)
        connections_max = self._limit_connections(declared, fraction)
        servers = [
            server
            for server in self._view.list_usable(now)
            if server.service == declared.name
        ]
        model = requestwork.make_model(declared)
        estimate = None
        if model is not None and size is not None and self.weighs_work(len(servers)):
            estimate = _RequestEstimate(model, size)
        news_age_s = self._choice.news.get_oldest_age_s(now)
        listing_age_s = now - self._view.refreshed_at
        candidates = []
        out = self._evidence.list_out(servers, now)
        for server in servers:
            key = server.incarnation
            is_out = bool(out) and serverevidence.get_key(server) in out
            held = self._choice.estimate_tokens(server, now) if estimate else 0.0
            is_cold = self.is_cold(server, declared, now)
            candidates.append(
                serverselection.Candidate(
                    server,
                    self._choice.estimate(server, declared.slots, now),
                    is_leaving=self._statements.is_leaving(key),
                    wait_s=self._statements.get_wait_s(key, now),
                    may_send=self._statements.may_send(key, now),
                    has_connection=self._count_connections(key) < connections_max,
                    is_within_limit=self._statements.is_within_limit(
                        key, interval, now
                    ),
                    limit_interval_s=self._statements.get_limit_interval_s(key),
                    is_tried=server.name in tried,
                    is_cold=is_cold,
                    allows_cold=not is_cold
                    or self._cold_limiter.may_take(
                        server.name, declared.cold_rate, fraction, now
                    ),
                    has_failed=self._choice.has_failed(server.name, now),
                    is_in_zone=server.availability_zone
                    == self._preferences.availability_zone,
                    can_hold=estimate is None or estimate.can_hold,
                    has_room=estimate is None or estimate.fits(held),
                    work_s=self._weigh(server, estimate, now) if estimate else 0.0,
                    held_tokens=held,
                    counts_age_s=news_age_s
                    if self._choice.has_recent_news
                    else self._choice.get_pull_age_s(server.name, now),
                    stated_age_s=self._choice.get_stated_age_s(server.name, now),
                    listing_age_s=listing_age_s,
                    is_out=is_out,
                    is_probe_due=is_out
                    and may_probe
                    and server.name not in tried
                    and self._evidence.is_probe_due(
                        serverevidence.get_key(server), now
                    ),
                )
            )
        return candidates

    def select(
        self,
        declared: routetables.ServiceDeclaration,
        tried: collections.abc.Container[str],
        size: requestwork.ExpectedSize | None,
        random_source: random.Random,
        now: float,
        may_probe: bool = False,
    ) -> serverselection.Selection:
        """Decides where a request may be sent; it takes nothing.

        Args:
            declared: The service.
            tried: Names of the servers that the request was sent to.
            size: The expected size of the request; ``None`` if it is not known.
            random_source: Draws the servers to compare.
            now: Current time in seconds.
            may_probe: Whether the request may probe a server that is out.
        """
        candidates = self.collect(declared, tried, now, size, may_probe)
        return serverselection.select_server(
            candidates,
            self._has_fresh_news(len(candidates)),
            random_source,
            self.get_zone_tolerance(len(candidates)),
        )

    def _has_fresh_news(self, servers: int) -> bool:
        """Tells whether more servers can be compared, see ``FRESH_NEWS_HOSTS``."""
        choice = self._choice
        is_fresh = len(choice.news.list_hosts()) <= FRESH_NEWS_HOSTS
        return choice.has_recent_news and (is_fresh or not self.weighs_work(servers))

    def copy(self) -> "ServerCandidates":
        """Returns a copy that changes no state, since limits refill when asked."""
        return ServerCandidates(
            self._view,
            self._choice,
            copy.deepcopy(self._statements),
            copy.deepcopy(self._cold_limiter),
            self._share,
            self._count_connections,
            self._preferences,
            copy.deepcopy(self._evidence),
        )

    def weighs_work(self, servers: int) -> bool:
        """Tells whether the servers of a service are compared by their work."""
        preferences = self._preferences
        return preferences.weighs_work and servers >= preferences.from_servers

    def get_zone_tolerance(self, servers: int) -> float | None:
        """Returns the zone tolerance for a service with so many servers."""
        if servers < self._preferences.from_servers:
            return None
        return self._preferences.zone_tolerance

    def _weigh(
        self, server: roster.ServerListing, estimate: "_RequestEstimate", now: float
    ) -> float:
        """Returns the expected work at a server with the request, in seconds.

        The request's own work counts, so that a slow server without requests is not
        taken for a free one.
        """
        open_s = self._choice.estimate_work(server, estimate.usual_s, now)
        return (open_s + estimate.work_s) * (server.pace or 1.0)

    def is_cold(
        self,
        server: roster.ServerListing,
        declared: routetables.ServiceDeclaration,
        now: float,
    ) -> bool:
        """Tells whether a server is cold and its service limits the rate of such."""
        return declared.cold_rate > 0 and now < self._view.get_cold_until(server.name)

    def _limit_connections(
        self, declared: routetables.ServiceDeclaration, fraction: float
    ) -> float:
        """Returns below how many connections this host may open another one."""
        if not declared.connections_max:
            return float("inf")
        share = int(declared.connections_max * CONNECTIONS_FRACTION * fraction)
        return max(1, share)
