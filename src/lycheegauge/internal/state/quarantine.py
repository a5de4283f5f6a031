"""Fingerprints of requests that were running when backend servers crashed.

After one crash a fingerprint is a suspect. It is refused everywhere after crashes of
two different boots, if it was the only suspect at one of them: servers that crash at
once for one cause all ran the requests that are popular then. A request that is sent
after a crash and answered clears its fingerprint of that crash, also if it is refused.
"""

import dataclasses
import heapq
import typing

from lycheegauge.internal.protocol import changes, codec, freshness, ledger
from lycheegauge.internal.state import machine

MAX_FINGERPRINTS = 1_024
RETENTION_S = 6 * 3600.0


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash of a server that was running a fingerprint.

    Attributes:
        boot: The boot that crashed.
        is_cleared: Whether it no longer counts against the fingerprint. It is kept, so
            that a report that arrives twice does not count again.
        is_alone: Whether the fingerprint was the only suspect there.
    """

    boot: str
    is_cleared: bool = False
    is_alone: bool = False


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The crashes while one fingerprint was running, oldest first."""

    crashes: list[Crash]
    last_crash_s: float

    @property
    def counted(self) -> list[Crash]:
        """The crashes that count against the fingerprint."""
        return [crash for crash in self.crashes if not crash.is_cleared]

    @property
    def alone(self) -> list[Crash]:
        """Those of the counted crashes at which it was the only suspect."""
        return [crash for crash in self.counted if crash.is_alone]

    @property
    def is_refused(self) -> bool:
        """Whether the fingerprint is refused on all servers."""
        return freshness.is_refused(len(self.counted), len(self.alone))

    def add(self, boot: str, is_alone: bool) -> bool:
        """Adds a crash; returns whether it was not known before."""
        known = next((crash for crash in self.crashes if crash.boot == boot), None)
        if known is None:
            self.crashes.append(Crash(boot, False, is_alone))
            return True
        # Several hosts report one crash, and only one of them may know this.
        known.is_alone = known.is_alone or is_alone
        return False


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
            self._clear(known)
        self._publish()
        return changes.Acknowledgement(changes.ChangeStatus.ACCEPTED)

    def dump(self) -> bytes:
        """Returns the serialized list for a snapshot."""
        records = tuple(
            ledger.CrashRecord(
                fingerprint,
                tuple(crash.boot for crash in item.crashes),
                0,
                item.last_crash_s,
                tuple(crash.is_cleared for crash in item.crashes),
                tuple(crash.is_alone for crash in item.crashes),
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
            record.fingerprint: CrashHistory(_load_crashes(record), record.last_crash_s)
            for record in state.records
        }
        self.current = self._describe(state.version)

    def _report(self, change: changes.ReportCrash) -> None:
        # Two servers may use the same boot id, so the server is part of the name.
        boot_id = freshness.make_boot_key(change.backend_server, change.boot_id)
        for fingerprint in change.fingerprints:
            item = self._crashes.pop(fingerprint, None) or CrashHistory([], 0.0)
            if item.add(boot_id, fingerprint in change.alone):
                item.last_crash_s = self._log_time_s
            self._crashes[fingerprint] = item
        excess = max(0, len(self._crashes) - self._max_fingerprints)
        rank = self._rank_for_eviction
        for fingerprint in heapq.nsmallest(excess, self._crashes, key=rank):
            del self._crashes[fingerprint]

    def _rank_for_eviction(self, fingerprint: str) -> tuple[int, float]:
        item = self._crashes[fingerprint]
        counted = min(len(item.counted), freshness.CRASHES_TO_REFUSE)
        return counted + item.is_refused, item.last_crash_s

    def _clear(self, change: changes.ClearSuspect) -> None:
        item = self._crashes.get(change.fingerprint)
        if item is None:
            return
        clears_all = not change.boots and not item.is_refused
        for crash in item.crashes:
            if clears_all or crash.boot in change.boots:
                crash.is_cleared = True

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
            if item.counted
        }
        refused = tuple(name for name, item in suspected.items() if item.is_refused)
        suspects = tuple(
            name for name, item in suspected.items() if not item.is_refused
        )
        boots = tuple(suspected[name].counted[-1].boot for name in suspects)
        repeated = tuple(
            freshness.RepeatedCrash(
                name,
                tuple(crash.boot for crash in item.counted),
                tuple(crash.boot for crash in item.alone),
            )
            for name, item in suspected.items()
            if len(item.counted) > 1
        )
        return freshness.Quarantine(version, refused, suspects, boots, repeated)


def _load_crashes(record: ledger.CrashRecord) -> list[Crash]:
    """Reads the crashes of a snapshot, which may be of an older version."""
    if len(record.are_cleared) == len(record.are_alone) == len(record.boot_ids):
        crashes = zip(
            record.boot_ids, record.are_cleared, record.are_alone, strict=True
        )
        return [Crash(*item) for item in crashes]
    return [
        Crash(boot, number < record.cleared)
        for number, boot in enumerate(record.boot_ids)
    ]
