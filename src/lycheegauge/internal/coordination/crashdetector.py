"""Detects requests that crash backend servers, for hosts that forward directly.

A forwarding host sees an attempt break off. If the server then refuses connections,
or restarts at the same address some seconds later, it has crashed. A cut or reset
connection is followed by neither, and a planned replacement breaks off no attempt.
Several requests may have been running on the server. One that was there at several
crashes runs on only while no other suspect of its service runs: if its server crashes
again, it is refused, and if it is answered, it is cleared.
"""

import collections
import dataclasses

from lycheegauge.internal.coordination import crashes, partdetector, retrials
from lycheegauge.internal.protocol import changes, roster

EVIDENCE_KEPT_S = 20.0
"""How long a broken attempt is kept as evidence, in seconds. The restart of a server,
the formation of its group and its first announcement take several seconds."""

BREAK_SPREAD_S = 1.0
"""Time within which a crash breaks off all attempts at a server, in seconds. Earlier
ones broke off for another reason, such as a crash of another rank of its group."""

RESTART_MIN_S = 0.5
"""Shortest time in which a crashed server can respond again, in seconds."""

MAX_PENDING_REPORTS = 64
"""Maximum number of reports not yet committed; the oldest are dropped first."""

MAX_PENDING_CLEARANCES = 256

