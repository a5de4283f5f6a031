"""Configuration followers at entry hosts and agents.

A follower holds a freshness lease together with the configuration that the lease
is valid for, and updates both in one step per response: a proof is accepted only
with the configuration that it refers to.
"""

import collections.abc
import dataclasses

import xxhash

from lycheegauge.internal.coordination import deltas, leases, memberviews
from lycheegauge.internal.protocol import configurations, freshness, intents, work

ENTRY_HOSTS_PER_AGENT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPull:
    """A pull that was sent and has no response yet."""

    peer: str
    request_number: int
    requested_position: memberviews.DirectoryPosition
    announcements: memberviews.Announcements
    message: freshness.EntryPull


class EntryFollower:
    """The configuration, members and lease of an entry host.

    Args:
        entry_host: The record that this entry host announces of itself.
    """

    def __init__(self, entry_host: freshness.EntryHost) -> None:
        self.entry_host = entry_host
        self._current = deltas.digest_configuration(intents.Configuration())
        self.lease = leases.FreshnessLease()
        self.members = memberviews.MemberView()
        self._needs_full_configuration = False

    @property
    def configuration(self) -> intents.Configuration:
        """The configuration that was applied last."""
        return self._current.configuration

    def begin_pull(self, peer: str, now: float) -> PendingPull:
        """Creates the next pull to a log replica; it must be sent after this call.

        Pull from all log replicas in turn: the directory of each holds only what
        was announced to that replica.
        """
        request_number = self.lease.begin_request(now)
        requested_position = self.members.get_position(peer)
        announcements = self.members.make_announcements(peer, now)
        message = freshness.EntryPull(
            self.entry_host,
            deltas.REQUEST_FULL_CONFIGURATION
            if self._needs_full_configuration
            else self.configuration.revision,
            requested_position.source,
            requested_position.cursor,
            announcements.attested,
            announcements.alive,
            announcements.applied,
        )
        return PendingPull(
            peer, request_number, requested_position, announcements, message
        )

    def apply_reply(
        self, pull: PendingPull, reply: freshness.EntryPullReply, now: float
    ) -> bool:
        """Applies a response; returns whether the configuration changed."""
        applied = self.members.apply_update(
            pull.peer,
            pull.requested_position,
            reply.directory_source,
            reply.directory,
            now,
        )
        if applied:
            self.members.confirm_announcements(pull.peer, pull.announcements)
        revision = self.configuration.revision
        if reply.configuration is not None and (
            reply.configuration.revision > revision
        ):
            self._current = deltas.digest_configuration(reply.configuration)
            self._needs_full_configuration = False
        elif reply.configuration_delta is not None:
            self._apply_delta(reply.configuration_delta)
        if reply.proof is not None:
            self._accept_proof(pull.request_number, reply.proof, now)
        return self.configuration.revision > revision

    def handle_agent_pull(
        self, pull: freshness.AgentPull, now: float
    ) -> freshness.AgentPullReply:
        """Records an agent's announcement and returns the response to its pull."""
        self.members.handle_agent_pull(pull, now)
        server = pull.backend_server
        intent = self.configuration.intent
        chosen = choose_entry_hosts(server.name, self.members.list_entry_hosts())
        if compute_hosts_digest(chosen) == pull.entry_hosts_digest:
            chosen = ()
        return freshness.AgentPullReply(
            self.lease.make_proof(now),
            server.availability_zone in intent.availability_zones_out,
            server.name in intent.backend_servers_out,
            chosen,
        )

    def _apply_delta(self, delta: configurations.ConfigurationDelta) -> None:
        # A delta for another base is a late or duplicate response. One whose
        # result does not match its digest shows that the two copies differ.
        if delta.base_revision != self.configuration.revision:
            return
        applied = deltas.apply_delta(self._current, delta)
        self._needs_full_configuration = applied is None
        self._current = applied or self._current

    def _accept_proof(
        self, request_number: int, proof: freshness.Proof, now: float
    ) -> None:
        if proof.revision <= self.configuration.revision:
            self.lease.apply_response(request_number, proof, now)


def choose_configuration_update(
    requester_revision: int, current: intents.Configuration, log: deltas.DeltaLog
) -> tuple[intents.Configuration | None, configurations.ConfigurationDelta | None]:
    """Chooses what a log replica sends: a full configuration, a delta or neither."""
    if requester_revision >= current.revision:
        return None, None
    delta = log.find(requester_revision)
    if delta is None or delta.revision != current.revision:
        return current, None
    return None, delta


class AgentFollower:
    """Whether an agent may start work, according to its entry hosts."""

    def __init__(self) -> None:
        self.lease = leases.FreshnessLease()
        self.availability_zone_out = False
        self.backend_server_out = False
        self.entry_hosts: tuple[freshness.EntryHost, ...] = ()

    def begin_pull(
        self,
        backend_server: freshness.BackendServer,
        load: work.LoadReport,
        now: float,
    ) -> tuple[int, freshness.AgentPull]:
        """Creates the next pull to an entry host; it must be sent after this call."""
        request_number = self.lease.begin_request(now)
        digest = compute_hosts_digest(self.entry_hosts)
        message = freshness.AgentPull(
            backend_server, self.lease.revision, load, entry_hosts_digest=digest
        )
        return request_number, message

    def apply_reply(
        self, request_number: int, reply: freshness.AgentPullReply, now: float
    ) -> None:
        """Applies the response to the pull with this number."""
        if not self.lease.apply_response(request_number, reply.proof, now):
            return
        self.availability_zone_out = reply.availability_zone_out
        self.backend_server_out = reply.backend_server_out
        self.entry_hosts = reply.entry_hosts or self.entry_hosts

    def allows_start(self, now: float) -> bool:
        """Returns whether new work may start at ``now``."""
        out = self.availability_zone_out or self.backend_server_out
        return not out and self.lease.allows_start(now)


def choose_entry_hosts(
    agent: str, entry_hosts: collections.abc.Iterable[freshness.EntryHost]
) -> tuple[freshness.EntryHost, ...]:
    """Chooses the entry hosts that an agent pulls from.

    All entry hosts make the same choice by rendezvous hashing (Thaler and
    Ravishankar, 1998): each of N hosts serves about ``ENTRY_HOSTS_PER_AGENT`` / N
    of the agents, and a host that joins or leaves reassigns only its own agents.
    Hosts in different availability zones are preferred.
    """
    ranked = sorted(
        (host for host in entry_hosts if not host.leaving),
        key=lambda host: xxhash.xxh64_intdigest(f"{agent} {host.name}".encode()),
    )
    seen: set[str] = set()
    first: list[freshness.EntryHost] = []
    rest: list[freshness.EntryHost] = []
    for host in ranked:
        (rest if host.availability_zone in seen else first).append(host)
        seen.add(host.availability_zone)
    return tuple([*first, *rest][:ENTRY_HOSTS_PER_AGENT])


def compute_hosts_digest(entry_hosts: tuple[freshness.EntryHost, ...]) -> int:
    """Returns a digest of entry hosts, below 2**63; 0 for none."""
    if not entry_hosts:
        return 0
    return xxhash.xxh64_intdigest(repr(entry_hosts).encode()) >> 1 or 1
