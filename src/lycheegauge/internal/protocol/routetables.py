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
class ServiceDeclaration:
    """A service as declared by the operator.

    ``cold_rate`` is how many requests per second a cold backend server can take; 0
    means no limit. ``slots`` is the default for servers that don't announce theirs.
    ``connections_max`` is the maximum number of connections to a server from all
    hosts together; 0 means unknown.
    """

    name: str
    cold_rate: float
    slots: int = 0
    experts: ExpertLayout | None = None
    connections_max: int = 0


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
