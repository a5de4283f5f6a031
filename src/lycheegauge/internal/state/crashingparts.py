"""Parts of prompts whose requests were running when backend servers crashed.

Requests share parts, so a part that crashes servers comes with requests of which no two
are alike. Each crash is evidence against the parts of the requests that the server may
have begun to answer. Once the crashes are too unlikely a coincidence, requests with the
part run one at a time, as the only suspect of their service, since several servers may
have crashed for one cause and a part may have come into use just then. A crash at which
one ran so refuses the part. An answer to a request with the part, begun after a crash,
clears it of that crash, and crashes of the service without the part speak for it.
"""

import dataclasses
import heapq
import typing

from lycheegauge.internal.protocol import changes, codec, freshness, ledger
from lycheegauge.internal.state import machine

SUSPICION_EVIDENCE = 4.0
"""Evidence from which requests with a part run alone: a coincidence of probability
0.0001."""

ABSENCE_EVIDENCE = 0.3
"""What a crash without a part takes from the evidence against it: a part that crashes
servers may be the cause of every second crash."""

MAX_PARTS = 1_024
MAX_SERVICE_CRASHES = 256
RETENTION_S = 6 * 3600.0


@dataclasses.dataclass(slots=True)
class _Crash:
    """One crash; a cleared one is kept, so that a late report does not count again."""

    boot: str
    evidence: float
    is_cleared: bool = False
    is_alone: bool = False


@dataclasses.dataclass(slots=True)
class _PartHistory:
    crashes: list[_Crash]
    last_crash_s: float

    @property
    def counted(self) -> list[_Crash]:
        return [crash for crash in self.crashes if not crash.is_cleared]

    def add(self, added: _Crash) -> bool:
        """Adds a crash; returns whether it was not known before."""
        for crash in self.crashes:
            if crash.boot == added.boot:
                # Several hosts report one crash, and only one of them may know this.
                crash.is_alone = crash.is_alone or added.is_alone
                return False
        self.crashes.append(added)
        return True

    def sum_evidence(self, service_boots: list[str]) -> float:
        """Returns the evidence, given all crashed boots of the service."""
        counted = self.counted
        if not counted:
            return 0.0
        present = {crash.boot for crash in self.crashes}
        first = counted[0].boot
        start = service_boots.index(first) if first in service_boots else 0
        absences = sum(boot not in present for boot in service_boots[start:])
        against = sum(crash.evidence for crash in counted)
        return against - ABSENCE_EVIDENCE * absences


