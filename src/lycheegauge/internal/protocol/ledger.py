"""Snapshots of the claim ledger and the quarantine list."""

import dataclasses

from lycheegauge.internal.protocol import changes

MAX_ANSWER_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim in the ledger; times are in log seconds."""

    key: str
    digest: str
    agent: str
    incarnation: str
    request_id: str
    attempt: int
    status: changes.ClaimStatus
    answer: bytes
    granted_at_s: float
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedKey:
    """A key reported as not run at ``closed_at_s``, in log seconds."""

    key: str
    closed_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLedgerState:
    """Snapshot of the whole ledger.

    ``forgotten`` holds the packed 64-bit digests of removed keys; each item is one
    generation, oldest first. Every key counts as closed at ``closed_floor_s``.
    """

    log_time_s: float
    sequence: int
    records: tuple[ClaimRecord, ...]
    forgotten: tuple[bytes, ...]
    closed: tuple[ClosedKey, ...] = ()
    closed_floor_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """The boots that crashed while they ran one fingerprint.

    ``are_cleared`` tells for each boot whether it no longer counts against the
    fingerprint, ``are_alone`` whether the fingerprint was the only suspect there.
    Snapshots of older versions have neither, but ``cleared``, the number of leading
    boots that don't count.
    """

    fingerprint: str
    boot_ids: tuple[str, ...]
    cleared: int
    last_crash_s: float
    are_cleared: tuple[bool, ...] = ()
    are_alone: tuple[bool, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartRecord:
    """The crashes that count or counted against one part of prompts.

    ``boots``, ``evidence``, ``cleared`` and ``are_alone`` have one item for each crash.
    Snapshots of older versions lack ``are_alone``.
    """

    part: str
    boots: tuple[str, ...]
    evidence: tuple[float, ...]
    cleared: tuple[bool, ...]
    last_crash_s: float
    are_alone: tuple[bool, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCrashes:
    """The latest crashed boots of a service's servers, oldest first."""

    service: str
    boots: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingPartsState:
    """Snapshot of the evidence against parts of prompts."""

    log_time_s: float
    version: int
    records: tuple[PartRecord, ...]
    services: tuple[ServiceCrashes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineState:
    """Snapshot of the whole quarantine list."""

    log_time_s: float
    version: int
    records: tuple[CrashRecord, ...]
