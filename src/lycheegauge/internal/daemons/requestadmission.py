"""Admits one forwarded request, before its first attempt."""

import math

from lycheegauge.internal.coordination import (
    crashes,
    forwardrules,
    refusals,
    requestwork,
    routeindex,
)
from lycheegauge.internal.daemons import forwarder, streamadmissions
from lycheegauge.internal.protocol import (
    bounds,
    calls,
    controlcalls,
    routetables,
    work,
)
from lycheegauge.internal.transport import clock, ingress

START_WAIT_MAX_S = 1.8
"""Maximum wait of a request for a host that is starting, in seconds. A host that
started together with all others usually knows the table and the servers by then. Many
callers of streams leave after two seconds without an event, so a request that would
wait for longer is refused in time, with the time after which to retry."""

START_WAIT_DIVISOR = 2
"""A request waits for a starting host at most its time to the deadline divided by
this."""

TRANSIENT_REASONS = (
    work.RefusalReason.NO_ROUTE_TABLE,
    work.RefusalReason.LEASE_EXPIRED,
    work.RefusalReason.NO_BACKEND_SERVER,
)
"""Reasons for a refusal that the next pull may remove."""


class RequestAdmission:
    """Decides whether a request is forwarded, and what applies to it.

    Attributes:
        route: Its route; ``None`` if it has none or was refused before routing.
        service: Its service; empty until one is chosen.
        organisation: The organisation of its key; empty for none.
        priority: The priority of its key; ``None`` if the route's applies.
        deadline: When its caller gives up, by the clock.
        size: Its expected size; ``None`` if servers are not compared by work.
        parts: The parts that its prompt shares with others, by service.
        is_retrial: Whether it is refused and may run alone once more.

    Args:
        shared: The state shared by all requests of the entry host.
        exchange: The request and its response to the caller.
    """

    def __init__(self, shared: forwarder.Forwarder, exchange: ingress.Exchange) -> None:
        self._shared = shared
        self._exchange = exchange
        self._names = shared.dialect.headers
        self._ticket: streamadmissions.Ticket | None = None
        self._digest = ""
        self.route: routetables.Route | None = None
        self.service = ""
        self.organisation = ""
        self.priority: int | None = None
        self.deadline = math.inf
        self.size: requestwork.ExpectedSize | None = None
        self.parts: tuple[str, ...] = ()
        self.is_retrial = False

    async def enter(self) -> forwardrules.GivenUp | None:
        """Admits the request, which may wait; returns the reason if it is refused."""
        refusal = await self._admit_or_wait()
        if refusal is not None:
            return refusal
        self._ticket = self._make_ticket()
        return await self._shared.admission.enter(self._ticket)

    def leave(self) -> None:
        """Records that the request ended."""
        self._shared.admission.leave(self._ticket)

    @property
    def is_in_stream_admission(self) -> bool:
        """Whether the admission of streams decides when the request starts."""
        return self._ticket is not None

    @property
    def remaining_s(self) -> float:
        """The time to the deadline, in seconds."""
        return self.deadline - clock.read_clock()

    def get_priority(self) -> int:
        """Returns the priority that applies; 0 is the most urgent."""
        assert self.route is not None
        return self.route.priority if self.priority is None else self.priority

    def digest_request(self) -> str:
        """Returns a digest that identifies the request when it is sent again.

        Call it only once the organisation is known.
        """
        if not self._digest:
            exchange = self._exchange
            place = f"{self.organisation} {exchange.method} {exchange.target}"
            self._digest = calls.digest_content(place, exchange.body)
        return self._digest

    def _is_quarantined(self) -> bool:
        """Tells whether the request must not run, since it crashed servers before."""
        detector, fingerprint = self._shared.crashdetector, self.digest_request()
        if detector.get_verdict(fingerprint) is not crashes.Verdict.REFUSED:
            return False
        if not self.is_retrial:
            now = clock.read_clock()
            self.is_retrial = detector.take_retrial(fingerprint, now)
        return not self.is_retrial

    def _find_refused_part(self) -> str:
        """Returns a part of the prompt that must not run, or an empty string."""
        detector = self._shared.crashdetector.parts
        part = detector.find_refused(self.parts)
        if part and not self.is_retrial:
            self.is_retrial = detector.take_retrial(part, clock.read_clock())
        return "" if self.is_retrial else part

    def name_route(self) -> str:
        """Returns the route's name, also if the request was refused before routing."""
        if self.route is not None:
            return self.route.name
        index = self._shared.services.index
        route = self._find_route(index) if index else None
        return route.name if route else ""

    def _find_route(self, index: routeindex.RouteIndex) -> routetables.Route | None:
        host = self._exchange.headers.get("Host", "")
        return index.find_route(host, self._exchange.target)

    async def _admit_or_wait(self) -> forwardrules.GivenUp | None:
        """Admits the request; a host that has just started first waits for updates."""
        share_s = self._read_time_left() / START_WAIT_DIVISOR
        until = self._exchange.arrived_at + min(share_s, START_WAIT_MAX_S)
        while True:
            refusal = self._admit()
            if refusal is None or refusal.reason not in TRANSIENT_REASONS:
                return refusal
            left_s = until - clock.read_clock()
            if not await self._shared.start_wait.wait_for_update(left_s):
                return refusal

    def _admit(self) -> forwardrules.GivenUp | None:
        shared, index = self._shared, self._shared.services.index
        if self._exchange.is_body_refused:
            detail = "too many bytes are held for other requests"
            return refusals.refuse(work.RefusalReason.MEMORY_FULL, detail)
        if shared.refuses_requests:
            return refusals.refuse(work.RefusalReason.STOPPING)
        if index is None:
            return refusals.refuse(work.RefusalReason.NO_ROUTE_TABLE)
        if not shared.view.lease.allows_start(clock.read_clock()):
            return refusals.refuse(work.RefusalReason.LEASE_EXPIRED)
        self.route = route = self._find_route(index)
        if route is None:
            return refusals.refuse(work.RefusalReason.UNKNOWN_ROUTE)
        return self._admit_on_route(index, route)

    def _admit_on_route(
        self, index: routeindex.RouteIndex, route: routetables.Route
    ) -> forwardrules.GivenUp | None:
        shared = self._shared
        if not self._check_key(index, route):
            return refusals.refuse(work.RefusalReason.UNKNOWN_KEY)
        if shared.crashdetector.has_suspects and self._is_quarantined():
            return refusals.refuse(work.RefusalReason.QUARANTINED)
        self.service = routeindex.choose_service(route, shared.random_source)
        if shared.part.server_choice.weigh_work:
            self.size = shared.services.expect_size(self.service, self._parse_size())
        self.parts = self._list_parts()
        crashed = self._find_refused_part()
        if crashed:
            return refuse_part(crashed)
        left_s = min(route.timeout_s, self._read_time_left())
        self.deadline = self._exchange.arrived_at + left_s
        if not shared.chooser.has_server(self.service):
            return refusals.refuse(work.RefusalReason.NO_BACKEND_SERVER)
        shared.note_request(self.service)
        return None

    def _check_key(
        self, index: routeindex.RouteIndex, route: routetables.Route
    ) -> bool:
        """Finds the holder of the request's key; returns whether it may proceed."""
        if not index.table.needs_keys:
            return True
        header = self._exchange.headers.get("Authorization", "")
        holder = index.find_holder(self._shared.dialect.parse_api_key(header))
        if holder is not None:
            self.organisation = holder.organisation
            self.priority = holder.priority
        return holder is not None or route.open_to_all

    def _parse_size(self) -> controlcalls.RequestSize | None:
        fields, names = self._exchange.headers, self._names
        return self._shared.dialect.parse_request_size(
            fields.get(names.token_counts, ""), fields.get(names.length_hint, "")
        )

    def _list_parts(self) -> tuple[str, ...]:
        """Lists the parts that the prompt shares with others, by service."""
        header = self._exchange.headers.get(self._names.prompt_parts, "")
        ids = self._shared.dialect.parse_prompt_parts(header)
        return tuple(f"{self.service}/{part}" for part in ids)

    def _make_ticket(self) -> streamadmissions.Ticket | None:
        """Creates the request's ticket for the admission of streams, if it is used."""
        assert self.route is not None
        if not self._shared.admission.is_used(self.service):
            return None
        return self._shared.admission.make_ticket(
            self.service,
            self.route,
            self.priority,
            self.organisation,
            self._parse_size(),
            (self._exchange.arrived_at, self.deadline),
            len(self._exchange.body),
            self.digest_request,
        )

    def _read_time_left(self) -> float:
        """Returns how long the caller waits, in seconds; infinite if not stated."""
        header = self._exchange.headers.get(self._names.time_left_ms, "")
        return bounds.parse_duration_ms(header)


def refuse_part(part: str) -> forwardrules.GivenUp:
    """Builds the refusal of a request with a part that crashed servers."""
    detail = f"part {part} of the prompt crashed servers"
    return refusals.refuse(work.RefusalReason.QUARANTINED, detail)
