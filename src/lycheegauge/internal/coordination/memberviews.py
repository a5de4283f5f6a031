"""An entry host's view of the members, from log replicas and from agents' pulls.

The directory of each log replica is kept separately. A member is known while any
of them lists it. So a replica that was restarted, or that some entry hosts can't
reach, does not remove a member that another replica still lists.
"""

import collections.abc
import dataclasses

from lycheegauge.internal.coordination import members
from lycheegauge.internal.protocol import freshness

DIRECT_LEASE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryPosition:
    """How far an entry host has followed a log replica's directory."""

    source: str = ""
    cursor: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcements:
    """What an entry host announces of the agents that pull from it."""

    attested: tuple[freshness.BackendServer, ...]
    alive: tuple[str, ...]
    applied: tuple[freshness.AppliedRevision, ...]


@dataclasses.dataclass(slots=True)
class _Source:
    last_seen_at: float
    cursor: int = 0
    records: dict[str, members.Member] = dataclasses.field(default_factory=dict)
    reported_revisions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _DirectMember:
    member: freshness.BackendServer
    revision: int
    lease_ends_at: float


class MemberView:
    """All members that an entry host knows."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._source_of_peer: dict[str, str] = {}
        self._direct_members: dict[str, _DirectMember] = {}
        # Each agent's pull needs the entry hosts. Without this cache, merging the
        # records of all sources per pull would use a full core at 1,100 agents.
        self._merged: dict[str, members.Member] | None = None

    def get_position(self, peer: str) -> DirectoryPosition:
        """Returns the source and cursor to send in a pull to a log replica."""
        name = self._source_of_peer.get(peer, "")
        source = self._sources.get(name)
        return DirectoryPosition(name, source.cursor) if source else DirectoryPosition()

    def apply_update(
        self,
        peer: str,
        requested_position: DirectoryPosition,
        source: str,
        update: freshness.DirectoryUpdate,
        now: float,
    ) -> bool:
        """Applies a log replica's response.

        Args:
            peer: The log replica's address or name.
            requested_position: The position sent in the request. A delta that does
                not start at this view's current position is ignored: the response
                was late or a duplicate, and the next pull requests the changes
                again.
            source: The directory's source, from the response.
            update: The changes since that position.
            now: The time, in seconds.

        Returns:
            Whether the update was applied.
        """
        held = self._sources.get(source)
        if held is None or not self._is_applicable(
            held, requested_position, source, update
        ):
            if not update.whole or held is not None:
                return False
            held = self._sources[source] = _Source(now)
        if update.whole:
            held.records.clear()
        for key in update.removed:
            held.records.pop(key, None)
        changed: tuple[members.Member, ...]
        changed = (*update.backend_servers, *update.entry_hosts)
        held.records.update((members.make_key(member), member) for member in changed)
        if update.whole or update.removed or changed:
            self._merged = None
        held.cursor = update.cursor
        held.last_seen_at = now
        self._source_of_peer[peer] = source
        self._expire_sources(now)
        return True

    def handle_agent_pull(self, pull: freshness.AgentPull, now: float) -> None:
        """Records the announcement of an agent that pulls from this entry host."""
        offered = pull.backend_server
        key = members.make_key(offered)
        held = self._direct_members.get(key)
        if held is None and len(self._direct_members) >= members.MAX_MEMBERS:
            return
        member = members.merge_members(held.member if held else None, offered)
        if member.incarnation != offered.incarnation:
            return
        revision = pull.revision
        if held is not None and held.member.incarnation == member.incarnation:
            revision = max(revision, held.revision)
        if held is None or held.member != member:
            self._merged = None
        self._direct_members[key] = _DirectMember(
            member, revision, now + DIRECT_LEASE_S
        )

    def make_announcements(self, peer: str, now: float) -> Announcements:
        """Lists what to announce to a log replica.

        An agent's full record is sent only until the replica's directory, as known
        to this view, holds that record or a later one. After that only its name is
        sent, to show that it is alive. So the next pull makes up for a lost one.
        """
        source = self._find_source(peer) or _Source(now)
        self._expire_direct(source, now)
        attested = []
        alive = []
        applied = []
        for key, direct in self._direct_members.items():
            shown = source.records.get(key)
            own: members.Member = direct.member
            if members.merge_members(shown, own) == shown:
                alive.append(direct.member.name)
            else:
                attested.append(direct.member)
            if source.reported_revisions.get(key) != direct.revision:
                zone = direct.member.availability_zone
                applied.append(freshness.AppliedRevision(key, zone, direct.revision))
        return Announcements(tuple(attested), tuple(alive), tuple(applied))

    def confirm_announcements(self, peer: str, announcements: Announcements) -> None:
        """Records that a log replica responded to a pull with these announcements."""
        source = self._find_source(peer)
        if source is None:
            return
        for applied in announcements.applied:
            source.reported_revisions[applied.process] = applied.revision
        for key in source.reported_revisions.keys() - self._direct_members.keys():
            del source.reported_revisions[key]

    def count_sources(self) -> int:
        """Counts the directories that this view is merged from."""
        return len(self._sources)

    def list_backend_servers(self) -> tuple[freshness.BackendServer, ...]:
        """Lists the known backend servers, each by its latest record."""
        return tuple(
            member
            for member in self._merge().values()
            if isinstance(member, freshness.BackendServer)
        )

    def list_entry_hosts(self) -> tuple[freshness.EntryHost, ...]:
        """Lists the known entry hosts, each by its latest record."""
        return tuple(
            member
            for member in self._merge().values()
            if isinstance(member, freshness.EntryHost)
        )

    def _merge(self) -> dict[str, members.Member]:
        if self._merged is not None:
            return self._merged
        merged: dict[str, members.Member] = {}
        member: members.Member
        for member in self._list_records():
            key = members.make_key(member)
            merged[key] = members.merge_members(merged.get(key), member)
        self._merged = merged
        return merged

    def _find_source(self, peer: str) -> _Source | None:
        return self._sources.get(self._source_of_peer.get(peer, ""))

    def _list_records(self) -> collections.abc.Iterator[members.Member]:
        for source in self._sources.values():
            yield from source.records.values()
        for direct in self._direct_members.values():
            yield direct.member

    def _is_applicable(
        self,
        held: _Source,
        requested_position: DirectoryPosition,
        source: str,
        update: freshness.DirectoryUpdate,
    ) -> bool:
        if update.whole:
            return update.cursor >= held.cursor
        return requested_position == DirectoryPosition(source, held.cursor)

    def _expire_sources(self, now: float) -> None:
        for name, source in list(self._sources.items()):
            if now - source.last_seen_at > members.SOURCE_LEASE_S:
                del self._sources[name]
                self._merged = None
        for peer, name in list(self._source_of_peer.items()):
            if name not in self._sources:
                del self._source_of_peer[peer]

    def _expire_direct(self, source: _Source, now: float) -> None:
        for key, direct in list(self._direct_members.items()):
            shown = source.records.get(key)
            # An agent that restarted and now pulls from other entry hosts is
            # announced by those. Announcing it as alive here would extend the lease
            # of a start that this host has no pull from.
            superseded = shown and shown.incarnation > direct.member.incarnation
            if superseded or direct.lease_ends_at <= now:
                del self._direct_members[key]
                self._merged = None
