"""Plans: the effects of an intent, the remaining capacity, warnings and refusals.

A plan is made from the current configuration, the intent and the backend servers
announced at that time. Effects, capacity and warnings are informational; a refusal
means that the plan would violate a guarantee and can't be confirmed.
"""

import collections
import collections.abc
import dataclasses

from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination import effects, planrisks
from lycheegauge.internal.protocol import changes, intents
from lycheegauge.internal.state import configurations

BackendServers = collections.abc.Sequence[intents.BackendServerCapacity]


def make_plan(
    current: intents.Configuration,
    intent: intents.Intent,
    backend_servers: BackendServers,
    known_availability_zones: collections.abc.Collection[str] = (),
) -> intents.Plan:
    """Makes the plan that would turn the current configuration into ``intent``.

    Args:
        current: The configuration in the log.
        intent: The complete configuration that the operator wants.
        backend_servers: The backend servers announced at this time.
        known_availability_zones: The availability zones of the entry hosts. An
            intent may name only these and those of the backend servers; if a
            misspelt zone were accepted as out of service, the intended one would
            stay in service.
    """
    before = _find_usable(current.intent, backend_servers)
    after = _find_usable(intent, backend_servers)
    zones = {server.availability_zone for server in backend_servers}
    zones.update(known_availability_zones, current.intent.availability_zones_out)
    remaining = _count_capacity(intent, after)
    return intents.Plan(
        plan_id=configurations.compute_plan_id(current.revision, intent),
        base_revision=current.revision,
        intent=intent,
        effects=tuple(effects.list_effects(current.intent, intent, backend_servers)),
        capacity_left=remaining,
        warnings=tuple(
            planrisks.list_warnings(current.intent, intent, remaining, backend_servers)
        ),
        refusals=(
            *planrisks.refuse_unknown(intent, zones),
            *planrisks.refuse_empty_services(current.intent, intent, before, after),
            *planrisks.refuse_changes_in_place(current.intent, intent),
        ),
    )


def make_confirmation(
    confirmation: changes.ConfirmPlan,
    current: intents.Configuration,
    backend_servers: BackendServers,
    known_availability_zones: collections.abc.Collection[str] = (),
) -> result.Result[changes.ConfirmPlan, errors.LycheegaugeError]:
    """Checks an operator's confirmation; returns the change for the log.

    Refusals that apply by now are sent to the log with the change instead of being
    returned here: otherwise the resend of a change that was already accepted would
    wrongly be reported as refused. For the same reason a change whose base is no
    longer current is sent to the log too, which knows the first outcome.

    Args:
        confirmation: The operator's request id, plan id, base revision and intent.
            Its ``refusals`` are not used.
        current: The configuration that this entry host applied.
        backend_servers: The backend servers announced at this time.
        known_availability_zones: As for ``make_plan``.

    Returns:
        A failure if the plan id does not belong to the base and the intent, or if
        this host has not yet applied the base. Neither of these reaches the log.
    """
    base, intent = confirmation.base_revision, confirmation.intent
    plan_id = configurations.compute_plan_id(base, intent)
    if plan_id != confirmation.plan_id:
        return result.Failure(
            errors.PlanConflictError(
                f"plan id {confirmation.plan_id} does not match this intent and base "
                f"revision {base}, whose plan id is {plan_id}; review that plan",
                "confirm",
            )
        )
    if base > current.revision:
        return result.Failure(
            errors.LogUnavailableError(
                f"this entry host has applied revision {current.revision}, but the "
                f"plan is based on revision {base}; retry here or at another entry "
                "host",
                "confirm",
            )
        )
    refusals: tuple[str, ...] = ()
    if base == current.revision:
        plan = make_plan(current, intent, backend_servers, known_availability_zones)
        refusals = plan.refusals
    return result.Success(dataclasses.replace(confirmation, refusals=refusals))


def _find_usable(
    intent: intents.Intent, backend_servers: BackendServers
) -> dict[str, list[intents.BackendServerCapacity]]:
    """Finds the backend servers of each service that may get new work.

    A lock-step group with one rank out of service can't run steps, so its other
    ranks count as out of service too.
    """
    zones_out = set(intent.availability_zones_out)
    servers_out = set(intent.backend_servers_out)
    out = {
        server.name
        for server in backend_servers
        if server.availability_zone in zones_out or server.name in servers_out
    }
    groups_out = {server.group for server in backend_servers if server.name in out}
    usable = collections.defaultdict(list)
    for server in backend_servers:
        if server.name in out or (server.group and server.group in groups_out):
            continue
        usable[server.service].append(server)
    return usable


def _count_capacity(
    intent: intents.Intent, usable: dict[str, list[intents.BackendServerCapacity]]
) -> tuple[intents.CapacityLeft, ...]:
    return tuple(
        intents.CapacityLeft(
            service.name,
            sum(server.capacity for server in usable.get(service.name, ())),
            service.needed_capacity,
            len(usable.get(service.name, ())),
        )
        for service in intent.services
    )
