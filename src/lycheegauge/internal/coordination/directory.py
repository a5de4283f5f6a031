"""The member directory: soft state, rebuilt from announcements.

There is no configured list of members. Agents announce themselves to a few entry
hosts. Entry hosts announce themselves, and the agents that announce to them, to
the log replicas, to one replica in turn with each pull. So each replica's
directory learns of all members directly and needs no replication: when a replica
is lost, the others hold the same members.

A member is kept for ``MEMBER_LEASE_S`` after its last announcement. Requesters
get the changes after their cursor. A bounded number of removals is kept as
tombstones, and a requester whose cursor is older than all of them gets the full
directory.
"""

import collections
import collections.abc
import dataclasses

from lycheegauge.internal.coordination import members, memberviews
from lycheegauge.internal.protocol import freshness

EXPIRY_INTERVAL_S = 0.25
MAX_TOMBSTONES = 1024
APPLIED_RETENTION_S = 3600.0
# A replica that restarts has to send its full directory, 184 KB at 1,520 members,
# to every requester; sending it to all at once would saturate its link.
FULL_UPDATE_BURST = 32
FULL_UPDATES_PER_S = 32.0

MemberView = memberviews.MemberView


@dataclasses.dataclass(slots=True)
class _Entry:
    member: members.Member
    cursor: int
    lease_ends_at: float


@dataclasses.dataclass(slots=True)
class _AppliedEntry:
    applied: freshness.AppliedRevision
    last_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessRevision:
    """The revision that a process applied, and when it last announced itself."""

    applied: freshness.AppliedRevision
    last_seen_at: float


