"""Answers where this entry host would send a request now, without changing anything.

The decision code of the forwarding path answers, on copies of all state that it would
change.
"""

import collections.abc
import dataclasses
import json
import math
import urllib.parse

from lycheegauge.internal.coordination import (
    forwardrules,
    refusals,
    requestwork,
    routeexplanation,
    serverselection,
)
from lycheegauge.internal.daemons import forwarder
from lycheegauge.internal.protocol import (
    bounds,
    controlcalls,
    roster,
    routetables,
    work,
)
from lycheegauge.internal.transport import clock, controlapi

PATH = "/explain-route"

OK = 200
BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """The request to explain.

    Attributes:
        host: Its ``Host`` header.
        path: Its path.
        organisation: The organisation that sends it; empty for none.
        size: Its size, if stated.
    """

    host: str
    path: str
    organisation: str = ""
    size: controlcalls.RequestSize | None = None


def parse_question(query: str) -> Question | str:
    """Parses the query of a call; returns what is wrong if it can't be read."""
    fields = dict(urllib.parse.parse_qsl(query))
    if not fields.get("host") or not fields.get("path", "").startswith("/"):
        return "'host' and 'path' are needed, and a path begins with '/'"
    counts: dict[str, int] = {}
    for name in ("prompt_tokens", "answer_tokens", "length_hint"):
        if name in fields:
            count = bounds.parse_count(fields[name])
            if count is None:
                return f"'{name}' is not a whole number of tokens"
            counts[name] = count
    size = None
    if "prompt_tokens" in counts and "answer_tokens" in counts:
        size = controlcalls.RequestSize(
            counts["prompt_tokens"], counts["answer_tokens"], counts.get("length_hint")
        )
    elif counts:
        return "'prompt_tokens' and 'answer_tokens' are needed together"
    return Question(
        fields["host"], fields["path"], fields.get("organisation", ""), size
    )


