"""Logs the events of one forwarded request, with the inputs to each decision."""

from lycheegauge.internal import events
from lycheegauge.internal.coordination import forwardrules
from lycheegauge.internal.daemons import forwarder
from lycheegauge.internal.protocol import roster, routetables
from lycheegauge.internal.transport import bytebudget, clock, upstream


class RequestRecord:
    """Holds what the log events of one request have in common.

    Attributes:
        first_part_at: When the first part of the response was forwarded, in seconds.

    Args:
        shared: The state shared by all requests of the entry host.
        request_id: The caller's ID for the request.
        arrived_at: When the request was read, in seconds.
    """

    def __init__(
        self, shared: forwarder.Forwarder, request_id: str, arrived_at: float
    ) -> None:
        self.first_part_at: float | None = None
        self._last_part_at: float | None = None
        self._longest_gap_s = 0.0
        self._shared = shared
        self._request_id = request_id
        self._arrived_at = arrived_at
        self._server = ""
        self._is_answered = False

    @property
    def _waited_ms(self) -> int:
        return round((clock.read_clock() - self._arrived_at) * 1000)

    def write_sent(
        self,
        server: roster.ServerListing,
        service: str,
        attempt: int,
        deadline: float,
        resumed_after: str,
        connection: upstream.UpstreamConnection,
    ) -> None:
        """Logs the server that an attempt is sent to, and why it was chosen."""
        shared, now = self._shared, clock.read_clock()
        self._server = server.name
        events.write_event(
            events.RequestSent(
                self._request_id,
                service,
                server.name,
                attempt,
                len(shared.view.list_usable(now)),
                round(shared.choice.estimate(server, 1, now), 2),
                round(now - shared.view.refreshed_at, 3),
                shared.services.table_version,
                shared.view.get_lease_left(now),
                round((deadline - now) * 1000),
                resumed_after,
                connection.number,
                connection.request_count + 1,
            )
        )

    def write_refused(
        self,
        server: roster.ServerListing,
        head: upstream.ResponseHead,
        connection: upstream.UpstreamConnection,
        sent_at: float,
    ) -> None:
        """Logs that a server did not run an attempt."""
        answered_ms = round((clock.read_clock() - sent_at) * 1000)
        events.write_event(
            events.AttemptRefused(
                self._request_id,
                server.name,
                head.status,
                connection.number,
                answered_ms,
            )
        )

    def write_retry_allowed(self, service: str, budget: str) -> None:
        """Logs that the retry budget allowed another attempt, and what is left."""
        events.write_event(events.RetryAllowed(self._request_id, service, budget))

    def write_runs_alone(
        self,
        service: str,
        fingerprint: str,
        crashes: frozenset[str],
        parts: tuple[str, ...],
    ) -> None:
        """Logs that the request got the suspect slot of its service."""
        events.write_event(
            events.SuspectedRequestRunsAlone(
                self._request_id,
                service,
                fingerprint,
                ",".join(sorted(crashes)),
                ",".join(parts),
            )
        )

    def write_hedged(
        self, server: str, late_server: str, sent_at: float, budget: str
    ) -> None:
        """Logs that a copy is sent to another server."""
        late_ms = round((clock.read_clock() - sent_at) * 1000)
        events.write_event(
            events.RequestHedged(self._request_id, server, late_server, late_ms, budget)
        )

    def write_copy_answered(self, server: str, late_server: str) -> None:
        """Logs that the answer to the copy is passed on."""
        self._server = server
        events.write_event(events.CopyAnswered(self._request_id, server, late_server))

    def write_failed(
        self,
        server: roster.ServerListing,
        was_run: bool,
        detail: str,
        left_out_s: float,
    ) -> None:
        """Logs that a server did not complete an attempt."""
        events.write_event(
            events.AttemptFailed(
                self._request_id, server.name, was_run, detail, left_out_s
            )
        )

    def note_part(self, now: float) -> float:
        """Records that a part of the response is forwarded.

        Returns:
            The pause since the previous part, in seconds; 0 for the first one.
        """
        gap_s = now - self._last_part_at if self._last_part_at is not None else 0.0
        self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_part_at = now
        return gap_s

    def skip_delay(self, delay_s: float) -> None:
        """Leaves out of the next pause what the caller itself caused, in seconds."""
        if delay_s and self._last_part_at is not None:
            self._last_part_at += delay_s

    def write_answered(
        self, route: routetables.Route, head: upstream.ResponseHead, runs: int
    ) -> None:
        """Logs that a response was forwarded to its end, and records its timings."""
        self._is_answered = True
        now = clock.read_clock()
        first_s = (self.first_part_at or now) - self._arrived_at
        self._shared.metrics.record_first_token(first_s)
        self._shared.metrics.record_total(now - self._arrived_at)
        self._shared.metrics.record_gap(self._longest_gap_s)
        events.write_event(
            events.RequestAnswered(
                self._request_id,
                self._server,
                head.status,
                round(first_s * 1000),
                self._waited_ms,
                round(self._longest_gap_s * 1000),
                runs,
                head.framing.value,
            )
        )
        self._shared.outcomes.count_answered(route, first_s, self._longest_gap_s)

    def write_given_up(
        self,
        given_up: forwardrules.GivenUp,
        status: int,
        route: str,
        service: str,
        runs: int,
        refusals: int,
    ) -> None:
        """Logs why the request was given up; ``route`` may be empty."""
        shared = self._shared
        events.write_event(
            events.RequestGivenUp(
                self._request_id,
                given_up.reason.value,
                status,
                given_up.retry_after_s,
                runs,
                refusals,
                self._waited_ms,
                route,
                service,
                shared.services.table_version,
                shared.view.get_lease_left(clock.read_clock()),
                given_up.detail,
            )
        )
        shared.outcomes.count(route, given_up.reason.value)

    def write_ended(self, route: str, ending: bytebudget.Ending) -> None:
        """Logs that the answer was ended to free memory; ``route`` may be empty."""
        shared = self._shared
        events.write_event(
            events.AnswerEnded(
                self._request_id,
                route,
                self._server,
                self._waited_ms,
                ending.side.value,
                ending.held_bytes,
                round(ending.still_s, 3),
                ending.ended_before,
            )
        )
        shared.metrics.count_ended_answer(ending.side.value)
        if not self._is_answered:
            shared.outcomes.count(route, "ended_for_memory")

    def write_cancelled(self, route: str) -> None:
        """Logs that the caller disconnected; ``route`` may be empty."""
        events.write_event(
            events.RequestCancelled(
                self._request_id, route, self._server, self._waited_ms
            )
        )
        self._shared.outcomes.count_cancelled(route, self.first_part_at is not None)
