"""What operators, backend servers and callers ask of the system's own addresses."""

import dataclasses
import typing

from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import roster, routetables


@dataclasses.dataclass(frozen=True, slots=True)
class PutTable:
    """Puts the route table of the body into force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Reads the newest route table."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetZone:
    """Takes an availability zone out of service, or back."""

    availability_zone: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """A backend server tells that it is there."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """A backend server leaves."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListEntries:
    """A caller asks which entry hosts to use."""

    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReady:
    """Asks whether a host takes callers."""


Call: typing.TypeAlias = (
    PutTable | ReadTable | SetZone | Announce | Leave | ListEntries | CheckReady
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """The names of the headers that the forwarding of requests reads and sets.

    Attributes:
        request_id: Names a request; backend servers repeat it in their answer.
        time_left_ms: How long the caller waits, in ms.
        organisation: Tells a backend server whose request it is.
        expected_server: The only backend server that may run the request.
        priority: The rank at the backend server, 0 to 9, 0 first.
        not_run: Set on an answer that says that the request was not run.
        resume_after: The id of the last event that the caller has.
    """

    request_id: str
    time_left_ms: str
    organisation: str
    expected_server: str
    priority: str
    not_run: str
    resume_after: str


class Dialect(typing.Protocol):
    """The words of one border: paths, headers and bodies.

    The product has its own; an adapter brings another. All methods are pure.
    """

    headers: HeaderNames

    def read_call(self, method: str, target: str) -> Call | None:
        """Reads the start line of a call to the system itself."""

    def read_table(
        self, body: bytes
    ) -> result.Result[routetables.RouteTable, errors.BorderError]:
        """Reads a route table; an invalid one gives the reason."""

    def read_announcement(
        self, server: str, body: bytes
    ) -> result.Result[roster.ServerListing, errors.BorderError]:
        """Reads a backend server's announcement."""

    def read_departure(self, server: str, body: bytes) -> roster.Departure:
        """Reads which incarnation leaves; ``born_ms`` 0 when it isn't told."""

    def read_key(self, authorization: str) -> str:
        """Reads the key from an ``Authorization`` header; empty if there is none."""

    def write_entries(self, addresses: tuple[str, ...], valid_s: float) -> bytes:
        """Writes the answer to ``ListEntries``."""


_dialects: dict[str, Dialect] = {}


def register_dialect(
    name: str,
) -> typing.Callable[[type[Dialect]], type[Dialect]]:
    """Registers a dialect under the name that settings choose it by."""

    def register(dialect_class: type[Dialect]) -> type[Dialect]:
        _dialects[name] = dialect_class()
        return dialect_class

    return register


def get_dialect(name: str) -> Dialect:
    """Returns a registered dialect.

    Raises:
        errors.SettingsError: None has that name.
    """
    if name not in _dialects:
        known = ", ".join(sorted(_dialects))
        message = f"unknown dialect {name!r}; registered are {known}"
        raise errors.SettingsError(message, "choose dialect")
    return _dialects[name]
