"""The catalogue of decisions on forwarded requests, as the log shows them.

A field means the same in every event. Each event is one line, whose message is
the event's name in words; ``lycheegauge trace`` joins them by request id.
"""

import dataclasses
import re

import loguru


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decision on one request.

    Attributes:
        request_id: The caller's id of the request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """The request goes to a backend server.

    Attributes:
        service: The service that the route and its weights chose.
        server: The backend server chosen.
        attempt: How many servers were sent it, this one included.
        usable: Servers that might have been chosen.
        open_estimate: Estimated share of the server's slots that is busy.
        news_age_s: Age of the news about other hosts' requests.
        table_version: Version of the route table that decided.
        lease_left_s: How long this host may still act on what it knows.
        left_ms: The caller's time that is left.
        resumed_after: Id of the last event passed on, if a stream is resumed.
    """

    service: str
    server: str
    attempt: int
    usable: int
    open_estimate: float
    news_age_s: float
    table_version: int
    lease_left_s: float
    left_ms: int
    resumed_after: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed(Event):
    """A server did not answer the request as a whole.

    Attributes:
        server: The server.
        was_run: Whether it may have run the request.
        detail: What was seen.
        left_out_s: How long the server is left out for it.
    """

    server: str
    was_run: bool
    detail: str
    left_out_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAnswered(Event):
    """An answer was passed on to its regular end.

    Attributes:
        server: The server whose answer it is.
        status: Its status.
        first_ms: From the request's arrival to the first part of the answer.
        total_ms: From the request's arrival to the answer's end.
        gap_ms: The longest pause between two parts of the answer.
        runs: Servers that may have run it.
    """

    server: str
    status: int
    first_ms: int
    total_ms: int
    gap_ms: int
    runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGivenUp(Event):
    """The request gets a final answer of this host, or its stream is cut.

    Attributes:
        reason: Why, one of ``work.RefusalReason``.
        status: The status sent; 0 for a stream that is cut.
        retry_after_s: When the caller may come back; negative if it was not told.
        runs: Servers that may have run it.
        refusals: Servers that said that they did not run it.
        waited_ms: From the request's arrival.
        service: The service chosen; empty before.
        table_version: Version of the route table that decided; 0 for none.
        lease_left_s: How long this host may still act on what it knows; -1 when
            that has run out.
        detail: What was seen.
    """

    reason: str
    status: int
    retry_after_s: float
    runs: int
    refusals: int
    waited_ms: int
    service: str
    table_version: int
    lease_left_s: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCancelled(Event):
    """The caller closed its connection before the answer's end.

    Attributes:
        server: The server that was at work; empty for none.
        waited_ms: From the request's arrival.
    """

    server: str
    waited_ms: int


ORDINARY = (RequestSent, RequestAnswered)
"""Events that go first when there are too many lines."""


def write_event(event: Event) -> None:
    """Writes one event to the log."""
    fields = {
        field.name: getattr(event, field.name) for field in dataclasses.fields(event)
    }
    if isinstance(event, ORDINARY):
        fields["usual"] = True
    loguru.logger.info(name_event(type(event)), **fields)


def name_event(kind: type[Event]) -> str:
    """Returns an event's name in words, such as ``request sent``."""
    return re.sub(r"(?<!^)(?=[A-Z])", " ", kind.__name__).lower()
