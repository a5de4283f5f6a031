"""Messages between a group's coordinator and the agents beside its engines.

An agent only passes orders on to the engine of its own host and reads what the
engine says of itself: both are free there, and fresh.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class EngineQuestion:
    """Asks for the state of the engine, and for what is named besides.

    Attributes:
        counts: Whether to tell how often each expert was chosen.
        experts: Whether to tell which experts the rank holds.
        engine_address: The engine to ask; empty for the agent's own.
    """

    counts: bool
    experts: bool = False
    engine_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RankExperts:
    """The experts of one layer that one rank holds."""

    experts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What the engine of one rank says of itself.

    Versions and steps are -1 where there is none.

    Attributes:
        epoch: Counts the times the group was formed; all ranks have the same.
        size: Ranks of the group.
        is_open: Whether the group makes passes.
        is_busy: Whether a copy of experts is under way.
        pace: How many times longer than usual its part of a pass takes.
        step: The last pass that began.
        counts: How often each expert was chosen since the engine started, one
            layer's experts after the other's.
        experts: The experts that this rank holds, by layer.
    """

    server: str
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    is_busy: bool
    pace: float
    step: int
    map_version: int
    prepared_version: int
    armed_version: int
    armed_step: int
    held_step: int
    counts: tuple[int, ...] = ()
    experts: tuple[RankExperts, ...] = ()


class MapOrderKind(enum.StrEnum):
    """What an engine is told to do."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPlacement:
    """The experts of one layer, by rank."""

    ranks: tuple[RankExperts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrder:
    """One order; ``version`` and ``step`` are -1 where it has none.

    ``fence`` grows with every order, so an engine refuses one that arrives after
    a later one. ``layers`` is the map of ``PREPARE``.
    """

    kind: MapOrderKind
    epoch: int
    fence: int
    version: int = -1
    step: int = -1
    layers: tuple[LayerPlacement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedOrder:
    """An order for an agent to pass on; without an address to its own engine."""

    order: MapOrder
    engine_address: str = ""


class MapOrderOutcome(enum.StrEnum):
    """How an engine answered an order."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrderReply:
    """The engine's answer; an unanswered order may still be carried out."""

    outcome: MapOrderOutcome
