"""Detects requests that crash backend servers, for hosts that forward directly.

A forwarding host sees an attempt break off. If the server then refuses connections,
or restarts at the same address some seconds later, it has crashed. A cut or reset
connection is followed by neither, and a planned replacement breaks off no attempt.
Several requests may have been running on the server: the one that caused the crash is
identified by its next crash, and the others are cleared when they are answered.
"""

import collections
import dataclasses

from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import changes, roster

EVIDENCE_KEPT_S = 20.0
"""How long a broken attempt is kept as evidence, in seconds. The restart of a server,
the formation of its group and its first announcement take several seconds."""

MAX_PENDING_REPORTS = 64
"""Maximum number of reports not yet committed; the oldest are dropped first."""

MAX_SOUND = 8192
"""Maximum number of answered requests stored, by digest; about a megabyte."""

MAX_PENDING_CLEARANCES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    """A request whose attempt broke off, and the server instance it ran on."""

    server: roster.ServerListing
    fingerprint: str
    broken_at: float


class CrashWatch:
    """Correlates broken attempts with restarts, and tracks the quarantine."""

    def __init__(self) -> None:
        self._sound: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.quarantine = crashes.QuarantineView()
        self._broken: dict[str, collections.deque[_BrokenAttempt]] = {}
        self._pending: dict[str, changes.ReportCrash] = {}
        self._cleared: dict[str, None] = {}

    @property
    def knows_crashes(self) -> bool:
        """Whether any request is suspected; if not, no digest is needed."""
        return not self.quarantine.is_empty

    def judge(self, fingerprint: str) -> crashes.Verdict:
        """Returns whether a request may run.

        A request that was answered here does not crash servers, even if other hosts
        suspect it: popular requests come from many callers, so some are usually
        running when a server crashes.
        """
        if fingerprint in self._sound:
            return crashes.Verdict.FREE
        return self.quarantine.judge(fingerprint)

    def note_broken(
        self, server: roster.ServerListing, fingerprint: str, now: float
    ) -> None:
        """Records that a request that may have run broke off at a server."""
        if fingerprint in self._sound:
            return
        held = self._broken.setdefault(server.address, collections.deque())
        held.append(_BrokenAttempt(server, fingerprint, now))
        while held and held[0].broken_at < now - EVIDENCE_KEPT_S:
            held.popleft()

    def note_answered(self, fingerprint: str) -> None:
        """Records a request that was completely answered; clears it if suspected."""
        verdict = self.quarantine.judge(fingerprint)
        self._sound[fingerprint] = None
        self._sound.move_to_end(fingerprint)
        if len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)
        if verdict is crashes.Verdict.SUSPECT:
            self._cleared[fingerprint] = None
            while len(self._cleared) > MAX_PENDING_CLEARANCES:
                del self._cleared[next(iter(self._cleared))]

    def take_refused_connection(
        self, server: roster.ServerListing, now: float
    ) -> changes.ReportCrash | None:
        """Attributes a crash to the attempts that broke off at a closed port."""
        held = self._broken.pop(server.address, None)
        return self._blame(list(held), now) if held else None

    def take_servers(
        self, servers: collections.abc.Iterable[roster.ServerListing], now: float
    ) -> tuple[changes.ReportCrash, ...]:
        """Detects restarts among the currently known servers.

        Returns:
            The reports of the crashes found.
        """
        if not self._broken:
            return ()
        found = []
        for server in servers:
            held = self._broken.get(server.address, ())
            ended = [item for item in held if item.server.born_ms < server.born_ms]
            if ended:
                del self._broken[server.address]
                found.append(self._blame(ended, now))
        self._forget(now)
        return tuple(found)

    def _blame(self, ended: list[_BrokenAttempt], now: float) -> changes.ReportCrash:
        newest = ended[-1].server
        fingerprints = tuple(sorted({item.fingerprint for item in ended}))
        boot_id = str(newest.born_ms)
        report = changes.ReportCrash(newest.name, boot_id, fingerprints, 0.0)
        self._pending[newest.incarnation] = report
        while len(self._pending) > MAX_PENDING_REPORTS:
            del self._pending[next(iter(self._pending))]
        # Takes effect on this host before the log has committed it.
        self.quarantine.take_news(
            crashes.CrashReport(newest.name, boot_id, fingerprints), now
        )
        return report

    def _forget(self, now: float) -> None:
        for address, held in list(self._broken.items()):
            while held and held[0].broken_at < now - EVIDENCE_KEPT_S:
                held.popleft()
            if not held:
                del self._broken[address]

    # Exchange with the control service.

    def complete_pull(self, pull: roster.RosterPull) -> roster.RosterPull:
        """Adds unacknowledged reports; they are resent until the log has them."""
        return dataclasses.replace(
            pull,
            crashes=tuple(self._pending.values()),
            cleared=tuple(self._cleared),
            quarantine_version=self.quarantine.version,
        )

    def take_reply(
        self, pull: roster.RosterPull, reply: roster.RosterReply, now: float
    ) -> None:
        """Applies the leader's quarantine; drops the reports that it has recorded."""
        if reply.quarantine is not None:
            self.quarantine.take(reply.quarantine)
        self.quarantine.expire_news(now)
        if not reply.has_recorded:
            return
        for report in pull.crashes:
            for key, held in list(self._pending.items()):
                if held == report:
                    del self._pending[key]
        for fingerprint in pull.cleared:
            self._cleared.pop(fingerprint, None)
