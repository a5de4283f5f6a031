"""The native dialect for route tables, announcements and forwarded calls."""

import json
import typing
import urllib.parse

import pydantic
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import (
    addresses,
    bounds,
    controlcalls,
    roster,
    routetables,
)

HEADERS = controlcalls.HeaderNames(
    request_id="Lycheegauge-Request-Id",
    time_left_ms="Lycheegauge-Deadline-Ms",
    organisation="Lycheegauge-Organisation",
    expected_server="Lycheegauge-Expected-Server",
    priority="Lycheegauge-Priority",
    not_run="Lycheegauge-Not-Run",
    last_event_id="Last-Event-Id",
    prompt_parts="Lycheegauge-Prompt-Parts",
    server_limit="Lycheegauge-Server-Limit",
    server_leaving="Lycheegauge-Server-Leaving",
    token_counts="Lycheegauge-Token-Counts",
    length_hint="Lycheegauge-Length-Hint",
    server_load="Lycheegauge-Server-Load",
)

AUTHORIZATION_SCHEME = "Bearer "

PART_ID_MAX_LENGTH = 64
PROMPT_PARTS_MAX = 32
"""Parts of a prompt that are read; callers choose how many they send."""


class Model(pydantic.BaseModel):
    """Base model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class WeightedServiceModel(Model):
    """A service and its share of a route's requests."""

    service: str
    weight: bounds.Weight = 1.0


class RouteModel(Model):
    """A route; times are in seconds."""

    name: str
    host: str
    path_prefix: str = pydantic.Field(pattern=r"^/(.*/)?$")
    services: tuple[WeightedServiceModel, ...] = pydantic.Field(min_length=1)
    repetition: routetables.Repetition
    timeout_s: bounds.DurationS = pydantic.Field(gt=0)
    target_first_s: bounds.DurationS = pydantic.Field(default=1.0, gt=0)
    target_gap_s: bounds.DurationS = pydantic.Field(default=1.0, gt=0)
    priority: bounds.Count = 0
    attempts_max: bounds.Count = pydantic.Field(default=2, ge=1)
    open_to_all: bool = False


class ExpertLayoutModel(Model):
    """The experts of a model whose groups run in lockstep."""

    layers: bounds.Count = pydantic.Field(ge=1)
    experts: bounds.Count = pydantic.Field(ge=1)
    slots: bounds.Count = pydantic.Field(ge=1)
    copies: bounds.Count = pydantic.Field(default=1, ge=1)
    report_lag_s: bounds.DurationS = pydantic.Field(default=0.0, le=10)
    copy_s: bounds.DurationS = 0.0

    def decode(self) -> routetables.ExpertLayout:
        """Converts the layout to its data class."""
        return routetables.ExpertLayout(**self.model_dump())


class EngineProfileModel(Model):
    """What the operator states about a service's model engines."""

    step_s: bounds.DurationS = 0.0
    stream_step_s: bounds.DurationS = 0.0
    context_s: bounds.DurationS = 0.0
    prompt_tokens_per_s: bounds.Weight = 0.0
    chunk_tokens: bounds.Count = 0
    steps_per_event: bounds.Count = 0
    memory_tokens: bounds.TokenCount = 0
    mean_prompt_tokens: bounds.Weight = 0.0
    mean_answer_tokens: bounds.Weight = 0.0

    def decode(self) -> routetables.EngineProfile:
        """Converts the profile to its data class."""
        return routetables.EngineProfile(**self.model_dump())


class ServiceModel(Model):
    """A service in a route table."""

    name: str
    cold_rate: bounds.Rate = 0.0
    slots: bounds.Count = 0
    experts: ExpertLayoutModel | None = None
    connections_max: bounds.Count = 0
    engine: EngineProfileModel | None = None

    def decode(self) -> routetables.ServiceDeclaration:
        """Converts the service to its data class."""
        return routetables.ServiceDeclaration(
            self.name,
            self.cold_rate,
            self.slots,
            experts=self.experts.decode() if self.experts else None,
            connections_max=self.connections_max,
            engine=self.engine.decode() if self.engine else None,
        )


