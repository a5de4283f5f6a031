"""Explains where a request would be sent now, and what counted for each server."""

import collections.abc
import dataclasses
import math

from lycheegauge.internal.coordination import requestwork, serverselection
from lycheegauge.internal.protocol import roster

CHOSEN = "chosen"
ELIGIBLE = "eligible"
LEFT_OUT = "left out"

STARTS = "starts"
WAITS = "waits"
REFUSED = "refused"


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
    """

    decision: str = STARTS
    reason: str = ""
    detail: str = ""
    priority: int = 0
    wait_s: float = 0.0
    retry_after_s: float | None = None
    streams: float | None = None
    capacity: float | None = None


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
