"""A host's copy of the roster, and its lease on the routing state.

Entry hosts route by it. Log hosts that are followers keep a copy to answer callers
and as the initial state if they become leader.
"""

import dataclasses
import math

from lycheegauge.internal.coordination import departures, leases
from lycheegauge.internal.protocol import addresses, roster

UNCONFIRMED_GRACE_S = 3.0
"""How long servers that only the previous leader listed are still used, in seconds.
A new leader's registry is complete within two announcement intervals."""


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPull:
    """A pull that was sent and has no response yet."""

    request_number: int
    message: roster.RosterPull


class RosterView:
    """Follows a leader's registry and the routing state.

    Args:
        lease_s: How long a proof is valid, in seconds.
    """

    def __init__(self, lease_s: float = leases.LEASE_S) -> None:
        self.lease = leases.FreshnessLease(lease_s)
        self.servers: dict[str, roster.ServerListing] = {}
        self.hosts: dict[str, roster.HostListing] = {}
        self.table: roster.RouteDocument | None = None
        self.restrictions = roster.Restrictions(0)
        self.refreshed_at = -math.inf
        self._departures = departures.Departures(are_first_recent=False)
        self._source = ""
        self._cursor = 0
        self._cold_until: dict[str, float] = {}
        self._unconfirmed_until: dict[str, float] = {}

    def begin_pull(
        self,
        host: roster.HostListing | None,
        now: float,
        open_requests: tuple[roster.OpenRequests, ...] = (),
    ) -> PendingPull:
        """Creates the next pull; it must be sent after this call."""
        message = roster.RosterPull(
            host,
            self.table.version if self.table else 0,
            self.restrictions.revision,
            self._source,
            self._cursor,
            open_requests,
        )
        return PendingPull(self.lease.begin_request(now), message)

    def apply_reply(
        self, pull: PendingPull, reply: roster.RosterReply, now: float
    ) -> tuple[str, ...]:
        """Applies a leader's response; returns the names of the parts that changed.

        A response without a proof comes from a host that may no longer be the
        leader, and changes nothing.
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
            self._departures.update(restrictions.departures, now)
            changed.append("restrictions")
        if self._apply_roster(reply, now):
            changed.append("roster")
        self.lease.apply_response(pull.request_number, reply.proof, now)
        self.refreshed_at = now
        return tuple(changed)

    def list_usable(self, now: float) -> list[roster.ServerListing]:
        """Lists the backend servers that may get new work."""
        self._drop_unconfirmed(now)
        zones_out = set(self.restrictions.zones_out)
        return [
            server
            for server in self.servers.values()
            if not server.leaving
            and server.availability_zone not in zones_out
            and not self._departures.has_left(server.name, server.born_ms, now)
        ]

    def get_lease_left(self, now: float) -> float:
        """Returns the lease's remaining time, in seconds; -1 if it has expired."""
        return round(max(-1.0, self.lease.ends_at - now), 3)

    def get_cold_until(self, server: str) -> float:
        """Returns when a server stops being cold; in the past if it is not cold."""
        return self._cold_until.get(server, -math.inf)

    def _drop_unconfirmed(self, now: float) -> None:
        for name, until in list(self._unconfirmed_until.items()):
            if now >= until:
                del self._unconfirmed_until[name]
                self.servers.pop(name, None)

    def _is_newer(self, table: roster.RouteDocument) -> bool:
        return self.table is None or table.version > self.table.version

    def _apply_roster(self, reply: roster.RosterReply, now: float) -> bool:
        if reply.whole:
            if reply.source != self._source:
                self._unconfirmed_until = dict.fromkeys(
                    self.servers, now + UNCONFIRMED_GRACE_S
                )
            else:
                self.servers.clear()
            self.hosts.clear()
        elif reply.source != self._source:
            return False
        # Removals are applied first: a server may have left and rejoined since.
        for name in reply.servers_gone:
            self.servers.pop(name, None)
        for name in reply.hosts_gone:
            self.hosts.pop(name, None)
        for server in reply.servers:
            if not addresses.is_valid_address(server.address):
                # From a log host of an older version, which checked less.
                self.servers.pop(server.name, None)
                continue
            self.servers[server.name] = server
            self._unconfirmed_until.pop(server.name, None)
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
