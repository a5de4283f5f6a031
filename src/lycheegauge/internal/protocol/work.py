"""Messages of a request between entry host, agent and backend server."""

import dataclasses
import enum


class RunState(enum.StrEnum):
    """Whether a refused or interrupted request was run."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Why a request was refused; each reason has its own counter."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    NO_BACKEND_SERVER = "no_backend_server"
    AVAILABILITY_ZONE_OUT = "availability_zone_out"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    LEASE_EXPIRED = "lease_expired"
    COLD_LIMIT = "cold_limit"
    SERVER_LIMIT = "server_limit"
    SERVER_WAIT = "server_wait"
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
    MEMORY_FULL = "memory_full"
    REQUEST_TOO_LARGE = "request_too_large"
    SERVER_MEMORY_FULL = "server_memory_full"


class RetryReason(enum.StrEnum):
    """Why an entry host retries on another backend server; each has a counter."""

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
    """The internal form of a caller's request.

    ``deadline_s`` is the time that remained when the message was sent, in seconds;
    messages contain only durations, never clock readings. ``prefix_blocks`` are
    digests of the prompt's leading blocks, longest prefix last.
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
    """One attempt of a request, sent from an entry host to an agent.

    ``resume_at`` is the index of the first token to send; ``revision`` is the
    configuration that the entry host has applied. A ``suspect`` request runs alone
    on its backend server; ``known_crashes`` are the boots whose crashes make it one.
    ``claim_sequence`` is the number of the grant that permits this attempt.
    """

    request: Request
    attempt: int
    entry_host: str
    revision: int
    incarnation: str = ""
    resume_at: int = 0
    suspect: bool = False
    claim_sequence: int = 0
    known_crashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A chunk of an answer.

    ``sequence`` counts the chunks of one attempt from 0; ``first_token`` is the
    index of ``tokens[0]`` in the complete answer. The answer of a plain service is
    one chunk with ``body`` and ``status``; with ``is_close_delimited`` the body had
    neither a length nor chunks, so its end is not confirmed.
    """

    request_id: str
    attempt: int
    sequence: int
    first_token: int = 0
    tokens: tuple[str, ...] = ()
    body: bytes = b""
    status: int = 200
    content_type: str = ""
    is_close_delimited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of an answer.

    ``chunks`` is the number of chunks in this attempt. ``tokens`` is the number of
    tokens in the complete answer, including those of earlier attempts.
    """

    request_id: str
    attempt: int
    chunks: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was not completed.

    ``retry_after_s`` is when to retry, in seconds; a negative value means: do not
    retry.
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
    """A backend server's load, reported by its agent with each reply and probe.

    ``age_s`` is the age of the engine's figures in seconds. ``limit`` is how many
    concurrent requests the agent admits now; ``speed`` is in completions per
    second.
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
    """A message on the stream from agent to entry host; one field is set."""

    chunk: AnswerChunk | None = None
    end: AnswerEnd | None = None
    refusal: Refusal | None = None
    load: LoadReport | None = None


class SettlementStatus(enum.StrEnum):
    """The state of a key at an agent, which refuses it after ``WILL_NEVER_START``."""

    WILL_NEVER_START = "will_never_start"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED_UNKNOWN = "failed_unknown"
    OTHER_INCARNATION = "other_incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class SettlementRequest:
    """Asks the agent that holds a claim for the result of the attempt."""

    key: str
    attempt: int
    incarnation: str
    claim_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """The reply to a ``SettlementRequest``."""

    key: str
    attempt: int
    status: SettlementStatus
    answer: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a backend server's prefix cache.

    A gap in ``sequence`` means that events were lost.
    """

    backend_server: str
    boot_id: str
    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()
