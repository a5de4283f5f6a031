"""Explains where a request would be sent now, and what counted for each server."""

import collections.abc
import dataclasses
import math

from lycheegauge.internal.coordination import (
    forwardrules,
    requestwork,
    serverselection,
    streamadmission,
    streamgate,
)
from lycheegauge.internal.protocol import roster

CHOSEN = "chosen"
ELIGIBLE = "eligible"
LEFT_OUT = "left out"

STARTS = "starts"
WAITS = "waits"
REFUSED = "refused"

DECISIONS = {
    streamadmission.Verdict.START: STARTS,
    streamadmission.Verdict.WAIT: WAITS,
    streamadmission.Verdict.REFUSE: REFUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionExplanation:
    """Whether a request would start now.

    Attributes:
        decision: ``STARTS``, ``WAITS`` or ``REFUSED``.
        reason: Why it is refused; empty unless it is.
        detail: Additional text.
        priority: The priority that applies; 0 is the most urgent.
        wait_s: The expected wait, in seconds.
        retry_after_s: When to retry a refused request, in seconds; ``None`` if that
            can't help or the request is not refused.
        streams: Streams open at all hosts; ``None`` if they are not limited.
        capacity: Streams that may be open; ``None`` if they are not limited.
        streams_age_s: Age of the other hosts' counts of streams, in seconds; ``None``
            for none.
        pass_s: The time of a pass, in seconds; ``None`` if streams are not limited.
        pass_age_s: Its age, in seconds; ``None`` if it is modelled.
        level: The rank of the priority among those of the service, from 0; ``None``
            if streams are not limited.
        levels: The number of levels.
        headroom: Streams that the level leaves free for more urgent ones; negative if
            it may exceed the capacity.
        ahead: Waiting requests that start before this one.
        wait_max_s: How long the request may wait, in seconds.
    """

    decision: str = STARTS
    reason: str = ""
    detail: str = ""
    priority: int = 0
    wait_s: float = 0.0
    retry_after_s: float | None = None
    streams: float | None = None
    capacity: float | None = None
    streams_age_s: float | None = None
    pass_s: float | None = None
    pass_age_s: float | None = None
    level: int | None = None
    levels: int = 0
    headroom: float = 0.0
    ahead: int = 0
    wait_max_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerExplanation:
    """What counted for or against a server.

    Attributes:
        verdict: ``CHOSEN``, ``ELIGIBLE`` or ``LEFT_OUT``.
        against: What counted against it.
        in_favour: What counted in its favour.
        busy: The estimated fraction of its slots in use.
        work_s: The expected work there with the request, in seconds; ``None`` if
            servers are not compared by it.
        held_tokens: The estimated tokens that it holds.
        pace: How many times longer than usual its passes take; ``None`` if unknown.
        counts_age_s: Age of the other hosts' counts, in seconds; ``None`` for none.
        stated_age_s: Age of the load that it stated, in seconds; ``None`` for none.
        roster_age_s: Age of the roster that lists it, in seconds.
    """

    server: str
    availability_zone: str
    verdict: str
    against: tuple[str, ...]
    in_favour: tuple[str, ...] = ()
    busy: float | None = None
    work_s: float | None = None
    held_tokens: int | None = None
    pace: float | None = None
    counts_age_s: float | None = None
    stated_age_s: float | None = None
    roster_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceExplanation:
    """Where a request would go if its route chose this service.

    Attributes:
        weight: The service's weight among those of the route.
        prompt_tokens: The tokens to be read; ``None`` if servers are not compared by
            the work of requests.
        answer_tokens: The tokens expected to be written.
        chosen: The server; ``None`` if none is chosen.
    """

    service: str
    weight: float
    prompt_tokens: int | None
    answer_tokens: int | None
    admission: AdmissionExplanation
    chosen: str | None
    servers: tuple[ServerExplanation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteExplanation:
    """Where an entry host would send a request now.

    Attributes:
        entry_host: The host that would decide.
        table_version: The version of its route table; 0 for none.
        table_age_s: Seconds since the log's leader confirmed the table.
        lease_left_s: For how long it may still serve without news, in seconds.
        route: The name of the route; empty for none.
        refusal: Why the request would be refused before a service is chosen.
        services: The services of the route.
    """

    entry_host: str
    table_version: int
    table_age_s: float | None
    lease_left_s: float
    route: str = ""
    refusal: str = ""
    services: tuple[ServiceExplanation, ...] = ()


def explain_admission(
    explained: streamgate.Explanation,
    priority: int,
    refused: forwardrules.GivenUp | None,
    streams_age_s: float,
) -> AdmissionExplanation:
    """Puts together what stream admission decided about a request.

    Args:
        explained: The decision and what it depends on.
        priority: The priority of the request.
        refused: The refusal, if it is refused.
        streams_age_s: Age of the other hosts' counts of streams, in seconds.
    """
    decision, host = explained.decision, explained.host
    limit, age_s = host.capacity.limit, explained.pass_age_s
    return AdmissionExplanation(
        DECISIONS[decision.verdict],
        refused.reason.value if refused else "",
        refused.detail if refused else "",
        priority,
        round(decision.expected_s, 3),
        round(refused.retry_after_s, 2) if refused else None,
        round(host.own + host.others, 1),
        round(limit, 1) if math.isfinite(limit) else None,
        _round_age(streams_age_s),
        round(host.capacity.pass_s, 4),
        None if age_s is None else round(age_s, 3),
        explained.level,
        explained.levels,
        round(host.headroom, 1),
        host.ahead,
        round(decision.wait_max_s, 3),
    )


def explain_servers(
    selection: serverselection.Selection,
    listed: collections.abc.Iterable[tuple[roster.ServerListing, str]],
) -> tuple[ServerExplanation, ...]:
    """Explains a selection, the chosen server first.

    Args:
        selection: The decision.
        listed: Servers that were no candidates, with the reason.
    """
    chosen = selection.chosen
    rules = {item.candidate.server.name: item.rule for item in selection.excluded}
    candidates = [item.candidate for item in selection.excluded]
    # After a refusal the last excluded servers are the remaining ones.
    candidates += [
        item for item in selection.remaining if item.server.name not in rules
    ]
    explained = [
        _explain_candidate(item, rules.get(item.server.name), item is chosen)
        for item in candidates
    ]
    order = (CHOSEN, ELIGIBLE, LEFT_OUT)
    explained.sort(key=lambda item: (order.index(item.verdict), item.server))
    explained += [
        ServerExplanation(server.name, server.availability_zone, LEFT_OUT, (reason,))
        for server, reason in listed
    ]
    return tuple(explained)


def _explain_candidate(
    candidate: serverselection.Candidate, rule: str | None, is_chosen: bool
) -> ServerExplanation:
    server = candidate.server
    broken = serverselection.list_broken_rules(candidate)
    verdict = CHOSEN if is_chosen else LEFT_OUT if rule else ELIGIBLE
    is_weighed = candidate.work_s > 0.0
    return ServerExplanation(
        server.name,
        server.availability_zone,
        verdict,
        tuple(f"not: {name}" for name in broken) + _list_against(candidate),
        ("in the host's zone",) if candidate.is_in_zone else (),
        round(candidate.busy, 3),
        round(candidate.work_s, 4) if is_weighed else None,
        round(candidate.held_tokens) if is_weighed else None,
        server.pace or None,
        _round_age(candidate.counts_age_s),
        _round_age(candidate.stated_age_s),
        _round_age(candidate.listing_age_s),
    )


def _list_against(candidate: serverselection.Candidate) -> tuple[str, ...]:
    against = []
    if candidate.busy >= 1.0:
        against.append("no free slot")
    if serverselection.is_slow(candidate):
        against.append("slower than usual")
    if candidate.wait_s > 0.0:
        against.append(f"wants no request for {candidate.wait_s:.2f} s")
    if candidate.is_cold:
        against.append("cold")
    return tuple(against)


def _round_age(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None


def make_service_explanation(
    name: str,
    weight: float,
    size: requestwork.ExpectedSize | None,
    admission: AdmissionExplanation,
    selection: serverselection.Selection,
    listed: collections.abc.Iterable[tuple[roster.ServerListing, str]],
) -> ServiceExplanation:
    """Puts together what was decided for one service of a route."""
    return ServiceExplanation(
        name,
        weight,
        size.prompt_tokens if size else None,
        size.answer_tokens if size else None,
        admission,
        selection.chosen.server.name if selection.chosen else None,
        explain_servers(selection, listed),
    )
