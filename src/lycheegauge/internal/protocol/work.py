"""Messages of one request's way: caller, entry host, agent, backend server."""

import dataclasses
import enum


class RunState(enum.StrEnum):
    """Whether refused or broken-off work was run."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Why work was refused; each has a counter of its own."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    NO_BACKEND_SERVER = "no_backend_server"
    AVAILABILITY_ZONE_OUT = "availability_zone_out"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    LEASE_EXPIRED = "lease_expired"
    COLD_LIMIT = "cold_limit"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ORGANISATION_LIMIT = "organisation_limit"
    QUARANTINED = "quarantined"
    SUSPECT_BUSY = "suspect_busy"
    CLAIM_LEDGER_FULL = "claim_ledger_full"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_SUPERSEDED = "key_superseded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STOPPING = "stopping"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    LOG_UNAVAILABLE = "log_unavailable"
    CANCELLED = "cancelled"
    BACKEND_SERVER_CRASHED = "backend_server_crashed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    NO_ROUTE_TABLE = "no_route_table"
    BACKEND_SERVERS_FULL = "backend_servers_full"


class RetryReason(enum.StrEnum):
    """Why an entry host tries another backend server; each has a counter."""

    CONNECTION_FAILED = "connection_failed"
    AGENT_REFUSED = "agent_refused"
    COLD_LIMIT = "cold_limit"
    STREAM_BROKEN = "stream_broken"
    SETTLED_NOT_RUN = "settled_not_run"
    BACKEND_SERVER_CRASHED = "backend_server_crashed"
    SUSPECT_BUSY = "suspect_busy"
    BACKEND_SERVER_REFUSED = "backend_server_refused"
    BACKEND_SERVER_ERROR = "backend_server_error"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as the system carries it.

    ``deadline_s`` is the time that remained when the message was sent, in
    seconds; only durations travel. ``prefix_blocks`` are digests of the
    prompt's leading blocks, longest prefix last.
    """

    request_id: str
    organisation: str
    service: str
    body: bytes
    fingerprint: str
    deadline_s: float
    priority: int = 0
    repeatable: bool = True
    idempotency_key: str = ""
    prefix_blocks: tuple[str, ...] = ()
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkOrder:
    """One attempt, sent from an entry host to an agent.

    ``resume_at`` is the first token wanted; ``revision`` is the configuration
    that the entry host applied. ``suspect`` work runs alone on its server.
    ``claim_sequence`` is the number of the grant that allows this attempt.
    """

    request: Request
    attempt: int
    entry_host: str
    revision: int
    incarnation: str = ""
    resume_at: int = 0
    suspect: bool = False
    claim_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A piece of an answer.

    ``sequence`` counts the chunks of one attempt from 0; ``first_token`` is the
    index of ``tokens[0]`` in the whole answer. A plain answer is one chunk with
    ``body`` and ``status``.
    """

    request_id: str
    attempt: int
    sequence: int
    first_token: int = 0
    tokens: tuple[str, ...] = ()
    body: bytes = b""
    status: int = 200
    content_type: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The whole answer was sent.

    ``chunks`` counts the chunks of this attempt. ``tokens`` counts the tokens
    of the whole answer, those of earlier attempts included.
    """

    request_id: str
    attempt: int
    chunks: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Work was not completed; ``retry_after_s`` says when to come back.

    ``retry_after_s`` is in seconds; a negative value says: do not come back.
    """

    request_id: str
    attempt: int
    reason: RefusalReason
    run_state: RunState
    retry_after_s: float
    step: str = ""
    peer: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an agent says of its backend server with each reply and probe.

    ``age_s`` is how old the engine's own numbers are, in seconds. ``limit`` is
    how many requests the agent admits now; ``speed`` is completions a second.
    """

    agent: str
    incarnation: str
    boot_id: str
    running: int
    waiting: int
    limit: int
    speed: float
    age_s: float
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AgentReply:
    """One message on the stream from agent to entry host; one field is set."""

    chunk: AnswerChunk | None = None
    end: AnswerEnd | None = None
    refusal: Refusal | None = None
    load: LoadReport | None = None


class SettlementStatus(enum.StrEnum):
    """What an agent says of a key; after ``WILL_NEVER_START`` it refuses it."""

    WILL_NEVER_START = "will_never_start"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED_UNKNOWN = "failed_unknown"
    OTHER_INCARNATION = "other_incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class SettlementRequest:
    """Asks the agent that holds a claim how the attempt ended."""

    key: str
    attempt: int
    incarnation: str
    claim_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """Answers a ``SettlementRequest``."""

    key: str
    attempt: int
    status: SettlementStatus
    answer: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A backend server's prefix cache changed; ``sequence`` shows gaps."""

    backend_server: str
    boot_id: str
    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()
