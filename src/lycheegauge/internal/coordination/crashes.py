"""Tracks requests that crash backend servers, at agents and entry hosts.

The replicated log counts crashes for the whole system, but committing a report
takes time. Until then the agent tracks which fingerprints crashed its server,
and an entry host delays the retry of a request until the crash that ended its
attempt is recorded.
"""

import collections.abc
import dataclasses
import enum

import xxhash

from lycheegauge.internal.protocol import freshness

MAX_PENDING_REPORTS = 16
MAX_TRACKED_FINGERPRINTS = 1_024
FAILURE_WINDOW_S = 5.0
NOTIFICATION_TTL_S = 10.0
SUSPECT_SERVERS = 2


class Verdict(enum.StrEnum):
    """How a fingerprint may run."""

    FREE = "free"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """The fingerprints that were running when a server crashed.

    ``boot_id`` identifies the server process that ended. ``alone`` are the fingerprints
    that ran there as the only suspect.
    """

    backend_server: str
    boot_id: str
    fingerprints: tuple[str, ...]
    alone: tuple[str, ...] = ()


def choose_suspect_servers(
    service: str, backend_servers: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Chooses the few backend servers on which a service's suspects run.

    All entry hosts choose the same servers. Every request that ran alongside a
    crashing one is a suspect too and runs alone; without this limit such
    requests would drain servers across the whole fleet.
    """
    ranked = sorted(
        backend_servers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{service}/{name}".encode()),
    )
    return tuple(ranked[:SUSPECT_SERVERS])


@dataclasses.dataclass(frozen=True, slots=True)
class _CountedCrashes:
    """The boots whose crashes count against a fingerprint.

    ``alone`` are those at which it was the only suspect.
    """

    boots: frozenset[str] = frozenset()
    alone: frozenset[str] = frozenset()

    @property
    def verdict(self) -> Verdict:
        if freshness.is_refused(len(self.boots), len(self.alone)):
            return Verdict.REFUSED
        return Verdict.SUSPECT if self.boots else Verdict.FREE


@dataclasses.dataclass(frozen=True, slots=True)
class _CrashNotification:
    """Crashes of a fingerprint, and when the last one was reported."""

    crashes: _CountedCrashes
    reported_at: float


_NO_CRASHES = _CountedCrashes()


class QuarantineView:
    """The latest quarantine known to a process; older versions are ignored.

    Crash notifications come directly from the entry host that saw the crash,
    before the log has committed it. Each counts until the log's own quarantine
    covers it or it expires.
    """

    def __init__(self) -> None:
        self.version = -1
        self._refused: frozenset[str] = frozenset()
        self._counted: dict[str, _CountedCrashes] = {}
        self._cleared: dict[str, frozenset[str]] = {}
        self._notifications: dict[str, _CrashNotification] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no fingerprint is suspected or refused."""
        return not (self._refused or self._counted or self._notifications)

    def update(self, quarantine: freshness.Quarantine) -> None:
        """Replaces the quarantine unless a newer version is already known."""
        if quarantine.version <= self.version:
            return
        self.version = quarantine.version
        boots = quarantine.suspect_boots
        known, self._counted = (
            self._counted,
            {
                fingerprint: _CountedCrashes(frozenset((boot,)))
                for fingerprint, boot in zip(quarantine.suspects, boots, strict=False)
            },
        )
        for item in quarantine.repeated_crashes:
            self._counted[item.fingerprint] = _CountedCrashes(
                frozenset(item.boots), frozenset(item.alone)
            )
        for fingerprint, crashes in known.items():
            left = self._counted.get(fingerprint, _NO_CRASHES).boots
            self._forget_notified(fingerprint, crashes.boots - left)
        # A leader of an older version names no crashes of what it refuses.
        self._refused = frozenset(quarantine.refused) - self._counted.keys()
        self._cleared = {
            fingerprint: boots
            for fingerprint, boots in self._cleared.items()
            if fingerprint in self._counted
        }

    def add_notification(self, report: CrashReport, now: float) -> None:
        """Adds a crash that an entry host has just seen."""
        self.expire_notifications(now)
        boot = freshness.make_boot_key(report.backend_server, report.boot_id)
        for fingerprint in report.fingerprints:
            previous = self._notifications.pop(
                fingerprint, _CrashNotification(_NO_CRASHES, now)
            )
            alone = {boot} if fingerprint in report.alone else set()
            self._notifications[fingerprint] = _CrashNotification(
                _CountedCrashes(
                    previous.crashes.boots | {boot}, previous.crashes.alone | alone
                ),
                now,
            )
        while len(self._notifications) > MAX_TRACKED_FINGERPRINTS:
            del self._notifications[next(iter(self._notifications))]

    def expire_notifications(self, now: float) -> None:
        """Drops expired notifications.

        Call it periodically, so that a cleared suspect becomes free again.
        """
        for fingerprint, notification in list(self._notifications.items()):
            if now - notification.reported_at > NOTIFICATION_TTL_S:
                del self._notifications[fingerprint]

    def clear(self, fingerprint: str, boots: frozenset[str]) -> None:
        """Clears a fingerprint of crashes here, until the log has done so."""
        self._forget_notified(fingerprint, boots)
        self._cleared[fingerprint] = self._cleared.pop(fingerprint, frozenset()) | boots
        while len(self._cleared) > MAX_TRACKED_FINGERPRINTS:
            del self._cleared[next(iter(self._cleared))]

    def list_boots(self, fingerprint: str) -> frozenset[str]:
        """Lists the boots whose crashes count against a fingerprint."""
        return self._get_crashes(fingerprint).boots

    def list_boots_alone(self, fingerprint: str) -> frozenset[str]:
        """Lists those of them at which it was the only suspect."""
        return self._get_crashes(fingerprint).alone

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Returns how a fingerprint may run, from the log and the notifications."""
        if fingerprint in self._refused:
            return Verdict.REFUSED
        return self._get_crashes(fingerprint).verdict

    def _forget_notified(self, fingerprint: str, boots: frozenset[str]) -> None:
        """Drops what was notified of crashes that the fingerprint is cleared of."""
        notification = self._notifications.get(fingerprint)
        if notification is None or not boots:
            return
        left = _CountedCrashes(
            notification.crashes.boots - boots, notification.crashes.alone - boots
        )
        if left.boots:
            self._notifications[fingerprint] = _CrashNotification(
                left, notification.reported_at
            )
        else:
            del self._notifications[fingerprint]

    def _get_crashes(self, fingerprint: str) -> _CountedCrashes:
        known = self._counted.get(fingerprint, _NO_CRASHES)
        notification = self._notifications.get(fingerprint)
        if notification is not None:
            known = _CountedCrashes(
                known.boots | notification.crashes.boots,
                known.alone | notification.crashes.alone,
            )
        cleared = self._cleared.get(fingerprint)
        if cleared is None:
            return known
        return _CountedCrashes(known.boots - cleared, known.alone - cleared)


class CrashReporter:
    """Stores an agent's crash reports until the log has committed them.

    Args:
        backend_server: The name of the agent's backend server.
    """

    def __init__(self, backend_server: str) -> None:
        self._backend_server = backend_server
        self._pending: dict[str, CrashReport] = {}
        self._failures: list[tuple[float, str]] = []
        self._crashes: dict[str, _CountedCrashes] = {}

    @property
    def pending(self) -> tuple[CrashReport, ...]:
        """Reports to send repeatedly until they are acknowledged."""
        return tuple(self._pending.values())

    def acknowledge(self, boot_id: str) -> None:
        """Removes a report that the log has committed."""
        self._pending.pop(boot_id, None)

    def record_failure(self, fingerprint: str, now: float) -> None:
        """Records a run that failed or was cancelled, in case a crash follows."""
        recent = [item for item in self._failures if now - item[0] <= FAILURE_WINDOW_S]
        self._failures = [*recent, (now, fingerprint)][-MAX_TRACKED_FINGERPRINTS:]

    def record_crash(
        self,
        boot_id: str,
        running: tuple[str, ...],
        now: float,
        alone: tuple[str, ...] = (),
    ) -> CrashReport | None:
        """Records a crash, attributed to running and recently failed fingerprints.

        Args:
            boot_id: The boot that crashed.
            running: The fingerprints that ran there.
            now: Monotonic seconds.
            alone: The fingerprint that ran there as a suspect, without others.
        """
        recent = [
            name for failed, name in self._failures if now - failed <= FAILURE_WINDOW_S
        ]
        self._failures = []
        fingerprints = tuple(sorted({*running, *recent}))
        if not fingerprints:
            return None
        report = CrashReport(self._backend_server, boot_id, fingerprints, alone)
        self._pending[boot_id] = report
        while len(self._pending) > MAX_PENDING_REPORTS:
            del self._pending[next(iter(self._pending))]
        self._count_crash(report)
        return report

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Returns how a fingerprint may run, from this server's own crashes."""
        return self._crashes.get(fingerprint, _NO_CRASHES).verdict

    def list_boots(self, fingerprint: str) -> frozenset[str]:
        """Lists the boots of this server whose crashes count against a fingerprint."""
        return self._crashes.get(fingerprint, _NO_CRASHES).boots

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that ran alone to completion."""
        self._crashes.pop(fingerprint, None)

    def _count_crash(self, report: CrashReport) -> None:
        boot = freshness.make_boot_key(report.backend_server, report.boot_id)
        for fingerprint in report.fingerprints:
            known = self._crashes.pop(fingerprint, _NO_CRASHES)
            alone = {boot} if fingerprint in report.alone else set()
            self._crashes[fingerprint] = _CountedCrashes(
                known.boots | {boot}, known.alone | alone
            )
        while len(self._crashes) > MAX_TRACKED_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
