"""Describes the effects of an intent as text for operators."""

import collections
import collections.abc
import dataclasses

from lycheegauge.internal.protocol import intents

BackendServers = collections.abc.Sequence[intents.BackendServerCapacity]


def list_effects(
    before: intents.Intent, after: intents.Intent, backend_servers: BackendServers
) -> collections.abc.Iterator[intents.Effect]:
    """Lists the changes from ``before`` to ``after``."""
    yield from _compare_items("service", before.services, after.services)
    yield from _compare_items("model group", before.model_groups, after.model_groups)
    yield from _compare_items("organisation", before.organisations, after.organisations)
    by_zone = collections.Counter(
        server.availability_zone for server in backend_servers
    )
    for zone in sorted(
        {*before.availability_zones_out} ^ {*after.availability_zones_out}
    ):
        out = zone in after.availability_zones_out
        yield _describe_zone(zone, out, by_zone[zone])
    for name in sorted({*before.backend_servers_out} ^ {*after.backend_servers_out}):
        yield _describe_backend_server(name, name in after.backend_servers_out)


def _describe_zone(zone: str, out: bool, servers: int) -> intents.Effect:
    subject = f"availability zone {zone}"
    if out:
        return intents.Effect(
            subject,
            f"goes out: its {servers} backend servers get no new work within "
            "3 seconds; running work finishes",
        )
    return intents.Effect(
        subject, f"comes back: its {servers} backend servers take new work again"
    )


def _describe_backend_server(name: str, out: bool) -> intents.Effect:
    subject = f"backend server {name}"
    if out:
        return intents.Effect(
            subject,
            "goes out: it gets no new work within 3 seconds; running work finishes",
        )
    return intents.Effect(subject, "comes back: it takes new work again")


_Item = intents.Service | intents.ModelGroup | intents.Organisation


def _compare_items(
    kind: str,
    before: collections.abc.Sequence[_Item],
    after: collections.abc.Sequence[_Item],
) -> collections.abc.Iterator[intents.Effect]:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield intents.Effect(f"{kind} {name}", "is added")
        elif name not in new:
            yield intents.Effect(f"{kind} {name}", "is removed")
        elif old[name] != new[name]:
            yield intents.Effect(
                f"{kind} {name}", _describe_difference(old[name], new[name])
            )


def _describe_difference(old: _Item, new: _Item) -> str:
    changed = [
        f"{field.name} from {getattr(old, field.name)} to {getattr(new, field.name)}"
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    return "changes " + ", ".join(changed)