class KeyHolderModel(Model):
    """An organisation and its API keys."""

    organisation: str
    keys: tuple[str, ...] = ()
    priority: bounds.Count | None = None


class RouteTableModel(Model):
    """A complete route table."""

    version: bounds.Identifier = pydantic.Field(ge=1)
    routes: tuple[RouteModel, ...]
    services: tuple[ServiceModel, ...]
    key_holders: tuple[KeyHolderModel, ...] = ()
    needs_keys: bool = False


class AnnouncementModel(Model):
    """A backend server's announcement."""

    service: str
    address: addresses.ServerAddress
    availability_zone: str
    born_ms: bounds.Identifier = 0
    sequence: bounds.Identifier
    slots: bounds.Count = 0
    cold_s: bounds.DurationS = 0.0
    leaving: bool = False


class DepartureModel(Model):
    """The incarnation of a backend server that leaves."""

    born_ms: bounds.Identifier = 0


def find_table_error(table: routetables.RouteTable) -> str:
    """Returns why a route table is inconsistent, or an empty string."""
    services = {service.name for service in table.services}
    match_keys: set[tuple[str, str]] = set()
    for route in table.routes:
        match_key = (route.host.lower(), route.path_prefix)
        if match_key in match_keys:
            return f"two routes have host {route.host} and prefix {route.path_prefix}"
        match_keys.add(match_key)
        unknown = {item.service for item in route.services} - services
        if unknown:
            return f"route {route.name} refers to the unknown service {min(unknown)}"
        if sum(item.weight for item in route.services) <= 0:
            return f"the weights of route {route.name} must add up to more than 0"
        if route.timeout_s <= 0:
            return f"the timeout of route {route.name} must be more than 0"
    keys = [key for holder in table.key_holders for key in holder.keys]
    if len(set(keys)) < len(keys):
        return "an API key is listed twice; it must belong to one organisation"
    return ""


def validate_table(
    table: routetables.RouteTable,
) -> result.Result[routetables.RouteTable, errors.BorderError]:
    """Fails if a route table is inconsistent."""
    reason = find_table_error(table)
    if reason:
        return result.Failure(errors.BorderError(reason, "read route table"))
    return result.Success(table)


@controlcalls.register_dialect("native")
class NativeDialect:
    """The native dialect."""

    headers = HEADERS

    def parse_call(self, method: str, target: str) -> controlcalls.Call | None:
        """Parses the request line of a call to the system itself."""
        path, _, query = target.partition("?")
        match method, path.strip("/").split("/"):
            case "PUT", ["v1", "routes"]:
                return controlcalls.PutTable()
            case "GET", ["v1", "routes"]:
                return controlcalls.ReadTable()
            case (("PUT" | "DELETE"), ["v1", "zones-out", zone]):
                return controlcalls.SetZone(zone, method == "PUT")
            case "PUT", ["v1", "backend-servers", name]:
                return controlcalls.Announce(name)
            case "DELETE", ["v1", "backend-servers", name]:
                return controlcalls.Leave(name)
            case "GET", ["v1", "entries"]:
                asked = urllib.parse.parse_qs(query)
                return controlcalls.ListEntryHosts(asked.get("zone", [""])[0])
            case "GET", ["v1", "ready"]:
                return controlcalls.CheckReadiness()
            case "GET", ["v1", "crashing-parts"]:
                return controlcalls.ListCrashingParts()
            case "DELETE", ["v1", "crashing-parts", service, part]:
                return controlcalls.ClearCrashingPart(f"{service}/{part}")
        return None

    def parse_table(
        self, body: bytes
    ) -> result.Result[routetables.RouteTable, errors.BorderError]:
        """Parses a route table."""
        try:
            model = RouteTableModel.model_validate_json(body)
        except pydantic.ValidationError as error:
            return make_failure(error, "read route table")
        return validate_table(
            routetables.RouteTable(
                model.version,
                tuple(_make_route(route) for route in model.routes),
                tuple(service.decode() for service in model.services),
                tuple(
                    routetables.KeyHolder(**holder.model_dump())
                    for holder in model.key_holders
                ),
                model.needs_keys,
            )
        )

    def parse_announcement(
        self, server: str, body: bytes
    ) -> result.Result[roster.ServerListing, errors.BorderError]:
        """Parses a backend server's announcement."""
        try:
            model = AnnouncementModel.model_validate_json(body)
        except pydantic.ValidationError as error:
            return make_failure(error, "read announcement")
        return validate_listing(roster.ServerListing(name=server, **model.model_dump()))

    def parse_departure(self, server: str, body: bytes) -> roster.Departure:
        """Parses which incarnation leaves; ``born_ms`` is 0 if not given."""
        try:
            model = DepartureModel.model_validate_json(body or b"{}")
        except pydantic.ValidationError:
            model = DepartureModel()
        return roster.Departure(server, model.born_ms)

    def parse_api_key(self, authorization: str) -> str:
        """Returns the key in an ``Authorization`` header; empty if there is none."""
        if authorization.startswith(AUTHORIZATION_SCHEME):
            return authorization.removeprefix(AUTHORIZATION_SCHEME).strip()
        return ""

    def parse_prompt_parts(self, header: str) -> tuple[str, ...]:
        """Returns the ids of the parts that a prompt shares with other requests."""
        return parse_part_list(header)

    def parse_request_size(
        self, token_counts: str, length_hint: str
    ) -> controlcalls.RequestSize | None:
        """Returns the stated size of a generation; ``None`` if none is stated."""
        return parse_token_counts(token_counts, length_hint)

    def encode_entry_addresses(
        self, addresses: tuple[str, ...], valid_s: float
    ) -> bytes:
        """Encodes the addresses that callers may use."""
        return json.dumps({"addresses": addresses, "valid_for_s": valid_s}).encode()