class Directory:
    """The members that a log replica knows.

    Args:
        source: Identifies this start of the replica's process uniquely; cursors
            of another source are not valid here.
        max_tombstones: The number of removals to keep.
    """

    def __init__(self, source: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.max_tombstones = max_tombstones
        self.source = source
        self.cursor = 0
        # Ordered by change, oldest first, so that a delta is read from the end.
        self._entries: collections.OrderedDict[str, _Entry] = collections.OrderedDict()
        self._tombstones: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._evicted_cursor = 0
        self._applied: dict[str, _AppliedEntry] = {}
        self._last_expiry_at = float("-inf")
        self._full_update_tokens = float(FULL_UPDATE_BURST)
        self._tokens_updated_at = float("-inf")

    def handle_pull(
        self, pull: freshness.EntryPull, now: float
    ) -> freshness.DirectoryUpdate:
        """Records an entry host's announcements; returns the changes it lacks.

        Full directories are rate limited: a requester that needs one may get an
        empty update and has to pull again.
        """
        self._expire(now)
        if self._record_member(pull.entry_host, now):
            self._record_announcements(pull, now)
        known = pull.directory_source == self.source
        if known and self._covers(pull.directory_cursor):
            return self.list_changes(pull.directory_cursor)
        if self._take_full_update_token(now):
            return self._list_all()
        return _make_update(pull.directory_cursor, False, [], [])

    def list_changes(self, cursor: int) -> freshness.DirectoryUpdate:
        """Returns the changes after ``cursor``, or everything if it is unknown."""
        if not self._covers(cursor):
            return self._list_all()
        changed = []
        for entry in reversed(self._entries.values()):
            if entry.cursor <= cursor:
                break
            changed.append(entry.member)
        removed = []
        for key, removed_at in reversed(self._tombstones.items()):
            if removed_at <= cursor:
                break
            removed.append(key)
        return _make_update(self.cursor, False, changed, removed)

    def list_backend_servers(self) -> tuple[freshness.BackendServer, ...]:
        """Lists the backend servers with a valid lease, including leaving ones."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if isinstance(entry.member, freshness.BackendServer)
        )

    def list_entry_hosts(self) -> tuple[freshness.EntryHost, ...]:
        """Lists the entry hosts with a valid lease, including leaving ones."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if isinstance(entry.member, freshness.EntryHost)
        )

    def list_applied(self) -> tuple[ProcessRevision, ...]:
        """Lists the revision that each process applied, including inactive ones."""
        return tuple(
            ProcessRevision(item.applied, item.last_seen_at)
            for _, item in sorted(self._applied.items())
        )

    def _record_announcements(self, pull: freshness.EntryPull, now: float) -> None:
        for backend_server in pull.attested:
            self._record_member(backend_server, now)
        for name in pull.alive:
            self._renew(members.BACKEND_SERVER_PREFIX + name, now)
        self._record_applied(pull, now)

    def _record_member(self, offered: members.Member, now: float) -> bool:
        """Stores a record; returns whether it is of the member's latest start."""
        key = members.make_key(offered)
        entry = self._entries.get(key)
        if entry is None and len(self._entries) >= members.MAX_MEMBERS:
            return False
        held = entry.member if entry else None
        member = members.merge_members(held, offered)
        if entry is not None and member.incarnation != offered.incarnation:
            return False
        if entry is not None and member == held:
            entry.lease_ends_at = now + members.MEMBER_LEASE_S
            return True
        if held is not None and held.incarnation != member.incarnation:
            self._applied.pop(key, None)
        self.cursor += 1
        self._tombstones.pop(key, None)
        self._entries[key] = _Entry(member, self.cursor, now + members.MEMBER_LEASE_S)
        self._entries.move_to_end(key)
        return True

    def _renew(self, key: str, now: float) -> None:
        entry = self._entries.get(key)
        if entry is not None:
            entry.lease_ends_at = now + members.MEMBER_LEASE_S

    def _record_applied(self, pull: freshness.EntryPull, now: float) -> None:
        host = pull.entry_host
        own = freshness.AppliedRevision(
            members.make_key(host), host.availability_zone, pull.revision
        )
        for applied in (own, *pull.applied):
            held = self._applied.get(applied.process)
            if held is None and len(self._applied) >= members.MAX_MEMBERS:
                continue
            if held is not None and held.applied.revision > applied.revision:
                applied = held.applied
            self._applied[applied.process] = _AppliedEntry(applied, now)
        for name in pull.alive:
            held = self._applied.get(members.BACKEND_SERVER_PREFIX + name)
            if held is not None:
                held.last_seen_at = now

    def _expire(self, now: float) -> None:
        if now - self._last_expiry_at < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        for key, entry in list(self._entries.items()):
            if entry.lease_ends_at <= now:
                self._remove(key)
        for process, item in list(self._applied.items()):
            if now - item.last_seen_at > APPLIED_RETENTION_S:
                del self._applied[process]

    def _remove(self, key: str) -> None:
        del self._entries[key]
        self.cursor += 1
        self._tombstones[key] = self.cursor
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > self.max_tombstones:
            _, self._evicted_cursor = self._tombstones.popitem(last=False)

    def _covers(self, cursor: int) -> bool:
        return self._evicted_cursor <= cursor <= self.cursor

    def _take_full_update_token(self, now: float) -> bool:
        elapsed_s = now - self._tokens_updated_at
        self._tokens_updated_at = now
        self._full_update_tokens = min(
            FULL_UPDATE_BURST, self._full_update_tokens + elapsed_s * FULL_UPDATES_PER_S
        )
        if self._full_update_tokens < 1:
            return False
        self._full_update_tokens -= 1
        return True

    def _list_all(self) -> freshness.DirectoryUpdate:
        whole = [entry.member for entry in self._entries.values()]
        return _make_update(self.cursor, True, whole, [])


def _make_update(
    cursor: int,
    whole: bool,
    changed: collections.abc.Iterable[members.Member],
    removed: collections.abc.Iterable[str],
) -> freshness.DirectoryUpdate:
    backend_servers = []
    entry_hosts = []
    for member in changed:
        if isinstance(member, freshness.BackendServer):
            backend_servers.append(member)
        else:
            entry_hosts.append(member)
    return freshness.DirectoryUpdate(
        cursor, whole, tuple(backend_servers), tuple(entry_hosts), tuple(removed)
    )
