"""Messages between a group's coordinator and the agents on its engines' hosts.

An agent only relays orders to the engine on its own host and reads that engine's
reports. On the same host both are cheap and the reports are fresh.
"""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class EngineQuestion:
    """Requests the state of an engine and, optionally, more details.

    Attributes:
        counts: Whether to include how often each expert was chosen.
        experts: Whether to include which experts the rank holds.
        engine_address: The engine to query; empty for the agent's own.
    """

    counts: bool
    experts: bool = False
    engine_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RankExperts:
    """The experts of one layer that a rank holds."""

    experts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state reported by the engine of one rank.

    A version or step of -1 means that there is none.

    Attributes:
        epoch: How often the group was formed; the same on all ranks.
        size: The number of ranks in the group.
        is_open: Whether the group runs passes.
        is_busy: Whether the engine is copying experts.
        pace: The time of its part of a pass relative to the usual time.
        step: The last pass that was started.
        counts: How often each expert was chosen since the engine started, layer by
            layer.
        experts: The experts that this rank holds, by layer.
        memory_used: The fraction of its memory that can't be reclaimed; 0 if unknown.
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
    memory_used: float = 0.0


class MapOrderKind(enum.StrEnum):
    """The kinds of map orders to an engine."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPlacement:
    """The experts of one layer, by rank.

    The same map goes to all ranks of a group, so ``codec`` encodes it only once.
    """

    IS_SHARED: typing.ClassVar[bool] = True

    ranks: tuple[RankExperts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrder:
    """An order to an engine; ``version`` and ``step`` are -1 if not applicable.

    ``fence`` increases with every order, so that an engine can refuse an order that
    arrives after a later one. ``layers`` is the map for ``PREPARE``.
    """

    kind: MapOrderKind
    epoch: int
    fence: int
    version: int = -1
    step: int = -1
    layers: tuple[LayerPlacement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedOrder:
    """An order for an agent to relay; an empty address means its own engine.

    An agent answers ``PREPARE`` when its engine has copied the experts, or after
    ``wait_prepared_s`` seconds.
    """

    order: MapOrder
    engine_address: str = ""
    wait_prepared_s: float = 0.0


class MapOrderOutcome(enum.StrEnum):
    """An engine's answer to an order."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class MapOrderReply:
    """The engine's answer; an unanswered order may still be executed.

    ``report`` is the state that the engine's own agent read after the order.
    """

    outcome: MapOrderOutcome
    report: EngineReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupQuestion:
    """Requests the states of several engines through one agent.

    Attributes:
        engines: The engines' addresses.
        counts: Whether to include the sum of their counts.
        experts: Whether to include which experts each rank holds.
        wait_s: How long the agent waits for the other agents, in seconds.
    """

    engines: tuple[str, ...]
    counts: bool
    experts: bool
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state of the engine at an address, without counts."""

    engine: str
    report: EngineReport


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReports:
    """The states of the engines that answered, and the sum of their counts."""

    states: tuple[EngineState, ...]
    counts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupOrders:
    """Orders to several engines through one agent.

    Attributes:
        orders: The orders and the engines' addresses; an empty address is the agent's
            own engine. They contain no map.
        packed_layers: The map of the ``PREPARE`` orders among them, compressed. A relay
            passes it on without decoding it.
        wait_s: How long the agent waits for the other agents, in seconds.
    """

    orders: tuple[RelayedOrder, ...]
    packed_layers: bytes = b""
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupOrderReplies:
    """The answers to orders, in the same sequence."""

    replies: tuple[MapOrderReply, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FlatMap:
    """A map as lists of numbers, as many small messages take long to decode.

    Attributes:
        ranks: The number of ranks.
        sizes: How many experts each rank holds, layer by layer.
        experts: The experts that the ranks hold, layer by layer and rank by rank.
    """

    ranks: int
    sizes: tuple[int, ...]
    experts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LayerQuestion:
    """Requests better placements of one layer.

    Attributes:
        sizes: How many experts each rank holds.
        experts: The experts that the ranks hold, rank by rank.
        loads: Tokens of each expert.
        paces: Factor by which each rank is slower than usual.
        slots: Experts of the layer that fit on a rank.
        copies: Experts that a rank may copy, for each placement to return; increasing.
        gain_per_copy: Fraction by which each copied expert must shorten the slowest
            rank's time.
        time_s: Time after which the search ends, in seconds.
    """

    sizes: tuple[int, ...]
    experts: tuple[int, ...]
    loads: tuple[float, ...]
    paces: tuple[float, ...]
    slots: int
    copies: tuple[int, ...]
    gain_per_copy: float
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LayerProposal:
    """A placement of one layer, as the ranks whose experts change.

    Attributes:
        ranks: The ranks.
        sizes: How many experts each of them holds then.
        experts: These experts, rank by rank.
        slowest: The slowest rank's time.
    """

    ranks: tuple[int, ...]
    sizes: tuple[int, ...]
    experts: tuple[int, ...]
    slowest: float


@dataclasses.dataclass(frozen=True, slots=True)
class LayerProposals:
    """The placements found, with increasing numbers of copies."""

    proposals: tuple[LayerProposal, ...]
