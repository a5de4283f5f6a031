"""The claim ledger: which idempotency keys may run, are running, or have run.

A claim is granted before its order is sent, so a claim identifies the only agent
that can have run the request. A claim is never evicted within its retention
period: a full ledger refuses new claims.

An outcome "not run" closes the key for all requests that arrived up to that time.
Otherwise a request that its caller had given up could still be granted after the
caller was told, through another entry host, that nothing was run.
"""

import dataclasses
import typing

from google.protobuf import message as protobuf_message

from lycheegauge import errors
from lycheegauge.internal.protocol import changes, codec, keys, ledger
from lycheegauge.internal.state import machine, tombstones

MAX_CLAIMS = 16_000
MAX_CLOSED_KEYS = 4_096
RETENTION_S = 2 * 3600.0
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Claim:
    """The claim of one key; times are in log seconds."""

    digest: str
    agent: str
    incarnation: str
    request_id: str
    attempt: int
    status: changes.ClaimStatus
    answer: bytes
    granted_at_s: float
    sequence: int

    def build_outcome(self) -> changes.ClaimOutcome:
        """Returns this claim as the outcome that is reported to callers."""
        return changes.ClaimOutcome(
            self.status,
            self.agent,
            self.incarnation,
            self.attempt,
            self.answer,
            self.sequence,
        )


