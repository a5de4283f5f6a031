"""Internal types for operators' intents and plans.

The models that validate an operator's input are in ``intentmodels``.
"""

import dataclasses
import enum


class ServiceKind(enum.StrEnum):
    """Whether a service streams model output or is a plain service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that callers may use.

    ``needed_capacity`` is the peak load that it must be able to serve, in
    concurrent requests. Plans compare it with the remaining capacity.
    """

    name: str
    kind: ServiceKind
    needed_capacity: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelGroup:
    """An expert-parallel group of ranks that run in lockstep."""

    name: str
    service: str
    ranks: int
    layers: int
    experts: int
    replica_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its share and its limits.

    ``rate_limit`` is in requests per second; ``weight`` is relative to the other
    organisations.
    """

    name: str
    weight: float = 1.0
    rate_limit: float = 0.0
    concurrency_limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """The complete configuration that operators want."""

    services: tuple[Service, ...] = ()
    model_groups: tuple[ModelGroup, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    availability_zones_out: tuple[str, ...] = ()
    backend_servers_out: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted intent and the revision that the log assigned to it."""

    revision: int = 0
    intent: Intent = Intent()


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """A human-readable description of one change in a plan."""

    subject: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityLeft:
    """The capacity of a service after a plan is applied.

    ``capacity`` and ``needed`` are in concurrent requests.
    """

    service: str
    capacity: int
    needed: int
    backend_servers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The proposed changes for an intent; applied only when confirmed.

    ``plan_id`` is the digest of the base revision and the intent's content.
    """

    plan_id: str
    base_revision: int
    intent: Intent
    effects: tuple[Effect, ...]
    capacity_left: tuple[CapacityLeft, ...]
    warnings: tuple[str, ...]
    refusals: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServerCapacity:
    """An announced backend server as seen by planning.

    ``group`` is its model group if it is a rank of one.
    """

    name: str
    availability_zone: str
    service: str
    capacity: int
    group: str = ""
