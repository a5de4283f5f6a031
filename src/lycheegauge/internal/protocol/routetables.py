"""Route tables: which requests go to which service, and whose keys open them.

A table is replaced as a whole by one with a higher version. Each process reads
it with the dialect of its own border, so the log carries the operator's own
bytes.
"""

import dataclasses
import enum


class Repetition(enum.StrEnum):
    """What may be repeated of a route's requests."""

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
        """Whether answers are streams of events."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
        timeout_s: The longest that a caller is kept waiting, in seconds.
        target_first_s: The first byte, or event, is on time within it.
        target_gap_s: The longest pause between events that is on time.
        priority: The rank of its requests; 0 goes first.
        attempts_max: Most backend servers that one request is sent to.
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
    """The experts of a model whose groups run in lock step.

    Attributes:
        layers: Sets of layers that are placed alike.
        experts: Experts of each.
        slots: Experts of a layer that a rank has room for.
        copies: Experts of a layer that a rank may copy in one change.
    """

    layers: int
    experts: int
    slots: int
    copies: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service as the operator declares it.

    ``cold_rate`` is how many requests a second a cold backend server bears; 0
    when there is no such limit. ``slots`` is for servers that don't tell theirs.
    ``connections_max`` is how many connections a server takes from all hosts
    together; 0 when it is not told.
    """

    name: str
    cold_rate: float
    slots: int = 0
    experts: ExpertLayout | None = None
    connections_max: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHolder:
    """An organisation and the keys that its requests carry."""

    organisation: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Everything that decides where a request goes."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceDeclaration, ...]
    key_holders: tuple[KeyHolder, ...] = ()
    needs_keys: bool = False
