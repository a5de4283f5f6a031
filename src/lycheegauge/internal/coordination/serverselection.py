"""Decides whether a request may be sent, to which backend server, or why not.

The decision depends only on its arguments: what the host knows of each server, and a
random source that draws the servers to compare. The forwarder sends by it, and
operators can ask for it without sending anything.

From a few servers drawn at random the one with the least expected work is chosen, or
with the lowest estimated fraction of busy slots if the work is not known. With this
"power of d choices" (Mitzenmacher 2001) hosts with the same old data don't all choose
the same server.

Rules are applied in the order in which they are registered. A rule with a refusal
excludes the servers that break it; any other rule is a preference, which is ignored if
no server meets it.
"""

import collections.abc
import dataclasses
import math
import random

from lycheegauge.internal.protocol import roster, work

SERVERS_SAMPLED = 3
"""Servers compared per choice while only pulled counts are known. With counts some
tenths of a second old, two servers are too few to find a free one, and with more than
four the hosts choose the same servers; see the flash crowd in the tests."""

SLOW_PACE = 1.5
"""Pace from which a server counts as slow; smaller changes of it are not reported."""

ZONE_FREE_MIN = 0.25
"""Fraction of its slots that must be free at a server that is preferred for its zone.
Other hosts of the zone may have taken some since the last news, and with a wave in one
zone the choice must leave it before streams wait."""

SERVERS_SAMPLED_WITH_NEWS = 5
"""Servers compared per choice while there are updates from all hosts. They are some
hundredths of a second old, so more servers can be compared."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What a host knows of a server that its service's requests may be sent to.

    Attributes:
        server: The server, as listed.
        busy: The estimated fraction of its slots in use; above 1 requests queue.
        is_leaving: Whether its answers said that it leaves.
        wait_s: For how long it wants no request, in seconds.
        may_send: Whether it wants requests now.
        has_connection: Whether this host may use another of its connections.
        is_within_limit: Whether the limit that it states allows another request.
        limit_interval_s: How often it takes a request from any host, in seconds; 0
            without a limit.
        is_tried: Whether this request was sent to it before.
        is_cold: Whether it is cold.
        allows_cold: Whether it is warm, or its cold rate allows another request.
        has_failed: Whether it failed here recently.
        can_hold: Whether its memory is large enough for the request.
        has_room: Whether the request fits beside those that it holds.
        work_s: The expected time that its open requests and this one will add to its
            steps, in seconds; 0 if it is not known.
        held_tokens: The estimated tokens that its requests hold.
        is_in_zone: Whether it is in the host's own availability zone.
        counts_age_s: Age of other hosts' counts, in seconds; infinite for none.
        stated_age_s: Age of the load that it stated, in seconds; infinite for none.
        listing_age_s: Age of the roster, in seconds.
        is_out: Whether it is out because of evidence.
        is_probe_due: Whether it is out and this request may probe it.
    """

    server: roster.ServerListing
    busy: float
    is_leaving: bool = False
    wait_s: float = 0.0
    may_send: bool = True
    has_connection: bool = True
    is_within_limit: bool = True
    limit_interval_s: float = 0.0
    is_tried: bool = False
    is_cold: bool = False
    allows_cold: bool = True
    has_failed: bool = False
    can_hold: bool = True
    has_room: bool = True
    work_s: float = 0.0
    held_tokens: float = 0.0
    is_in_zone: bool = False
    counts_age_s: float = math.inf
    stated_age_s: float = math.inf
    listing_age_s: float = math.inf
    is_out: bool = False
    is_probe_due: bool = False