CRASHES_TO_RUN_ALONE = 2
"""Crashes after which a request runs only while no other suspect of its service does.
With one crash alone the requests that merely ran there would wait for each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    """A request whose attempt broke off, and the server instance it ran on.

    ``suspect`` has the parts of its prompt, if they may have crashed the server, and
    ``is_alone`` tells whether the request was the only suspect of its service.
    """

    server: roster.ServerListing
    fingerprint: str
    broken_at: float
    suspect: partdetector.Suspect | None
    is_alone: bool


class CrashDetector:
    """Correlates broken attempts with restarts, and tracks the quarantine."""

    def __init__(self) -> None:
        self.quarantine = crashes.QuarantineView()
        self.parts = partdetector.PartDetector()
        self._broken_attempts: dict[str, collections.deque[_BrokenAttempt]] = {}
        self._pending_reports: dict[str, changes.ReportCrash] = {}
        self._pending_clearances: dict[str, changes.ClearSuspect] = {}
        self._retrials = retrials.Retrials()

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected; if not, no digest is needed."""
        return not self.quarantine.is_empty

    def get_verdict(self, fingerprint: str) -> crashes.Verdict:
        """Returns whether a request may run."""
        return self.quarantine.get_verdict(fingerprint)

    def must_run_alone(self, fingerprint: str) -> bool:
        """Tells whether a suspected request must be the only suspect of its service."""
        if self.get_verdict(fingerprint) is crashes.Verdict.REFUSED:
            return True
        boots = self.quarantine.list_boots(fingerprint)
        return len(boots) >= CRASHES_TO_RUN_ALONE

    def list_crashes(self, fingerprint: str) -> frozenset[str]:
        """Lists the crashes that an answer to a request sent now would clear it of."""
        return self.quarantine.list_boots(fingerprint)

    def take_retrial(self, fingerprint: str, now: float) -> bool:
        """Tells whether a refused request may run alone once more, and counts it."""
        crashes_alone = len(self.quarantine.list_boots_alone(fingerprint))
        return self._retrials.take(fingerprint, crashes_alone, now)

    def record_broken_attempt(
        self,
        server: roster.ServerListing,
        fingerprint: str,
        now: float,
        suspect: partdetector.Suspect | None = None,
        is_alone: bool = False,
    ) -> None:
        """Records that a request that may have run broke off at a server."""
        evidence = self._broken_attempts.setdefault(server.address, collections.deque())
        evidence.append(_BrokenAttempt(server, fingerprint, now, suspect, is_alone))
        while evidence and evidence[0].broken_at < now - EVIDENCE_KEPT_S:
            evidence.popleft()

    def record_alive(
        self, server: roster.ServerListing, sent_at: float, now: float
    ) -> None:
        """Drops what broke off shortly before a request that the server responds to.

        A server that crashed takes seconds to return.
        """
        evidence = self._broken_attempts.get(server.address)
        if evidence is None or now - sent_at > RESTART_MIN_S:
            return
        kept = [
            item
            for item in evidence
            if item.broken_at >= sent_at or item.broken_at < now - RESTART_MIN_S
        ]
        if kept:
            self._broken_attempts[server.address] = collections.deque(kept)
        else:
            del self._broken_attempts[server.address]

    def record_answered(self, fingerprint: str, known_crashes: frozenset[str]) -> None:
        """Records a request that was completely answered; clears it of crashes.

        Args:
            fingerprint: The digest of the request.
            known_crashes: What ``list_crashes`` returned when it was sent. Servers that
                crashed later may have crashed because of it.
        """
        if not known_crashes:
            return
        self.quarantine.clear(fingerprint, known_crashes)
        pending = self._pending_clearances.pop(fingerprint, None)
        boots = known_crashes.union(pending.boots if pending else ())
        self._pending_clearances[fingerprint] = changes.ClearSuspect(
            fingerprint, 0.0, tuple(sorted(boots))
        )
        while len(self._pending_clearances) > MAX_PENDING_CLEARANCES:
            del self._pending_clearances[next(iter(self._pending_clearances))]

    def handle_refused_connection(
        self, server: roster.ServerListing, now: float
    ) -> changes.ReportCrash | None:
        """Attributes a crash to the attempts that broke off at a closed port."""
        evidence = self._broken_attempts.pop(server.address, None)
        return self._report_crash(list(evidence), now) if evidence else None

    def detect_restarts(
        self, servers: collections.abc.Iterable[roster.ServerListing], now: float
    ) -> tuple[changes.ReportCrash, ...]:
        """Detects restarts among the currently known servers.

        Returns:
            The reports of the crashes found.
        """
        if not self._broken_attempts:
            return ()
        reports = []
        for server in servers:
            evidence = self._broken_attempts.get(server.address, ())
            attempts = [
                item for item in evidence if item.server.born_ms < server.born_ms
            ]
            if attempts:
                del self._broken_attempts[server.address]
                reports.append(self._report_crash(attempts, now))
        self._expire_evidence(now)
        return tuple(reports)

    def _report_crash(
        self, attempts: list[_BrokenAttempt], now: float
    ) -> changes.ReportCrash:
        newest = attempts[-1].server
        fingerprints = tuple(sorted({item.fingerprint for item in attempts}))
        boot_id = str(newest.born_ms)
        alone = tuple(sorted({item.fingerprint for item in attempts if item.is_alone}))
        report = changes.ReportCrash(newest.name, boot_id, fingerprints, 0.0, alone)
        self._pending_reports[newest.incarnation] = report
        since = attempts[-1].broken_at - BREAK_SPREAD_S
        suspects = [
            item.suspect
            for item in attempts
            if item.suspect is not None and item.broken_at >= since
        ]
        if suspects:
            self.parts.report_crash(newest, suspects)
        while len(self._pending_reports) > MAX_PENDING_REPORTS:
            del self._pending_reports[next(iter(self._pending_reports))]
        # Takes effect on this host before the log has committed it.
        self.quarantine.add_notification(
            crashes.CrashReport(newest.name, boot_id, fingerprints, alone), now
        )
        return report

    def _expire_evidence(self, now: float) -> None:
        for address, evidence in list(self._broken_attempts.items()):
            while evidence and evidence[0].broken_at < now - EVIDENCE_KEPT_S:
                evidence.popleft()
            if not evidence:
                del self._broken_attempts[address]

    # Exchange with the control service.

    def attach_reports(self, pull: roster.RosterPull) -> roster.RosterPull:
        """Adds unacknowledged reports; they are resent until the log has them."""
        return dataclasses.replace(
            self.parts.attach_reports(pull),
            crashes=tuple(self._pending_reports.values()),
            clearances=tuple(self._pending_clearances.values()),
            quarantine_version=self.quarantine.version,
        )

    def apply_reply(
        self, pull: roster.RosterPull, reply: roster.RosterReply, now: float
    ) -> None:
        """Applies the leader's quarantine; drops the reports that it has recorded."""
        if reply.quarantine is not None:
            self.quarantine.update(reply.quarantine)
        self.quarantine.expire_notifications(now)
        self.parts.apply_reply(pull, reply)
        if not reply.has_recorded:
            return
        for report in pull.crashes:
            for key, pending in list(self._pending_reports.items()):
                if pending == report:
                    del self._pending_reports[key]
        for clearance in pull.clearances:
            if self._pending_clearances.get(clearance.fingerprint) == clearance:
                del self._pending_clearances[clearance.fingerprint]
