"""Calls to the system's own addresses by operators, backend servers and callers."""

import dataclasses
import typing

from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import roster, routetables


@dataclasses.dataclass(frozen=True, slots=True)
class PutTable:
    """Activates the route table in the body."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Returns the newest route table."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetZone:
    """Takes an availability zone out of service or returns it to service."""

    availability_zone: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """A backend server announces itself."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """A backend server announces that it shuts down."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListEntryHosts:
    """A caller asks which entry hosts it should use."""

    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Asks whether a host accepts callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListCrashingParts:
    """Returns the parts of prompts that are suspected to crash servers, or refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClearCrashingPart:
    """Clears a part of prompts of all crashes."""

    part: str


Call: typing.TypeAlias = (
    PutTable
    | ReadTable
    | SetZone
    | Announce
    | Leave
    | ListEntryHosts
    | CheckReadiness
    | ListCrashingParts
    | ClearCrashingPart
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """The names of the headers that request forwarding reads and sets.

    Attributes:
        request_id: Identifies a request; backend servers echo it in their answer.
        time_left_ms: How long the caller will still wait, in ms.
        organisation: The organisation that sent the request.
        expected_server: The only backend server that may run the request.
        priority: The priority at the backend server, 0 to 9; 0 goes first.
        not_run: Set on an answer to state that the request was not run.
        last_event_id: The id of the last event that the caller received.
        prompt_parts: The parts of the request's prompt.
        server_limit: In an answer, the requests per second that its server takes from
            all hosts together.
        server_leaving: In an answer, whether its server leaves: ``1``.
        token_counts: The tokens of a generation's prompt, and the most of its answer.
        length_hint: The caller's estimate of the answer's tokens.
        server_load: In an answer, the running and the waiting requests of its server
            and its slots: ``RUNNING,WAITING,SLOTS``.
    """

    request_id: str
    time_left_ms: str
    organisation: str
    expected_server: str
    priority: str
    not_run: str
    last_event_id: str
    prompt_parts: str
    server_limit: str
    server_leaving: str
    token_counts: str = ""
    length_hint: str = ""
    retry_after: str = "Retry-After"
    server_load: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """The size of a generation as its caller states it, in tokens.

    Attributes:
        prompt_tokens: The length of the prompt.
        answer_tokens_max: The most tokens of the answer.
        answer_tokens_hint: The caller's estimate, accurate at the median only;
            ``None`` if there is none.
    """

    prompt_tokens: int
    answer_tokens_max: int
    answer_tokens_hint: int | None = None


class Dialect(typing.Protocol):
    """An external HTTP interface: its paths, headers and bodies.

    The native dialect is built in; an adapter can register another. All methods
    are pure.
    """

    headers: HeaderNames

    def parse_call(self, method: str, target: str) -> Call | None:
        """Parses the request line of a call to the system itself.

        Returns ``None`` if it is not such a call.
        """

    def parse_table(
        self, body: bytes
    ) -> result.Result[routetables.RouteTable, errors.BorderError]:
        """Parses a route table; the failure states why it is invalid."""

    def parse_announcement(
        self, server: str, body: bytes
    ) -> result.Result[roster.ServerListing, errors.BorderError]:
        """Parses a backend server's announcement."""

    def parse_departure(self, server: str, body: bytes) -> roster.Departure:
        """Parses which incarnation leaves; ``born_ms`` is 0 if not given."""

    def parse_api_key(self, authorization: str) -> str:
        """Returns the key in an ``Authorization`` header; empty if there is none."""

    def parse_prompt_parts(self, header: str) -> tuple[str, ...]:
        """Returns the ids of the parts that a prompt shares with other requests."""

    def parse_request_size(
        self, token_counts: str, length_hint: str
    ) -> RequestSize | None:
        """Returns the stated size of a generation; ``None`` if none is stated."""

    def encode_entry_addresses(
        self, addresses: tuple[str, ...], valid_s: float
    ) -> bytes:
        """Encodes the answer to ``ListEntryHosts``."""


_dialects: dict[str, Dialect] = {}


def register_dialect(
    name: str,
) -> typing.Callable[[type[Dialect]], type[Dialect]]:
    """Registers a dialect under the name by which settings select it."""

    def register(dialect_class: type[Dialect]) -> type[Dialect]:
        _dialects[name] = dialect_class()
        return dialect_class

    return register


def get_dialect(name: str) -> Dialect:
    """Returns a registered dialect.

    Raises:
        errors.SettingsError: No dialect has this name.
    """
    if name not in _dialects:
        known = ", ".join(sorted(_dialects))
        message = f"unknown dialect {name!r}; registered dialects: {known}"
        raise errors.SettingsError(message, "choose dialect")
    return _dialects[name]