@machine.register_part("claims", changes.GrantClaim, changes.SettleClaim)
class ClaimLedger:
    """Grants each key to one incarnation of an agent at a time.

    Space for the answer is reserved when a claim is granted, so that an answer is
    never refused for lack of memory.

    Args:
        max_claims: The maximum number of claims; further ones are refused.
        retention_s: How long a claim is kept after its last grant, in log seconds.
        max_total_answer_bytes: The maximum total size of all answers, in bytes.
        forgotten: Keys whose claims have expired and were removed.
    """

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        retention_s: float = RETENTION_S,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
        forgotten: tombstones.Tombstones | None = None,
    ) -> None:
        self._max_claims = max_claims
        self._retention_s = retention_s
        self._max_total_answer_bytes = max_total_answer_bytes
        self._forgotten = forgotten or tombstones.Tombstones()
        self._claims: dict[str, Claim] = {}
        self._log_time_s = 0.0
        self._sequence = 0
        self._answer_bytes = 0
        self._closed: dict[str, float] = {}
        self._closed_floor_s = -1.0

    @property
    def log_time_s(self) -> float:
        """The latest log time applied, in log seconds."""
        return self._log_time_s

    def __len__(self) -> int:
        """Returns the number of claims."""
        return len(self._claims)

    def apply(self, change: changes.Change) -> changes.Outcome:
        """Applies one committed change and returns the key's outcome."""
        if isinstance(change, changes.GrantClaim):
            self._advance(change.log_time_s)
            return self._grant(change)
        settled = typing.cast(changes.SettleClaim, change)
        self._advance(settled.log_time_s)
        return self._settle(settled)

    def dump(self) -> bytes:
        """Returns the whole ledger for a snapshot."""
        # The message is filled directly, because the generic codec took 41 us per
        # claim, and the leader cannot send heartbeats during that time.
        message = codec.find_message_class("ClaimLedgerState")(
            log_time_s=self._log_time_s,
            sequence=self._sequence,
            forgotten=self._forgotten.dump(),
            closed_floor_s=self._closed_floor_s,
        )
        for key, claim in self._claims.items():
            message.records.add(
                key=key,
                digest=claim.digest,
                agent=claim.agent,
                incarnation=claim.incarnation,
                request_id=claim.request_id,
                attempt=claim.attempt,
                status=claim.status.value,
                answer=claim.answer,
                granted_at_s=claim.granted_at_s,
                sequence=claim.sequence,
            )
        for key, closed_at_s in self._closed.items():
            message.closed.add(key=key, closed_at_s=closed_at_s)
        serialized: bytes = message.SerializeToString()
        return serialized

    def load(self, body: bytes) -> None:
        """Replaces the ledger with a state that ``dump`` returned.

        Raises:
            errors.BorderError: The bytes are not a claim ledger.
        """
        state = _read_state(body)
        self._log_time_s = state.log_time_s
        self._sequence = state.sequence
        self._forgotten.load(state.forgotten)
        self._claims = {record.key: _read_claim(record) for record in state.records}
        self._closed = {item.key: item.closed_at_s for item in state.closed}
        self._closed_floor_s = state.closed_floor_s
        self._answer_bytes = sum(map(_get_reserved_bytes, self._claims.values()))

    def _advance(self, log_time_s: float) -> None:
        self._log_time_s = max(self._log_time_s, log_time_s)
        oldest_kept_s = self._log_time_s - self._retention_s
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].granted_at_s >= oldest_kept_s:
                return
            self._forget(key)

    def _forget(self, key: str) -> None:
        claim = self._claims.pop(key)
        self._answer_bytes -= _get_reserved_bytes(claim)
        issued_at_s = keys.read_issue_time(key)
        # A caller could forge an issue time in the future. Such a key is remembered
        # like a key without an issue time.
        if issued_at_s is None or issued_at_s > claim.granted_at_s:
            self._forgotten.add(key)

    def _grant(self, change: changes.GrantClaim) -> changes.ClaimOutcome:
        claim = self._claims.get(change.key)
        if claim is None:
            return self._grant_first(change)
        if claim.digest != change.digest:
            return changes.ClaimOutcome(changes.ClaimStatus.OTHER_CONTENT)
        if claim.status is changes.ClaimStatus.NOT_RUN:
            return self._grant_unless_closed(change, claim.attempt + 1)
        if claim.status is changes.ClaimStatus.HELD and _is_same_grant(change, claim):
            # This is a resend: the reply to the first copy of this change was lost.
            return dataclasses.replace(
                claim.build_outcome(), status=changes.ClaimStatus.GRANTED
            )
        return claim.build_outcome()

    def _grant_first(self, change: changes.GrantClaim) -> changes.ClaimOutcome:
        if self._is_expired(change):
            return changes.ClaimOutcome(changes.ClaimStatus.EXPIRED)
        return self._grant_unless_closed(change, attempt=1)

    def _grant_unless_closed(
        self, change: changes.GrantClaim, attempt: int
    ) -> changes.ClaimOutcome:
        if not change.agent or self._is_closed(change):
            return self._close(change.key, changes.ClaimStatus.NOT_RUN)
        is_new = change.key not in self._claims
        if is_new and len(self._claims) >= self._max_claims:
            return self._close(change.key, changes.ClaimStatus.FULL)
        if not self._has_answer_room():
            return self._close(change.key, changes.ClaimStatus.FULL)
        return self._store(change, attempt)

    def _is_closed(self, change: changes.GrantClaim) -> bool:
        closed_at_s = self._closed.get(change.key, self._closed_floor_s)
        return change.arrived_at_s <= max(closed_at_s, self._closed_floor_s)

    def _close(self, key: str, status: changes.ClaimStatus) -> changes.ClaimOutcome:
        self._closed.pop(key, None)
        self._closed[key] = self._log_time_s
        if len(self._closed) > MAX_CLOSED_KEYS:
            oldest = next(iter(self._closed))
            # The closing time of the evicted key is no longer known, so it becomes
            # the floor for all keys: requests that arrived up to then and were not
            # granted yet are refused.
            self._closed_floor_s = self._closed.pop(oldest)
        return changes.ClaimOutcome(status)

    def _store(self, change: changes.GrantClaim, attempt: int) -> changes.ClaimOutcome:
        self._sequence += 1
        # A renewed claim moves to the end: its retention period restarts, and the
        # dictionary stays in the order in which claims expire.
        renewed = self._claims.pop(change.key, None)
        if renewed is not None:
            self._answer_bytes -= _get_reserved_bytes(renewed)
        claim = Claim(
            change.digest,
            change.agent,
            change.incarnation,
            change.request_id,
            attempt,
            changes.ClaimStatus.HELD,
            b"",
            self._log_time_s,
            self._sequence,
        )
        self._claims[change.key] = claim
        self._answer_bytes += _get_reserved_bytes(claim)
        return dataclasses.replace(
            claim.build_outcome(), status=changes.ClaimStatus.GRANTED
        )

    def _has_answer_room(self) -> bool:
        return (
            self._answer_bytes + ledger.MAX_ANSWER_BYTES <= self._max_total_answer_bytes
        )

    def _is_expired(self, change: changes.GrantClaim) -> bool:
        oldest_kept_s = self._log_time_s - self._retention_s
        return change.issued_at_s < oldest_kept_s or change.key in self._forgotten

    def _settle(self, change: changes.SettleClaim) -> changes.ClaimOutcome:
        claim = self._claims.get(change.key)
        if claim is None:
            return changes.ClaimOutcome(changes.ClaimStatus.EXPIRED)
        if claim.attempt == change.attempt and _may_settle(claim.status):
            self._answer_bytes -= _get_reserved_bytes(claim)
            claim.status = change.status
            # A held claim has space for its answer reserved. Late proof that
            # replaces "unknown" has not, and may arrive when no space is left.
            room = self._max_total_answer_bytes - self._answer_bytes
            if len(change.answer) <= min(room, ledger.MAX_ANSWER_BYTES):
                claim.answer = change.answer
            self._answer_bytes += _get_reserved_bytes(claim)
        return claim.build_outcome()


def _may_settle(status: changes.ClaimStatus) -> bool:
    # Proof that arrives late may still replace "unknown".
    return status in (changes.ClaimStatus.HELD, changes.ClaimStatus.UNKNOWN)


def _is_same_grant(change: changes.GrantClaim, claim: Claim) -> bool:
    return (change.request_id, change.agent, change.incarnation) == (
        claim.request_id,
        claim.agent,
        claim.incarnation,
    )


def _get_reserved_bytes(claim: Claim) -> int:
    held = claim.status is changes.ClaimStatus.HELD
    return ledger.MAX_ANSWER_BYTES if held else len(claim.answer)


def _read_state(body: bytes) -> ledger.ClaimLedgerState:
    try:
        message = codec.find_message_class("ClaimLedgerState").FromString(body)
    except protobuf_message.DecodeError as error:
        raise errors.BorderError(
            f"the bytes are not a claim ledger: {error}", "load"
        ) from error
    state: ledger.ClaimLedgerState = codec.decode(message)
    return state


def _read_claim(record: ledger.ClaimRecord) -> Claim:
    return Claim(
        record.digest,
        record.agent,
        record.incarnation,
        record.request_id,
        record.attempt,
        record.status,
        record.answer,
        record.granted_at_s,
        record.sequence,
    )
