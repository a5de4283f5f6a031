"""Route tables: which requests go to which service, and which keys they need.

A table is replaced as a whole by one with a higher version. Each process parses it
with its configured dialect, so the log stores the operator's original bytes.
"""

import dataclasses
import enum


class Repetition(enum.StrEnum):
    """Whether and how the requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Repetition.SAFE, Repetition.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route for requests to one host whose path begins with a prefix.

    Attributes:
        timeout_s: The longest time that a caller waits, in seconds.
        target_first_s: The latency target of the first byte or event, in seconds.
        target_gap_s: The target for the gap between events, in seconds.
        priority: The priority of its requests; 0 goes first.
        attempts_max: The maximum number of backend servers tried per request.
        open_to_all: Whether requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    repetition: Repetition
    timeout_s: float
    target_first_s: float
    target_gap_s: float
    priority: int
    attempts_max: int
    open_to_all: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """The experts of a model whose groups run in lockstep.

    Attributes:
        layers: The number of sets of layers that share a placement.
        experts: The number of experts in each layer.
        slots: How many experts of a layer fit on a rank.
        copies: How many experts of a layer a rank may copy in one map change.
        copy_s: How long a rank takes to copy one expert, in seconds; 0 if unknown.
        report_lag_s: How old the state may be that an engine reports to another host,
            in seconds. On its own host its reports are current.
    """

    layers: int
    experts: int
    slots: int
    copies: int
    report_lag_s: float = 0.0
    copy_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the operator states about the model engine of a service's servers.

    A token step of an engine takes ``step_s`` plus ``stream_step_s`` for each stream
    that is writing, plus ``context_s`` for each token of their contexts. A value of 0
    means that it is not stated.

    Attributes:
        step_s: The duration of a token step without streams, in seconds.
        stream_step_s: What each writing stream adds to a step, in seconds.
        context_s: What each token of context adds to a step, in seconds.
        prompt_tokens_per_s: How many prompt tokens the engine reads per second.
        chunk_tokens: The most prompt tokens that it reads in one step.
        steps_per_event: The token steps of a pass, and the tokens of an event.
        memory_tokens: The tokens that fit into its memory, over all its requests.
        mean_prompt_tokens: The usual length of a prompt.
        mean_answer_tokens: The usual length of an answer.
    """

    step_s: float = 0.0
    stream_step_s: float = 0.0
    context_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    chunk_tokens: int = 0
    steps_per_event: int = 0
    memory_tokens: int = 0
    mean_prompt_tokens: float = 0.0
    mean_answer_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service as declared by the operator.

    ``cold_rate`` is how many requests per second a cold backend server can take; 0
    means no limit. ``slots`` is the default for servers that don't announce theirs.
    ``connections_max`` is the maximum number of connections to a server from all
    hosts together; 0 means unknown. ``engine`` is ``None`` for services that are not
    models, and for models whose engines the operator does not describe.
    """

    name: str
    cold_rate: float
    slots: int = 0
    experts: ExpertLayout | None = None
    connections_max: int = 0
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHolder:
    """An organisation and the API keys that its requests may use."""

    organisation: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """A complete route table."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceDeclaration, ...]
    key_holders: tuple[KeyHolder, ...] = ()
    needs_keys: bool = False
