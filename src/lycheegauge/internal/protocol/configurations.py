"""Configurations in snapshots, and the deltas sent to entry hosts."""

import dataclasses

from lycheegauge.internal.protocol import changes, intents


@dataclasses.dataclass(frozen=True, slots=True)
class RememberedOutcome:
    """The first outcome of a request id; ``digest`` covers the request's content."""

    request_id: str
    digest: str
    outcome: changes.ConfirmOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationsSnapshot:
    """The current configuration and the stored outcomes, oldest first."""

    current: intents.Configuration
    accepted: tuple[RememberedOutcome, ...]
    declined: tuple[RememberedOutcome, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The changes from configuration ``base_revision`` to ``revision``.

    Items are added or replaced by name. ``availability_zones_out`` and
    ``backend_servers_out`` are complete lists, not changes. ``digest`` is that of
    the resulting intent.
    """

    base_revision: int
    revision: int
    digest: str
    services: tuple[intents.Service, ...] = ()
    model_groups: tuple[intents.ModelGroup, ...] = ()
    organisations: tuple[intents.Organisation, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_model_groups: tuple[str, ...] = ()
    removed_organisations: tuple[str, ...] = ()
    availability_zones_out: tuple[str, ...] = ()
    backend_servers_out: tuple[str, ...] = ()