@machine.register_part("crashingparts", changes.ReportPartCrash, changes.ClearPart)
class CrashingParts:
    """Adds up the evidence against each part, in bounded memory.

    Args:
        max_parts: The maximum number of parts. If there are more, those with the
            least evidence are evicted, of these the oldest first.
        retention_s: How long a part is kept after its last crash, in log seconds.
    """

    def __init__(
        self, max_parts: int = MAX_PARTS, retention_s: float = RETENTION_S
    ) -> None:
        self._max_parts = max_parts
        self._retention_s = retention_s
        self._parts: dict[str, _PartHistory] = {}
        self._service_boots: dict[str, list[str]] = {}
        self._log_time_s = 0.0
        self.current = freshness.CrashingPartList(0)

    @property
    def log_time_s(self) -> float:
        """The time of the newest change, in log seconds."""
        return self._log_time_s

    def apply(self, change: changes.Change) -> changes.Outcome:
        """Applies one committed change."""
        known = typing.cast(changes.ReportPartCrash | changes.ClearPart, change)
        self._log_time_s = max(self._log_time_s, known.log_time_s)
        self._expire()
        if isinstance(known, changes.ReportPartCrash):
            self._report(known)
        else:
            self._clear(known)
        self._publish()
        return changes.Acknowledgement(changes.ChangeStatus.ACCEPTED)

    def dump(self) -> bytes:
        """Returns the serialized state for a snapshot."""
        records = tuple(
            ledger.PartRecord(
                part,
                tuple(crash.boot for crash in item.crashes),
                tuple(crash.evidence for crash in item.crashes),
                tuple(crash.is_cleared for crash in item.crashes),
                item.last_crash_s,
                tuple(crash.is_alone for crash in item.crashes),
            )
            for part, item in self._parts.items()
        )
        services = tuple(
            ledger.ServiceCrashes(service, tuple(boots))
            for service, boots in self._service_boots.items()
        )
        state = ledger.CrashingPartsState(
            self._log_time_s, self.current.version, records, services
        )
        return codec.pack(state)

    def load(self, body: bytes) -> None:
        """Replaces the state with one that ``dump`` returned.

        Raises:
            errors.BorderError: The bytes are not such a state.
        """
        state = codec.unpack(body)
        self._log_time_s = state.log_time_s
        self._parts = {
            record.part: _PartHistory(_load_crashes(record), record.last_crash_s)
            for record in state.records
        }
        self._service_boots = {
            item.service: list(item.boots) for item in state.services
        }
        self.current = self._describe(state.version)

    def _report(self, change: changes.ReportPartCrash) -> None:
        boot = freshness.make_boot_key(change.backend_server, change.boot_id)
        for part, evidence in zip(change.parts, change.evidence, strict=False):
            item = self._parts.pop(part, None) or _PartHistory([], 0.0)
            if item.add(_Crash(boot, evidence, False, part in change.alone)):
                item.last_crash_s = self._log_time_s
            self._parts[part] = item
            self._record_service_crash(_get_service(part), boot)
        excess = max(0, len(self._parts) - self._max_parts)
        for part in heapq.nsmallest(excess, self._parts, key=self._rank_for_eviction):
            del self._parts[part]

    def _record_service_crash(self, service: str, boot: str) -> None:
        boots = self._service_boots.setdefault(service, [])
        if boot not in boots:
            boots.append(boot)
            del boots[:-MAX_SERVICE_CRASHES]

    def _sum_evidence(self, part: str) -> float:
        boots = self._service_boots.get(_get_service(part), [])
        return self._parts[part].sum_evidence(boots)

    def _rank_for_eviction(self, part: str) -> tuple[float, float]:
        return self._sum_evidence(part), self._parts[part].last_crash_s

    def _clear(self, change: changes.ClearPart) -> None:
        item = self._parts.get(change.part)
        if item is None:
            return
        for crash in item.crashes:
            if change.is_forced or crash.boot in change.boots:
                crash.is_cleared = True

    def _expire(self) -> None:
        oldest_kept_s = self._log_time_s - self._retention_s
        for part, item in list(self._parts.items()):
            if item.last_crash_s < oldest_kept_s:
                del self._parts[part]

    def _publish(self) -> None:
        described = self._describe(self.current.version)
        if described != self.current:
            self.current = dataclasses.replace(
                described, version=self.current.version + 1
            )

    def _describe(self, version: int) -> freshness.CrashingPartList:
        parts = tuple(
            self._describe_part(part)
            for part, item in sorted(self._parts.items())
            if item.counted
        )
        return freshness.CrashingPartList(version, parts)

    def _describe_part(self, part: str) -> freshness.CrashingPart:
        counted = self._parts[part].counted
        crashes_alone = sum(crash.is_alone for crash in counted)
        evidence = self._sum_evidence(part)
        has_several = len(counted) >= freshness.CRASHES_TO_REFUSE
        runs_alone = has_several and evidence >= SUSPICION_EVIDENCE
        return freshness.CrashingPart(
            part,
            tuple(crash.boot for crash in counted),
            evidence,
            runs_alone and freshness.is_refused(len(counted), crashes_alone),
            runs_alone,
            crashes_alone,
        )


def _load_crashes(record: ledger.PartRecord) -> list[_Crash]:
    """Reads the crashes of a snapshot, which may be of an older version."""
    are_alone = record.are_alone or (False,) * len(record.boots)
    crashes = zip(record.boots, record.evidence, record.cleared, are_alone, strict=True)
    return [_Crash(*item) for item in crashes]


def _get_service(part: str) -> str:
    return part.partition("/")[0]