class RouteExplainer:
    """Explains the decisions of one entry host.

    Args:
        shared: The forwarding path whose decisions are explained.
    """

    def __init__(self, shared: forwarder.Forwarder) -> None:
        self._shared = shared

    def answer(self, query: str) -> controlapi.Response:
        """Answers a call with the explanation as JSON."""
        question = parse_question(query)
        if isinstance(question, str):
            body = json.dumps({"error": question}).encode()
            return controlapi.Response(BAD_REQUEST, body)
        document = dataclasses.asdict(self.explain(question))
        return controlapi.Response(OK, json.dumps(document).encode())

    def explain(self, question: Question) -> routeexplanation.RouteExplanation:
        """Explains where a request would go now."""
        # The next request draws the same servers as this one.
        state = self._shared.random_source.getstate()
        try:
            return self._explain(question)
        finally:
            self._shared.random_source.setstate(state)

    def _explain(self, question: Question) -> routeexplanation.RouteExplanation:
        shared, now = self._shared, clock.read_clock()
        age_s = now - shared.view.refreshed_at
        explanation = routeexplanation.RouteExplanation(
            shared.part.name,
            shared.services.table_version,
            round(age_s, 3) if math.isfinite(age_s) else None,
            shared.view.get_lease_left(now),
        )
        index = shared.services.index
        route = index.find_route(question.host, question.path) if index else None
        refusal, priority = self._check(question, route, now)
        if route is None or refusal is not None:
            reason = refusal.value if refusal else ""
            return dataclasses.replace(
                explanation, route=route.name if route else "", refusal=reason
            )
        return dataclasses.replace(
            explanation,
            route=route.name,
            services=tuple(
                self._explain_service(question, route, item, priority, now)
                for item in route.services
            ),
        )

    def _check(
        self, question: Question, route: routetables.Route | None, now: float
    ) -> tuple[work.RefusalReason | None, int]:
        """Returns why the request is refused before routing, and its priority."""
        shared = self._shared
        if shared.refuses_requests:
            return work.RefusalReason.STOPPING, 0
        if shared.services.index is None:
            return work.RefusalReason.NO_ROUTE_TABLE, 0
        if not shared.view.lease.allows_start(now):
            return work.RefusalReason.LEASE_EXPIRED, 0
        if route is None:
            return work.RefusalReason.UNKNOWN_ROUTE, 0
        table = shared.services.index.table
        holders = (
            item
            for item in table.key_holders
            if item.organisation == question.organisation
        )
        holder = next(holders, None) if question.organisation else None
        if holder is None and table.needs_keys and not route.open_to_all:
            return work.RefusalReason.UNKNOWN_KEY, route.priority
        if holder is None or holder.priority is None:
            return None, route.priority
        return None, holder.priority

    def _explain_service(
        self,
        question: Question,
        route: routetables.Route,
        weighted: routetables.WeightedService,
        priority: int,
        now: float,
    ) -> routeexplanation.ServiceExplanation:
        shared = self._shared
        declared = shared.services.get(weighted.service)
        assert declared is not None
        size = shared.services.expect_size(declared.name, question.size)
        # In the order of a request, so that the same random numbers are drawn.
        admission = None
        if shared.chooser.has_server(declared.name):
            admission = shared.admission.explain(
                declared.name, route, priority, question.organisation, question.size
            )
        selection = shared.candidates.copy().select(
            declared, (), size, shared.random_source, now
        )
        return routeexplanation.make_service_explanation(
            declared.name,
            weighted.weight,
            size,
            self._explain_admission(route, priority, admission, selection, size),
            selection,
            self._list_others(declared.name, now),
        )

    def _explain_admission(
        self,
        route: routetables.Route,
        priority: int,
        admission: routeexplanation.AdmissionExplanation | None,
        selection: serverselection.Selection,
        size: requestwork.ExpectedSize | None,
    ) -> routeexplanation.AdmissionExplanation:
        """Explains whether the request would start now.

        Args:
            route: The request's route.
            priority: Its priority.
            admission: The decision of stream admission; ``None`` if it is not used.
            selection: The choice of a server, which follows if the request starts.
            size: Its expected size; ``None`` if servers are not compared by work.
        """
        is_held = admission and admission.decision != routeexplanation.STARTS
        if selection.chosen is None and not is_held:
            refused = refusals.refuse_selection(
                selection, size, self._shared.random_source
            )
            return _explain_refusal(refused, priority, admission)
        if admission is not None:
            return admission
        assert selection.chosen is not None
        server = selection.chosen.server
        too_late = self._shared.chooser.check_wait(route, server.service, server)
        if too_late is not None:
            return _explain_refusal(too_late, priority, None)
        return routeexplanation.AdmissionExplanation(priority=priority)

    def _list_others(
        self, service: str, now: float
    ) -> collections.abc.Iterator[tuple[roster.ServerListing, str]]:
        """Lists the servers of a service that may get no requests, and why not."""
        view = self._shared.view
        usable = {server.name for server in view.list_usable(now)}
        for server in view.servers.values():
            if server.service != service or server.name in usable:
                continue
            if server.leaving:
                yield server, "leaves"
            elif server.availability_zone in view.restrictions.zones_out:
                yield server, "its zone is out of service"
            else:
                yield server, "the log has recorded its departure"


def _explain_refusal(
    refused: forwardrules.GivenUp,
    priority: int,
    admission: routeexplanation.AdmissionExplanation | None,
) -> routeexplanation.AdmissionExplanation:
    """Explains a refusal that comes after stream admission, if that is used."""
    retry_after_s = refused.retry_after_s
    return dataclasses.replace(
        admission or routeexplanation.AdmissionExplanation(priority=priority),
        decision=routeexplanation.REFUSED,
        reason=refused.reason.value,
        detail=refused.detail,
        retry_after_s=round(retry_after_s, 2) if retry_after_s >= 0 else None,
    )
