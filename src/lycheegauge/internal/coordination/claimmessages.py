"""Builds the claim, settlement and order messages of one idempotency key."""

import dataclasses
import enum

from lycheegauge.internal.coordination import attemptmessages
from lycheegauge.internal.protocol import changes, ledger, work


class Phase(enum.StrEnum):
    """What a non-repeatable request is waiting for."""

    CHOOSING = "choosing"
    ASKING = "asking"
    CLAIMING = "claiming"
    RUNNING = "running"
    SETTLING = "settling"
    RECORDING = "recording"


# Phases in which no order of this request is in flight.
UNSENT_PHASES = frozenset(
    {Phase.CHOOSING, Phase.ASKING, Phase.CLAIMING, Phase.RECORDING}
)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOrigin:
    """The origin of an idempotency key.

    Attributes:
        issued_at_s: When it was issued, or first seen, in log time (seconds).
        arrived_at_s: A log time that had already passed when this request
            arrived.
        is_new: Whether no other request can have used the key.
    """

    issued_at_s: float
    arrived_at_s: float
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FinalOutcome:
    """The final refusal that a caller gets for a key."""

    reason: work.RefusalReason
    run_state: work.RunState


FINAL_OUTCOMES = {
    changes.ClaimStatus.UNKNOWN: FinalOutcome(
        work.RefusalReason.OUTCOME_UNKNOWN, work.RunState.UNKNOWN
    ),
    changes.ClaimStatus.OTHER_CONTENT: FinalOutcome(
        work.RefusalReason.KEY_REUSED, work.RunState.NOT_RUN
    ),
    # The claim has expired, so whether the request ran is no longer known.
    changes.ClaimStatus.EXPIRED: FinalOutcome(
        work.RefusalReason.KEY_EXPIRED, work.RunState.UNKNOWN
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimMessageBuilder:
    """Builds the messages of one request; the daemon sets the log times."""

    request: work.Request
    entry_host: str
    origin: KeyOrigin

    def build_claim(self, agent: str, incarnation: str) -> attemptmessages.CommitClaim:
        """Builds a claim, or a query to the ledger if the names are empty."""
        change = changes.GrantClaim(
            self.request.idempotency_key,
            self.request.organisation,
            self.request.fingerprint,
            agent,
            incarnation,
            self.request.request_id,
            self.origin.issued_at_s,
            0.0,
            self.origin.arrived_at_s,
        )
        return attemptmessages.CommitClaim(change)

    def build_settlement(
        self, attempt: int, status: changes.ClaimStatus, answer: bytes
    ) -> attemptmessages.RecordSettlement:
        """Builds a settlement; an answer that is too large is omitted."""
        stored = answer if len(answer) <= ledger.MAX_ANSWER_BYTES else b""
        change = changes.SettleClaim(
            self.request.idempotency_key, attempt, status, stored, 0.0
        )
        return attemptmessages.RecordSettlement(change)

    def build_settlement_query(
        self, holder: changes.ClaimOutcome
    ) -> attemptmessages.QuerySettlement:
        """Builds the settlement query to the agent that holds the claim."""
        query = work.SettlementRequest(
            self.request.idempotency_key,
            holder.attempt,
            holder.incarnation,
            holder.sequence,
        )
        return attemptmessages.QuerySettlement(holder.agent, query)

    def build_order(
        self,
        choice: attemptmessages.BackendServerChosen,
        grant: changes.ClaimOutcome,
        remaining_s: float,
    ) -> work.WorkOrder:
        """Builds the order that a granted claim permits."""
        return work.WorkOrder(
            dataclasses.replace(self.request, deadline_s=max(0.0, remaining_s)),
            grant.attempt,
            self.entry_host,
            choice.revision,
            grant.incarnation,
            suspect=choice.suspect,
            claim_sequence=grant.sequence,
            known_crashes=choice.known_crashes,
        )
