"""What agents and entry hosts do about requests that crash backend servers.

The log counts crashes for everyone, but a report needs time to get there.
Until then the agent itself remembers what crashed its server, and an entry
host holds a request back until the crash that ended its attempt is recorded.
"""

import collections.abc
import dataclasses
import enum

import xxhash

from lycheegauge.internal.protocol import freshness

MAX_PENDING_REPORTS = 16
MAX_BLAMED = 1_024
FAILURE_WINDOW_S = 5.0
NEWS_KEPT_S = 10.0
SUSPECT_SERVERS = 2


class Verdict(enum.StrEnum):
    """How a fingerprint may run."""

    FREE = "free"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """The fingerprints that were running when a boot of a server ended."""

    backend_server: str
    boot_id: str
    fingerprints: tuple[str, ...]


def choose_suspect_servers(
    service: str, backend_servers: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Chooses the few backend servers on which a service's suspects run.

    All entry hosts choose the same ones, so that the neighbours of a crash,
    who are suspects as well, do not empty the whole fleet to run alone.
    """
    ranked = sorted(
        backend_servers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{service}/{name}".encode()),
    )
    return tuple(ranked[:SUSPECT_SERVERS])


class QuarantineView:
    """The quarantine as one process last saw it; older versions are ignored.

    News of a crash comes from the entry host that saw it, before the log has
    it, and counts until the log's own view covers it or it has grown old.
    """

    def __init__(self) -> None:
        self.version = -1
        self._refused: frozenset[str] = frozenset()
        self._suspects: dict[str, str] = {}
        self._news: dict[str, _News] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no fingerprint is suspected or refused."""
        return not (self._refused or self._suspects or self._news)

    def take(self, quarantine: freshness.Quarantine) -> None:
        """Takes a version of the quarantine unless a newer one is known."""
        if quarantine.version <= self.version:
            return
        self.version = quarantine.version
        self._refused = frozenset(quarantine.refused)
        boots = quarantine.suspect_boots
        self._suspects = dict(zip(quarantine.suspects, boots, strict=False))

    def take_news(self, report: CrashReport, now: float) -> None:
        """Takes a crash that another entry host saw just now."""
        self.expire_news(now)
        boot = freshness.make_boot_key(report.backend_server, report.boot_id)
        for fingerprint in report.fingerprints:
            held = self._news.pop(fingerprint, _News(frozenset(), now))
            self._news[fingerprint] = _News(held.boots | {boot}, now)
        while len(self._news) > MAX_BLAMED:
            del self._news[next(iter(self._news))]

    def expire_news(self, now: float) -> None:
        """Drops old news; call it from time to time, for a cleared suspect."""
        for fingerprint, news in list(self._news.items()):
            if now - news.heard_at > NEWS_KEPT_S:
                del self._news[fingerprint]

    def judge(self, fingerprint: str) -> Verdict:
        """Tells how a fingerprint may run, by the log and the news together."""
        if fingerprint in self._refused:
            return Verdict.REFUSED
        news = self._news.get(fingerprint)
        boots = set(news.boots) if news else set()
        if fingerprint in self._suspects:
            boots.add(self._suspects[fingerprint])
        if len(boots) >= 2:
            return Verdict.REFUSED
        return Verdict.SUSPECT if boots else Verdict.FREE


@dataclasses.dataclass(frozen=True, slots=True)
class _News:
    """The boots that a fingerprint ended, as heard, and when last."""

    boots: frozenset[str]
    heard_at: float


class CrashReporter:
    """Keeps an agent's crash reports until the log has them.

    Args:
        backend_server: The name of the agent's backend server.
    """

    def __init__(self, backend_server: str) -> None:
        self._backend_server = backend_server
        self._pending: dict[str, CrashReport] = {}
        self._failures: list[tuple[float, str]] = []
        self._blamed: dict[str, set[str]] = {}

    @property
    def pending(self) -> tuple[CrashReport, ...]:
        """Reports to send, again and again until acknowledged."""
        return tuple(self._pending.values())

    def acknowledge(self, boot_id: str) -> None:
        """Drops a report that the log has committed."""
        self._pending.pop(boot_id, None)

    def take_failure(self, fingerprint: str, now: float) -> None:
        """Remembers a run that failed or was cancelled: a crash may follow."""
        recent = [item for item in self._failures if now - item[0] <= FAILURE_WINDOW_S]
        self._failures = [*recent, (now, fingerprint)][-MAX_BLAMED:]

    def take_crash(
        self, boot_id: str, running: tuple[str, ...], now: float
    ) -> CrashReport | None:
        """Blames the running and just failed fingerprints for a crash."""
        recent = [
            name for failed, name in self._failures if now - failed <= FAILURE_WINDOW_S
        ]
        self._failures = []
        fingerprints = tuple(sorted({*running, *recent}))
        if not fingerprints:
            return None
        report = CrashReport(self._backend_server, boot_id, fingerprints)
        self._pending[boot_id] = report
        while len(self._pending) > MAX_PENDING_REPORTS:
            del self._pending[next(iter(self._pending))]
        self._blame(report)
        return report

    def judge(self, fingerprint: str) -> Verdict:
        """Tells how a fingerprint may run by this server's own crashes."""
        crashes = len(self._blamed.get(fingerprint, ()))
        if crashes >= 2:
            return Verdict.REFUSED
        return Verdict.SUSPECT if crashes else Verdict.FREE

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that ran alone to its end."""
        self._blamed.pop(fingerprint, None)

    def _blame(self, report: CrashReport) -> None:
        for fingerprint in report.fingerprints:
            boots = self._blamed.pop(fingerprint, set())
            self._blamed[fingerprint] = {*boots, report.boot_id}
        while len(self._blamed) > MAX_BLAMED:
            del self._blamed[next(iter(self._blamed))]
