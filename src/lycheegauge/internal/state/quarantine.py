"""Fingerprints of requests that were running when backend servers crashed.

After one crash a fingerprint is a suspect, and its requests run alone on a server.
After crashes of two different boots it is refused everywhere. A suspect that has
run alone to completion is cleared, so that requests that only ran at the same time
as the one that caused the crash do not stay under suspicion.
"""

import dataclasses
import heapq
import typing

from lycheegauge.internal.protocol import changes, codec, freshness, ledger
from lycheegauge.internal.state import machine

CRASHES_TO_REFUSE = 2
MAX_FINGERPRINTS = 1_024
RETENTION_S = 6 * 3600.0


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The boots that crashed while one fingerprint was running, oldest first.

    Cleared boots are kept, so that a report that arrives twice does not make a
    cleared fingerprint a suspect again.
    """

    boot_ids: list[str]
    cleared: int
    last_crash_s: float

    @property
    def count(self) -> int:
        """The number of crashes that are not cleared."""
        return len(self.boot_ids) - self.cleared

    @property
    def refused(self) -> bool:
        """Whether the fingerprint is refused on all servers."""
        return self.count >= CRASHES_TO_REFUSE


@machine.register_part("quarantine", changes.ReportCrash, changes.ClearSuspect)
class QuarantineList:
    """Counts crashes per fingerprint, in bounded memory.

    Args:
        max_fingerprints: The maximum number of fingerprints. If there are more,
            cleared ones are evicted first, then the oldest suspects, then the
            oldest refused ones.
        retention_s: How long a fingerprint is kept after its last crash, in
            log seconds.
    """

    def __init__(
        self,
        max_fingerprints: int = MAX_FINGERPRINTS,
        retention_s: float = RETENTION_S,
    ) -> None:
        self._max_fingerprints = max_fingerprints
        self._retention_s = retention_s
        self._crashes: dict[str, CrashHistory] = {}
        self._log_time_s = 0.0
        self.current = freshness.Quarantine(0)

    @property
    def log_time_s(self) -> float:
        """The time of the newest change, in log seconds."""
        return self._log_time_s

    def apply(self, change: changes.Change) -> changes.Outcome:
        """Applies one committed change."""
        known = typing.cast(changes.ReportCrash | changes.ClearSuspect, change)
        self._log_time_s = max(self._log_time_s, known.log_time_s)
        self._expire()
        if isinstance(known, changes.ReportCrash):
            self._report(known)
        else:
            self._clear(known.fingerprint)
        self._publish()
        return changes.Acknowledgement(changes.ChangeStatus.ACCEPTED)

    def dump(self) -> bytes:
        """Returns the serialized list for a snapshot."""
        records = tuple(
            ledger.CrashRecord(
                fingerprint, tuple(item.boot_ids), item.cleared, item.last_crash_s
            )
            for fingerprint, item in self._crashes.items()
        )
        state = ledger.QuarantineState(self._log_time_s, self.current.version, records)
        return codec.pack(state)

    def load(self, body: bytes) -> None:
        """Replaces the list with one that ``dump`` returned.

        Raises:
            errors.BorderError: The bytes are not a quarantine list.
        """
        state = codec.unpack(body)
        self._log_time_s = state.log_time_s
        self._crashes = {
            record.fingerprint: CrashHistory(
                list(record.boot_ids), record.cleared, record.last_crash_s
            )
            for record in state.records
        }
        self.current = self._describe(state.version)

    def _report(self, change: changes.ReportCrash) -> None:
        # Two servers may use the same boot id, so the server is part of the name.
        boot_id = freshness.make_boot_key(change.backend_server, change.boot_id)
        for fingerprint in change.fingerprints:
            item = self._crashes.pop(fingerprint, None) or CrashHistory([], 0, 0.0)
            if boot_id not in item.boot_ids:
                item.boot_ids.append(boot_id)
                item.last_crash_s = self._log_time_s
            self._crashes[fingerprint] = item
        excess = max(0, len(self._crashes) - self._max_fingerprints)
        rank = self._rank_for_eviction
        for fingerprint in heapq.nsmallest(excess, self._crashes, key=rank):
            del self._crashes[fingerprint]

    def _rank_for_eviction(self, fingerprint: str) -> tuple[int, float]:
        item = self._crashes[fingerprint]
        return min(item.count, CRASHES_TO_REFUSE), item.last_crash_s

    def _clear(self, fingerprint: str) -> None:
        item = self._crashes.get(fingerprint)
        if item is not None and not item.refused:
            item.cleared = len(item.boot_ids)

    def _expire(self) -> None:
        oldest_kept_s = self._log_time_s - self._retention_s
        expired = [
            fingerprint
            for fingerprint, item in self._crashes.items()
            if item.last_crash_s < oldest_kept_s
        ]
        for fingerprint in expired:
            del self._crashes[fingerprint]

    def _publish(self) -> None:
        described = self._describe(self.current.version)
        if described != self.current:
            self.current = dataclasses.replace(
                described, version=self.current.version + 1
            )

    def _describe(self, version: int) -> freshness.Quarantine:
        suspected = {
            fingerprint: item
            for fingerprint, item in sorted(self._crashes.items())
            if item.count
        }
        refused = tuple(name for name, item in suspected.items() if item.refused)
        suspects = tuple(name for name, item in suspected.items() if not item.refused)
        boots = tuple(self._crashes[name].boot_ids[-1] for name in suspects)
        return freshness.Quarantine(version, refused, suspects, boots)
