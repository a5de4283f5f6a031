"""Refusals of requests that no server may get, with the time to retry."""

import random

from lycheegauge.internal.coordination import (
    forwardrules,
    requestwork,
    serverselection,
)
from lycheegauge.internal.protocol import work

RETRY_AFTER_S = {
    work.RefusalReason.LEASE_EXPIRED: 0.5,
    work.RefusalReason.NO_ROUTE_TABLE: 0.5,
    work.RefusalReason.NO_BACKEND_SERVER: 0.7,
    work.RefusalReason.BACKEND_SERVERS_FULL: 0.4,
    work.RefusalReason.COLD_LIMIT: 0.4,
    work.RefusalReason.RETRY_BUDGET_SPENT: 0.5,
    work.RefusalReason.STOPPING: 0.05,
    work.RefusalReason.MEMORY_FULL: 1.0,
    work.RefusalReason.SUSPECT_BUSY: 1.0,
}
"""When a refused caller may retry, in seconds: after one or two pulls where the entry
host lacks state, after about a third of a typical response time where slots are full,
at once where another entry host can serve, and after the time in which stalled answers
are ended where memory is full, and after about the time that a suspected request runs
alone where another one does."""

DEFAULT_RETRY_AFTER_S = 0.5

LIMIT_RETRY_AFTER_MAX_S = 2.0

WAIT_RETRY_AFTER_MIN_S = 0.1
RETRY_SPREAD_S = 0.5
"""Callers that are told the same time to come back are spread over this, in seconds."""


def refuse(reason: work.RefusalReason, detail: str = "") -> forwardrules.GivenUp:
    """Builds the refusal of a request that was not run."""
    after_s = RETRY_AFTER_S.get(reason, DEFAULT_RETRY_AFTER_S)
    return forwardrules.give_up(reason, work.RunState.NOT_RUN, after_s, detail)


def refuse_selection(
    selection: serverselection.Selection,
    size: requestwork.ExpectedSize | None,
    random_source: random.Random,
) -> forwardrules.GivenUp:
    """Builds the refusal of a request that no server may get now.

    Args:
        selection: The choice of a server, which found none.
        size: The expected size of the request; ``None`` if it is not known.
        random_source: Spreads the callers that are told to come back.
    """
    assert selection.refusal is not None
    if selection.refusal is work.RefusalReason.REQUEST_TOO_LARGE:
        assert size is not None
        needed = f"the request needs {size.tokens} tokens of a server's memory"
        return refuse(selection.refusal, f"{needed}, more than one has")
    if selection.refusal is work.RefusalReason.SERVER_WAIT:
        return _refuse_by_wait(selection.remaining, random_source)
    if selection.refusal is work.RefusalReason.SERVER_LIMIT:
        return _refuse_by_limit(selection.remaining)
    return refuse(selection.refusal)


def _refuse_by_limit(
    servers: tuple[serverselection.Candidate, ...],
) -> forwardrules.GivenUp:
    """Refuses a request until one of the servers takes another one."""
    shortest_s = min(server.limit_interval_s for server in servers)
    after_s = min(LIMIT_RETRY_AFTER_MAX_S, shortest_s)
    return forwardrules.give_up(
        work.RefusalReason.SERVER_LIMIT,
        work.RunState.NOT_RUN,
        after_s,
        f"{len(servers)} servers state a limit on their requests",
    )


def _refuse_by_wait(
    servers: tuple[serverselection.Candidate, ...], random_source: random.Random
) -> forwardrules.GivenUp:
    """Refuses a request until the first of the servers wants requests again."""
    shortest_s = min(server.wait_s for server in servers)
    after_s = max(WAIT_RETRY_AFTER_MIN_S, shortest_s)
    after_s += random_source.uniform(0.0, RETRY_SPREAD_S)
    return forwardrules.give_up(
        work.RefusalReason.SERVER_WAIT,
        work.RunState.NOT_RUN,
        after_s,
        f"{len(servers)} servers want no request for {shortest_s:.2f} s or more",
    )