Condition = collections.abc.Callable[[Candidate], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A condition on servers.

    Attributes:
        name: What the condition asks of a server, for operators.
        condition: Tells whether a server meets it.
        refusal: Why a request is refused if no server meets it; ``None`` for a
            preference.
        is_exceptional: Whether few servers meet it, so that breaking it says nothing
            against a server.
    """

    name: str
    condition: Condition
    refusal: work.RefusalReason | None = None
    is_exceptional: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exclusion:
    """A server that was left out, and the name of the rule that it broke."""

    candidate: Candidate
    rule: str


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The decision.

    Attributes:
        chosen: The server; ``None`` if the request must not be sent.
        refusal: Why it must not be sent.
        remaining: The servers that met all rules before the one that refused.
        excluded: The servers that were left out.
    """

    chosen: Candidate | None
    refusal: work.RefusalReason | None
    remaining: tuple[Candidate, ...]
    excluded: tuple[Exclusion, ...]


_rules: list[Rule] = []


def register_rule(
    name: str,
    refusal: work.RefusalReason | None = None,
    is_exceptional: bool = False,
) -> collections.abc.Callable[[Condition], Condition]:
    """Registers a rule behind all that are registered already."""

    def register(condition: Condition) -> Condition:
        _rules.append(Rule(name, condition, refusal, is_exceptional))
        return condition

    return register


@register_rule("can hold the request", work.RefusalReason.REQUEST_TOO_LARGE)
def _can_hold(candidate: Candidate) -> bool:
    return candidate.can_hold


@register_rule("stays", work.RefusalReason.NO_BACKEND_SERVER)
def _stays(candidate: Candidate) -> bool:
    return not candidate.is_leaving


@register_rule("wants requests", work.RefusalReason.SERVER_WAIT)
def _wants_requests(candidate: Candidate) -> bool:
    return candidate.may_send


@register_rule("has a connection left", work.RefusalReason.BACKEND_SERVERS_FULL)
def _has_connection(candidate: Candidate) -> bool:
    return candidate.has_connection


@register_rule("can be reached by the log's leader")
def _is_reachable(candidate: Candidate) -> bool:
    return not candidate.server.silent


@register_rule("is within its limit", work.RefusalReason.SERVER_LIMIT)
def _is_within_limit(candidate: Candidate) -> bool:
    return candidate.is_within_limit


@register_rule("has memory left", work.RefusalReason.SERVER_MEMORY_FULL)
def _has_room(candidate: Candidate) -> bool:
    return candidate.has_room


@register_rule("was not tried")
def _was_not_tried(candidate: Candidate) -> bool:
    return not candidate.is_tried


@register_rule("is warm enough", work.RefusalReason.COLD_LIMIT)
def _is_warm_enough(candidate: Candidate) -> bool:
    return candidate.allows_cold


@register_rule("is due for a probe", is_exceptional=True)
def _is_due_for_probe(candidate: Candidate) -> bool:
    return candidate.is_probe_due


@register_rule("is not out because of evidence")
def _is_not_out(candidate: Candidate) -> bool:
    return not candidate.is_out


@register_rule("has not failed recently")
def _has_not_failed(candidate: Candidate) -> bool:
    return not candidate.has_failed


def list_broken_rules(candidate: Candidate) -> list[str]:
    """Lists the rules that a server breaks, by name."""
    return [
        rule.name
        for rule in _rules
        if not rule.is_exceptional and not rule.condition(candidate)
    ]


def select_server(
    candidates: collections.abc.Iterable[Candidate],
    has_recent_news: bool,
    random_source: random.Random,
    zone_tolerance: float | None = None,
) -> Selection:
    """Selects a server for a request.

    Args:
        candidates: The servers of the request's service.
        has_recent_news: Whether there are updates of the servers' loads from all
            hosts.
        random_source: Draws the servers to compare.
        zone_tolerance: The fraction of slots by which a server in the host's zone may
            be busier than the best one elsewhere; ``None`` ignores zones.
    """
    remaining = list(candidates)
    excluded: list[Exclusion] = []
    if not remaining:
        return Selection(None, work.RefusalReason.NO_BACKEND_SERVER, (), ())
    for rule in _rules:
        kept = [item for item in remaining if rule.condition(item)]
        if not kept and rule.refusal is None:
            continue
        if len(kept) < len(remaining):
            excluded += [
                Exclusion(item, rule.name)
                for item in remaining
                if not rule.condition(item)
            ]
        if not kept:
            return Selection(None, rule.refusal, tuple(remaining), tuple(excluded))
        remaining = kept
    count = SERVERS_SAMPLED_WITH_NEWS if has_recent_news else SERVERS_SAMPLED
    if zone_tolerance is None:
        chosen = _choose_least_loaded(remaining, count, random_source)
    else:
        chosen = _choose_by_zone(remaining, count, random_source, zone_tolerance)
    return Selection(chosen, None, tuple(remaining), tuple(excluded))


def _choose_by_zone(
    candidates: collections.abc.Sequence[Candidate],
    count: int,
    random_source: random.Random,
    tolerance: float,
) -> Candidate:
    """Chooses a server in the host's zone unless callers would wait for longer."""
    in_zone = [item for item in candidates if item.is_in_zone]
    elsewhere = [item for item in candidates if not item.is_in_zone]
    if not in_zone or not elsewhere:
        return _choose_least_loaded(candidates, count, random_source)
    near = _choose_least_loaded(in_zone, count, random_source)
    far = _choose_least_loaded(elsewhere, count, random_source)
    is_free = near.busy <= 1.0 - ZONE_FREE_MIN
    if is_free and near.busy - far.busy <= tolerance:
        return near
    return min(near, far, key=_rank_load)


def _choose_least_loaded(
    candidates: collections.abc.Sequence[Candidate],
    count: int,
    random_source: random.Random,
) -> Candidate:
    """Chooses the least loaded of a few servers; of all, if those are full or slow."""
    sampled = random_source.sample(candidates, min(count, len(candidates)))
    best = min(sampled, key=_rank_load)
    if best.busy < 1.0 and not (best.work_s and is_slow(best)):
        return best
    # Another server than those drawn may have a free slot or run at its usual pace. A
    # single stream at a slow rank makes the passes of its whole group longer.
    better = [item for item in candidates if item.busy < 1.0 and not is_slow(item)]
    if not best.work_s or not better:
        return min(candidates, key=_rank_load) if best.busy >= 1.0 else best
    # Drawn again, or all hosts would choose the same of the few that are left.
    drawn = random_source.sample(better, min(count, len(better)))
    return min(best, *drawn, key=_rank_load)


def is_slow(candidate: Candidate) -> bool:
    """Tells whether a server's passes take much longer than usual."""
    return candidate.server.pace >= SLOW_PACE


def _rank_load(candidate: Candidate) -> tuple[bool, float, float]:
    """Orders servers by their load, those with a free slot first."""
    return candidate.busy >= 1.0, candidate.work_s, candidate.busy
