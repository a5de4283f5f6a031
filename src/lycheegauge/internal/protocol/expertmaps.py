"""Expert maps, step permits and the orders sent to engines."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of an expert's tokens that one rank computes, in 0..1."""

    rank: int
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertPlacement:
    """The ranks that hold replicas of an expert and how its tokens are split."""

    layer: int
    expert: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """One version of a group's complete expert map."""

    group: str
    version: int
    placements: tuple[ExpertPlacement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepPermit:
    """Permits steps ``first_step`` to ``last_step`` with one map version."""

    group: str
    epoch: int
    map_version: int
    first_step: int
    last_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitOffer:
    """A coordinator's permits for a rank; the rank refuses an outdated epoch.

    ``sequence`` counts the coordinator's questions and offers within its epoch, so
    that a delayed offer can't override a later, shorter one. ``incarnation`` is
    the agent start that the offer is for, because a restarted agent no longer
    knows the sequence.
    """

    group: str
    epoch: int
    permits: tuple[StepPermit, ...]
    sequence: int = 0
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RankQuestion:
    """A coordinator's request for a rank's permits, with the coordinator's epoch.

    ``confirmed_for`` is an incarnation of the agent that the coordinator knew
    before it read from the log that ``epoch`` is the newest; an agent restarted
    as that incarnation may adopt the epoch. Empty if the log was not read.
    """

    group: str
    epoch: int
    sequence: int = 0
    confirmed_for: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """The permits and maps of a rank's agent.

    ``incarnation`` changes when the agent restarts. ``next_step`` is one past the
    last step that its engine started, or 0 if the engine lost its progress.
    ``sequence`` is the highest that the agent has seen in its epoch.
    """

    group: str
    rank: int
    incarnation: str
    epoch: int
    permits: tuple[StepPermit, ...]
    loaded_versions: tuple[int, ...]
    next_step: int
    accepted: bool = True
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """Asks a rank to load the experts that it needs for a map version."""

    group: str
    epoch: int
    expert_map: ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class MapPrepared:
    """A rank has loaded a map version."""

    group: str
    rank: int
    incarnation: str
    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLoad:
    """Tokens routed to each expert of a layer since the previous report."""

    group: str
    rank: int
    sequence: int
    layer: int
    tokens: tuple[float, ...]
    seconds: float


class OrderKind(enum.StrEnum):
    """The kinds of orders to an engine."""

    LOAD_EXPERT = "load_expert"
    DROP_EXPERT = "drop_expert"
    USE_MAP = "use_map"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine, with the epoch as its fencing token.

    ``bytes_to_load`` is the amount that the weight store must deliver, in bytes.
    """

    kind: OrderKind
    group: str
    epoch: int
    rank: int
    layer: int = -1
    expert: int = -1
    map_version: int = 0
    role: str = ""
    bytes_to_load: int = 0
