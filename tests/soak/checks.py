"""Invariants, checked on what callers and backend servers recorded.

Each check takes the fleet after its run and yields a description of each violation.
The bounds are those that docs/promises.md states.
"""

import collections

from support import forwardingfleet, processes

from soak import callers, soakfleet

DEPARTURE_S = 2.5
"""Time until a departure is in force everywhere: a lease, plus requests in flight."""

ZONE_OUT_S = 5.0
REVOKE_S = 5.0
SLACK_S = 0.5
"""Longest time that a delayed chunk may take from its gateway to a server."""

RECOVERY_S = 12.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
_checks = {}


def register_check(run):
    """Registers a check under the name of its function."""
    _checks[run.__name__] = run
    return run


def run_checks(fleet):
    """Runs all checks; returns the violations as (check, description)."""
    return [
        (name, found)
        for name, check in sorted(_checks.items())
        for found in check(fleet)
    ]


def _list_observed(fleet):
    return [observed for caller in fleet.callers for observed in caller.observed]


def _count_runs(fleet):
    runs = collections.Counter()
    for server in fleet.servers:
        runs.update(server.runs)
    return runs


@register_check
def at_most_once(fleet):
    """A request that must not be repeated runs at most once."""
    runs = _count_runs(fleet)
    for observed in _list_observed(fleet):
        if observed.path.startswith("/unsafe/") and runs[observed.request_id] > 1:
            yield f"{observed.request_id} ran {runs[observed.request_id]} times"


@register_check
def refused_requests_never_run(fleet):
    """A request that was refused as not run has not run and does not run later."""
    runs = _count_runs(fleet)
    for observed in _list_observed(fleet):
        is_unsafe = observed.path.startswith("/unsafe/")
        if (
            is_unsafe
            and observed.status in NOT_RUN_STATUSES
            and runs[observed.request_id]
        ):
            yield f"{observed.request_id} was answered {observed.status} and ran"


@register_check
def answers_are_complete(fleet):
    """Answers are complete; streams have no missing and no repeated event."""
    events = range(1, forwardingfleet.EVENTS + 1)
    stream = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in events).encode()
    names = {server.name.encode() for server in fleet.servers}
    for observed in _list_observed(fleet):
        if observed.status != 200:
            continue
        is_stream = observed.path.startswith("/stream/")
        if is_stream and observed.body != stream:
            yield f"{observed.request_id} got the stream {observed.body[:200]!r}"
        if observed.path == callers.LARGE_PATH:
            names_here = {name * soakfleet.LARGE_COPIES for name in names}
        else:
            names_here = names
        if not is_stream and observed.body not in names_here:
            yield f"{observed.request_id} got {observed.body[:80]!r}"


@register_check
def valid_requests_are_accepted(fleet):
    """Valid requests with a valid key are not rejected with a client error."""
    for observed in _list_observed(fleet):
        is_held = (
            observed.key not in fleet.revoked_at
            and observed.key in fleet.held_keys.values()
        )
        if (
            is_held
            and 400 <= observed.status < 500
            and observed.status not in NOT_RUN_STATUSES
        ):
            yield f"{observed.request_id} was answered {observed.status}"


@register_check
def removed_keys_are_refused(fleet):
    """No request that is sent ``REVOKE_S`` after a key's removal runs with it."""
    runs = _count_runs(fleet)
    for observed in _list_observed(fleet):
        removed_at = fleet.revoked_at.get(observed.key)
        if removed_at is not None and observed.sent_at > removed_at + REVOKE_S:
            if runs[observed.request_id]:
                late_s = observed.sent_at - removed_at
                yield (
                    f"{observed.request_id} ran {late_s:.1f} s"
                    " after its key was removed"
                )


@register_check
def removed_zones_get_no_requests(fleet):
    """A zone that is out of service gets no requests."""
    for zone, out_at, back_at in fleet.zone_outages:
        for server in fleet.servers:
            if server.zone != zone:
                continue
            for ran_at, request_id, *_ in server.log:
                if out_at + ZONE_OUT_S + SLACK_S < ran_at < (back_at or ran_at + 1):
                    yield f"{request_id} ran in {zone}, {ran_at - out_at:.1f} s after"


@register_check
def departed_servers_get_no_requests(fleet):
    """A server that has announced its departure gets no requests."""
    for server in fleet.servers:
        departure_at = fleet.departed_at.get(server.name)
        if departure_at is None:
            continue
        for ran_at, request_id, *_ in server.log:
            if ran_at > departure_at + DEPARTURE_S + SLACK_S:
                late_s = ran_at - departure_at
                yield f"{request_id} ran at {server.name}, {late_s:.1f} s after it left"


@register_check
def leaving_servers_get_few_requests(fleet):
    """A server whose answers say that it leaves gets no request from those it told.

    A gateway that was not told yet may have sent one request of each caller before
    the first answer arrives.
    """
    gateways = sum(name.startswith("gateway") for name in fleet.started)
    for server in fleet.servers:
        if not server.said_leaving_at or server.crashes:
            continue
        until = min(server.said_leaving_at) + DEPARTURE_S + SLACK_S
        late = [request_id for ran_at, request_id, *_ in server.log if ran_at > until]
        if len(late) > gateways * len(fleet.callers):
            yield f"{len(late)} requests ran at {server.name} after it said it leaves"


@register_check
def acknowledged_table_is_kept(fleet):
    """Reading the route table returns the newest acknowledged version."""
    document = fleet.call_control("/routes").document
    if document["version"] != fleet.version:
        yield f"read version {document['version']}, acknowledged {fleet.version}"


@register_check
def gateways_recover(fleet):
    """All gateways serve again within ``RECOVERY_S`` of the last fault."""
    if not fleet.is_recovered:
        yield f"some gateways did not serve within {RECOVERY_S} s of the last fault"


@register_check
def held_bytes_are_returned(fleet):
    """Without callers, no gateway counts bytes as held for one."""
    for number in range(len(fleet.gateways)):
        try:
            processes.wait_until(
                lambda number=number: fleet.read_held_bytes(number) == 0.0,
                "held bytes are returned",
            )
        except AssertionError:
            held_bytes = fleet.read_held_bytes(number)
            yield f"gateway {number + 1} still counts {held_bytes} bytes as held"
            return


@register_check
def serves_during_faults(fleet):
    """At least a quarter of the requests are served in spite of the faults."""
    observed = _list_observed(fleet)
    served = sum(item.status == 200 for item in observed)
    if 4 * served < len(observed):
        yield f"{served} of {len(observed)} requests were served"
