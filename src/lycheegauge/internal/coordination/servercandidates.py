"""Collects what an entry host knows of the servers of a service."""

import collections.abc

from lycheegauge.internal.coordination import (
    coldratelimit,
    hostshares,
    rosterview,
    serverchoice,
    serverselection,
    serverstatements,
)
from lycheegauge.internal.protocol import roster, routetables

CONNECTIONS_FRACTION = 0.8
"""Fraction of a server's connection limit that all entry hosts together use. The
server resets connections beyond its limit, and probes and other callers need some."""


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
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        choice: serverchoice.ServerChoice,
        statements: serverstatements.ServerStatements,
        cold_limiter: coldratelimit.ColdRateLimiter,
        share: hostshares.HostShareHolder,
        count_connections: collections.abc.Callable[[str], int],
    ) -> None:
        self._view = view
        self._choice = choice
        self._statements = statements
        self._cold_limiter = cold_limiter
        self._share = share
        self._count_connections = count_connections

    def collect(
        self,
        declared: routetables.ServiceDeclaration,
        tried: collections.abc.Container[str],
        now: float,
    ) -> list[serverselection.Candidate]:
        """Lists the servers of a service that the routing state allows.

        Args:
            declared: The service.
            tried: Names of the servers that the request was sent to.
            now: Current time in seconds.
        """
        fraction = self._share.get_fraction(now)
        interval = self._share.get_interval(now)
        connections_max = self._limit_connections(declared, fraction)
        candidates = []
        for server in self._view.list_usable(now):
            if server.service != declared.name:
                continue
            key = server.incarnation
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
                )
            )
        return candidates

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
