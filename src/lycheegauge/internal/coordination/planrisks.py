"""The risks of an intent: warnings, and refusals that prevent its confirmation."""

import collections
import collections.abc

from lycheegauge.internal.protocol import intents

BUSY_WARNING_PERCENT = 80

BackendServers = collections.abc.Sequence[intents.BackendServerCapacity]
UsableServers = collections.abc.Mapping[
    str, collections.abc.Sequence[intents.BackendServerCapacity]
]


def list_warnings(
    before: intents.Intent,
    after: intents.Intent,
    remaining: tuple[intents.CapacityLeft, ...],
    backend_servers: BackendServers,
) -> collections.abc.Iterator[str]:
    """Lists warnings, such as how busy the remaining capacity will be."""
    taken_out = sorted(
        {*after.availability_zones_out} - {*before.availability_zones_out}
    )
    taken_out += sorted({*after.backend_servers_out} - {*before.backend_servers_out})
    cause = f"{', '.join(taken_out)} out" if taken_out else "this intent"
    for capacity in remaining:
        yield from _warn_of_load(cause, capacity)
    yield from _warn_of_split_groups(after, backend_servers)
    announced = {server.name for server in backend_servers}
    for name in after.backend_servers_out:
        if name not in announced:
            yield f"backend server {name} is not announced now; is the name right?"
    kept = {service.name for service in after.services}
    for service in before.services:
        if service.name not in kept:
            yield f"service {service.name} is removed: its callers are refused"


def _warn_of_load(
    cause: str, remaining: intents.CapacityLeft
) -> collections.abc.Iterator[str]:
    if remaining.needed > remaining.capacity:
        yield (
            f"{cause}: the rest cannot carry the load of {remaining.service}, which "
            f"needs {remaining.needed} concurrent requests of {remaining.capacity} left"
        )
    elif (
        remaining.needed * 100 >= remaining.capacity * BUSY_WARNING_PERCENT
        and remaining.needed
    ):
        busy = round(100 * remaining.needed / remaining.capacity)
        yield f"{cause} leaves {remaining.service} {busy} % busy"


def _warn_of_split_groups(
    after: intents.Intent, backend_servers: BackendServers
) -> collections.abc.Iterator[str]:
    ranks: collections.Counter[str] = collections.Counter()
    ranks_out: collections.Counter[str] = collections.Counter()
    for server in backend_servers:
        if not server.group:
            continue
        ranks[server.group] += 1
        if (
            server.availability_zone in after.availability_zones_out
            or server.name in after.backend_servers_out
        ):
            ranks_out[server.group] += 1
    for group, out in sorted(ranks_out.items()):
        yield (
            f"model group {group} has {out} of {ranks[group]} ranks out: it can't "
            "step, so the whole group gets no new work"
        )


def refuse_unknown(
    intent: intents.Intent, zones: set[str]
) -> collections.abc.Iterator[str]:
    """Refuses unknown availability zones, and groups without a model service."""
    for zone in intent.availability_zones_out:
        if zone not in zones:
            known = ", ".join(sorted(zones)) or "none"
            yield f"availability zone {zone} is unknown; known are: {known}"
    kinds = {service.name: service.kind for service in intent.services}
    for group in intent.model_groups:
        if kinds.get(group.service) is not intents.ServiceKind.MODEL:
            yield (
                f"model group {group.name} serves {group.service}, which is no "
                "model service of this intent"
            )


def refuse_empty_services(
    before_intent: intents.Intent,
    intent: intents.Intent,
    before: UsableServers,
    after: UsableServers,
) -> collections.abc.Iterator[str]:
    """Refuses to take the last backend server of a service in use out of service."""
    served = {service.name for service in before_intent.services}
    for service in intent.services:
        name = service.name
        if name in served and before.get(name) and not after.get(name):
            yield (
                f"service {name} would be left without a backend server; take "
                "out fewer, or remove the service"
            )


def refuse_changes_in_place(
    before: intents.Intent, after: intents.Intent
) -> collections.abc.Iterator[str]:
    """Refuses to change the kind of a service or the shape of a group in use."""
    kinds = {service.name: service.kind for service in before.services}
    for service in after.services:
        if kinds.get(service.name, service.kind) is not service.kind:
            yield (
                f"service {service.name} can't change its kind while callers use "
                "it; remove it first, or choose another name"
            )
    groups = {group.name: group for group in before.model_groups}
    for group in after.model_groups:
        old = groups.get(group.name, group)
        shape = (old.service, old.ranks, old.layers, old.experts)
        if shape != (group.service, group.ranks, group.layers, group.experts):
            yield (
                f"model group {group.name} can't change its service, ranks, layers "
                "or experts in place: its ranks would not share one expert map; "
                "add a group of another name, then remove this one"
            )
        elif group.replica_slots < old.replica_slots:
            yield (
                f"model group {group.name} can't have fewer replica slots in "
                "place: the expert map in use may need them"
            )