def _make_route(model: RouteModel) -> routetables.Route:
    values: dict[str, typing.Any] = {
        name: getattr(model, name) for name in RouteModel.model_fields
    }
    values["services"] = tuple(
        routetables.WeightedService(item.service, item.weight)
        for item in model.services
    )
    return routetables.Route(**values)


def validate_listing(
    listing: roster.ServerListing,
) -> result.Result[roster.ServerListing, errors.BorderError]:
    """Fails if the name of an announced server can't be sent in a header."""
    if addresses.is_valid_name(listing.name):
        return result.Success(listing)
    message = "the server's name must be 1 to 256 visible Latin-1 characters"
    return result.Failure(errors.BorderError(message, "read announcement"))


def parse_part_list(header: str) -> tuple[str, ...]:
    """Returns the ids in a list of ``ID:TOKENS`` entries without the last one.

    The last part belongs to the request itself.
    """
    entries = header.split(",", PROMPT_PARTS_MAX)
    ids = (entry.partition(":")[0].strip() for entry in entries[:-1])
    return tuple(item for item in ids if 0 < len(item) <= PART_ID_MAX_LENGTH)


def parse_token_counts(
    token_counts: str, length_hint: str
) -> controlcalls.RequestSize | None:
    """Reads a generation's size from ``PROMPT,ANSWER`` and the caller's estimate.

    Args:
        token_counts: The tokens of the prompt and the most tokens of the answer.
        length_hint: The caller's estimate of the answer's tokens, or empty.

    Returns:
        The size; ``None`` unless both counts are whole numbers.
    """
    prompt_text, _, answer_text = token_counts.partition(",")
    prompt_tokens = bounds.parse_count(prompt_text.strip())
    answer_tokens_max = bounds.parse_count(answer_text.strip())
    if prompt_tokens is None or answer_tokens_max is None:
        return None
    hint = bounds.parse_count(length_hint.strip())
    return controlcalls.RequestSize(prompt_tokens, answer_tokens_max, hint)


def make_failure(
    error: pydantic.ValidationError, step: str
) -> result.Result[typing.Any, errors.BorderError]:
    """Converts a validation error to a failure that names its first problem."""
    problem = error.errors()[0]
    location = ".".join(str(part) for part in problem["loc"])
    return result.Failure(errors.BorderError(f"{location}: {problem['msg']}", step))
