"""A host's copy of the roster, and its lease on the routing state.

Entry hosts decide by it; log hosts that follow keep one to answer callers and
to start from when they come to lead.
"""

import dataclasses
import math

from lycheegauge.internal.coordination import leases
from lycheegauge.internal.protocol import roster

MIRROR_GRACE_S = 3.0
"""A new leader's book fills within two announcement intervals; until then
servers that only the last leader named are still used, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenPull:
    """A pull that was sent; kept until its answer comes."""

    question: int
    message: roster.RosterPull


class RosterView:
    """Follows a leader's book and the routing state.

    Args:
        lease_s: How long a proof lasts, in seconds.
    """

    def __init__(self, lease_s: float = leases.LEASE_S) -> None:
        self.lease = leases.FreshnessLease(lease_s)
        self.servers: dict[str, roster.ServerListing] = {}
        self.hosts: dict[str, roster.HostListing] = {}
        self.table: roster.RouteDocument | None = None
        self.restrictions = roster.Restrictions(0)
        self.refreshed_at = -math.inf
        self._source = ""
        self._cursor = 0
        self._cold_until: dict[str, float] = {}
        self._doubtful_until: dict[str, float] = {}

    def begin_pull(
        self,
        host: roster.HostListing | None,
        now: float,
        open_requests: tuple[roster.OpenRequests, ...] = (),
    ) -> OpenPull:
        """Makes the next pull; send it after this call."""
        message = roster.RosterPull(
            host,
            self.table.version if self.table else 0,
            self.restrictions.revision,
            self._source,
            self._cursor,
            open_requests,
        )
        return OpenPull(self.lease.begin_question(now), message)

    def take_reply(
        self, pull: OpenPull, reply: roster.RosterReply, now: float
    ) -> tuple[str, ...]:
        """Applies a leader's answer; returns the names of what changed.

        An answer without a proof comes from a host that may not lead any more
        and changes nothing.
        """
        if reply.proof is None:
            return ()
        changed = []
        if reply.table is not None and self._is_newer(reply.table):
            self.table = reply.table
            changed.append("table")
        restrictions = reply.restrictions
        if restrictions is not None and (
            restrictions.revision > self.restrictions.revision
        ):
            self.restrictions = restrictions
            changed.append("restrictions")
        if self._take_roster(reply, now):
            changed.append("roster")
        self.lease.take_answer(pull.question, reply.proof, now)
        self.refreshed_at = now
        return tuple(changed)

    def list_usable(self, now: float) -> list[roster.ServerListing]:
        """Lists the backend servers that may get new work."""
        self._drop_doubtful(now)
        departed = set(self.restrictions.departures)
        zones_out = set(self.restrictions.zones_out)
        return [
            server
            for server in self.servers.values()
            if not server.leaving
            and server.availability_zone not in zones_out
            and roster.Departure(server.name, server.born_ms) not in departed
        ]

    def get_lease_left(self, now: float) -> float:
        """Returns how long the lease lasts, in seconds; -1 when it has run out."""
        return round(max(-1.0, self.lease.ends_at - now), 3)

    def get_cold_until(self, server: str) -> float:
        """Returns when a server stops being cold; in the past if it isn't."""
        return self._cold_until.get(server, -math.inf)

    def _drop_doubtful(self, now: float) -> None:
        for name, until in list(self._doubtful_until.items()):
            if now >= until:
                del self._doubtful_until[name]
                self.servers.pop(name, None)

    def _is_newer(self, table: roster.RouteDocument) -> bool:
        return self.table is None or table.version > self.table.version

    def _take_roster(self, reply: roster.RosterReply, now: float) -> bool:
        if reply.whole:
            if reply.source != self._source:
                self._doubtful_until = dict.fromkeys(self.servers, now + MIRROR_GRACE_S)
            else:
                self.servers.clear()
            self.hosts.clear()
        elif reply.source != self._source:
            return False
        # Removals go first: a server may have left and come back in between.
        for name in reply.servers_gone:
            self.servers.pop(name, None)
        for name in reply.hosts_gone:
            self.hosts.pop(name, None)
        for server in reply.servers:
            self.servers[server.name] = server
            self._doubtful_until.pop(server.name, None)
            self._cold_until[server.name] = now + server.cold_s
        for host in reply.hosts:
            self.hosts[host.name] = host
        self._source = reply.source
        self._cursor = reply.cursor
        for name in self._cold_until.keys() - self.servers.keys():
            del self._cold_until[name]
        return bool(
            reply.whole
            or reply.servers
            or reply.servers_gone
            or reply.hosts
            or reply.hosts_gone
        )
