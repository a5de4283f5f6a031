"""What must hold, judged from what callers and backend servers saw.

Each check takes the world after its run and yields what it found broken. The bounds
are those that docs/promises.md states.
"""

import collections

from support import forwardingfleet

DRAIN_S = 2.5
"""A farewell is in force everywhere after so long: a lease, and what was on its way."""

ZONE_OUT_S = 5.0
REVOKE_S = 5.0
SLACK_S = 0.5
"""A delayed chunk may have left its gateway so long before it reaches a server."""

RECOVERY_S = 12.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
_checks = {}


def register_check(run):
    """Registers a check under its function's name."""
    _checks[run.__name__] = run
    return run


def run_checks(world):
    """Returns all that is broken, as (check, description)."""
    return [
        (name, found)
        for name, check in sorted(_checks.items())
        for found in check(world)
    ]


def _list_seen(world):
    return [seen for caller in world.callers for seen in caller.seen]


def _count_runs(world):
    runs = collections.Counter()
    for server in world.servers:
        runs.update(server.runs)
    return runs


@register_check
def at_most_once(world):
    """What may not be repeated runs once at most."""
    runs = _count_runs(world)
    for seen in _list_seen(world):
        if seen.path.startswith("/unsafe/") and runs[seen.request_id] > 1:
            yield f"{seen.request_id} ran {runs[seen.request_id]} times"


@register_check
def not_run_is_true(world):
    """A request that was refused as not run has not run, and does not later."""
    runs = _count_runs(world)
    for seen in _list_seen(world):
        is_unsafe = seen.path.startswith("/unsafe/")
        if is_unsafe and seen.status in NOT_RUN_STATUSES and runs[seen.request_id]:
            yield f"{seen.request_id} was answered {seen.status} and ran"


@register_check
def whole_answers(world):
    """Answers are whole; streams have no gap and no repeat."""
    events = range(1, forwardingfleet.EVENTS + 1)
    stream = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in events).encode()
    names = {server.name.encode() for server in world.servers}
    for seen in _list_seen(world):
        if seen.status != 200:
            continue
        is_stream = seen.path.startswith("/stream/")
        if is_stream and seen.body != stream:
            yield f"{seen.request_id} got the stream {seen.body[:200]!r}"
        if not is_stream and seen.body not in names:
            yield f"{seen.request_id} got {seen.body[:80]!r}"


@register_check
def no_own_denials(world):
    """Proper requests with a key that is held are not denied."""
    for seen in _list_seen(world):
        is_held = seen.key not in world.revoked and seen.key in world.held_keys.values()
        if is_held and 400 <= seen.status < 500 and seen.status not in NOT_RUN_STATUSES:
            yield f"{seen.request_id} was answered {seen.status}"


@register_check
def keys_are_removed(world):
    """Nothing that was sent late enough after a key's removal runs with it."""
    runs = _count_runs(world)
    for seen in _list_seen(world):
        removed_at = world.revoked.get(seen.key)
        if removed_at is not None and seen.sent_at > removed_at + REVOKE_S:
            if runs[seen.request_id]:
                late_s = seen.sent_at - removed_at
                yield f"{seen.request_id} ran {late_s:.1f} s after its key was removed"


@register_check
def zones_are_silent(world):
    """A zone that is out gets nothing."""
    for zone, out_at, back_at in world.zones_out:
        for server in world.servers:
            if server.zone != zone:
                continue
            for ran_at, request_id, *_ in server.log:
                if out_at + ZONE_OUT_S + SLACK_S < ran_at < (back_at or ran_at + 1):
                    yield f"{request_id} ran in {zone}, {ran_at - out_at:.1f} s after"


@register_check
def farewells_hold(world):
    """A server that left gets nothing."""
    for server in world.servers:
        left_at = world.left.get(server.name)
        if left_at is None:
            continue
        for ran_at, request_id, *_ in server.log:
            if ran_at > left_at + DRAIN_S + SLACK_S:
                late_s = ran_at - left_at
                yield f"{request_id} ran at {server.name}, {late_s:.1f} s after"


@register_check
def acknowledged_is_kept(world):
    """The newest acknowledged table is read back, and zones out are in force."""
    document = world.call_control("/routes").document
    if document["version"] != world.version:
        yield f"read version {document['version']}, acknowledged {world.version}"


@register_check
def recovers(world):
    """All gateways serve again in time after the last fault."""
    if not world.is_recovered:
        yield f"no whole service {RECOVERY_S} s after the last fault"


@register_check
def serves_meanwhile(world):
    """Some requests are served although there are faults."""
    seen = _list_seen(world)
    served = sum(item.status == 200 for item in seen)
    if 4 * served < len(seen):
        yield f"{served} of {len(seen)} requests were served"
