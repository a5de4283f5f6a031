"""Settings of all processes: a JSON file with comments, validated as one object."""

import collections.abc
import dataclasses
import ipaddress
import pathlib
import typing

import json5
import pydantic

from lycheegauge import errors

PORT_MAX = 65535
"""Highest port number. Port 0 lets the operating system choose a free port."""


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= PORT_MAX
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("must be an IP number and a port, such as 10.0.0.1:7100")
    return address


Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]


class Model(pydantic.BaseModel):
    """Base class of all settings: unknown keys are errors, values are immutable."""

    # Building a model takes time, and each process uses only a few of them.
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, defer_build=True)


class LogVoter(Model):
    """An initial voter: its peer address and the id stored on its disk."""

    host: Address
    disk_id: Name


class LogSettings(Model):
    """The replicated log on this host; only hosts with a disk store it.

    ``voters`` are the initial voters, the same on each host; they are used only
    until a membership change is committed. A host of ``standby_hosts`` replaces a
    voter that has not responded for 30 s.
    """

    data_folder: pathlib.Path
    voters: tuple[LogVoter, ...] = pydantic.Field(min_length=1, max_length=7)
    snapshot_entries: int = pydantic.Field(default=1000, ge=10, le=1_000_000)
    standby_hosts: tuple[Address, ...] = ()


class Limits(Model):
    """Limits on what callers may send and on what is buffered for them.

    ``held_bytes`` limits the bytes that a forwarding entry host holds for callers and
    servers together; 0 means no limit. ``connection_bytes`` is the share of each
    connection.
    """

    header_bytes: int = pydantic.Field(default=16_384, ge=1024, le=262_144)
    body_bytes: int = pydantic.Field(default=1_048_576, ge=1024, le=67_108_864)
    connections: int = pydantic.Field(default=2048, ge=1, le=65_536)
    buffered_bytes: int = pydantic.Field(default=262_144, ge=4096, le=16_777_216)
    held_bytes: int = pydantic.Field(default=0, ge=0, le=2**40)
    connection_bytes: int = pydantic.Field(default=262_144, ge=4096, le=16_777_216)
    idle_timeout_s: float = pydantic.Field(default=60.0, ge=1, le=3600)
    queued_requests: int = pydantic.Field(default=512, ge=1, le=65_536)


class RoutingSettings(Model):
    """How an entry host chooses backend servers and retries requests."""

    policy: str = "sampled_score"
    retry_fraction: float = pydantic.Field(default=0.1, ge=0, le=1)
    attempts: int = pydantic.Field(default=3, ge=1, le=10)
    deadline_s: float = pydantic.Field(default=30.0, gt=0, le=3600)


class EntrySettings(Model):
    """Settings of one entry host."""

    name: Name
    availability_zone: Name
    caller_address: Address
    operator_address: Address
    peer_address: Address
    log_hosts: tuple[Address, ...] = pydantic.Field(min_length=1)
    log: LogSettings | None = None
    answer_valid_s: float = pydantic.Field(default=10.0, gt=0, le=600)
    stop_timeout_s: float = pydantic.Field(default=120.0, gt=0, le=3600)
    limits: Limits = Limits()
    routing: RoutingSettings = RoutingSettings()
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class AdmissionSettings(Model):
    """Concurrency limits of a backend server and its time-to-first-token target."""

    cold_limit: int = pydantic.Field(default=1, ge=1, le=10_000)
    full_limit: int = pydantic.Field(default=16, ge=1, le=10_000)
    first_token_target_s: float = pydantic.Field(default=0.86, gt=0, le=60)


class AgentSettings(Model):
    """Settings of the agent in a slot of a backend server host."""

    name: Name
    availability_zone: Name
    peer_address: Address
    announce_address: Address
    entry_hosts: tuple[Address, ...] = pydantic.Field(min_length=1)
    admission: AdmissionSettings = AdmissionSettings()
    stop_timeout_s: float = pydantic.Field(default=120.0, gt=0, le=3600)
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class RosterSettings(Model):
    """How the hosts of a forwarding deployment exchange state.

    ``seed_hosts`` are the control addresses of up to three log hosts, whose peer
    listeners use the port of this host's own ``peer_address``. ``lease_s`` is how
    long a host may act on the state that the log's leader last confirmed to it. It
    must be less than the time within which a removed key must stop working.
    """

    seed_hosts: tuple[Address, ...] = pydantic.Field(min_length=1, max_length=9)
    lease_s: float = pydantic.Field(default=2.5, gt=0, le=60)
    pull_interval_s: float = pydantic.Field(default=0.3, gt=0, le=10)


class RepeatSettings(Model):
    """Budget for resending requests, over all entry hosts together."""

    ratio: float = pydantic.Field(default=0.2, ge=0, le=1)
    slack: float = pydantic.Field(default=20.0, ge=0, le=100_000)
    window_s: float = pydantic.Field(default=10.0, gt=0, le=600)


class StreamAdmissionSettings(Model):
    """Admission by the pass time of lock-step engines, and waiting at the host.

    ``from_servers`` is the number of servers of a service from which it is used; 0
    turns it off. ``queue_wait_max_s`` is the longest time that a request waits at the
    host, and ``queue_length`` the most requests that wait.
    """

    from_servers: int = pydantic.Field(default=0, ge=0, le=100_000)
    queue_wait_max_s: float = pydantic.Field(default=1.5, gt=0, le=60)
    queue_length: int = pydantic.Field(default=64, ge=1, le=65_536)


class ServerChoiceSettings(Model):
    """How an entry host that forwards requests chooses among servers.

    ``zone_tolerance`` is the fraction of slots by which a server in the host's own
    zone may be busier than the best elsewhere and is still chosen; ``null`` ignores
    zones. ``weigh_work`` compares servers by their expected remaining work instead of
    their requests, and leaves out those whose memory a request would overfill.
    ``directory_by_load`` leaves out overloaded entry hosts in answers to callers. All
    of it is used for services with at least ``from_servers`` servers.
    """

    zone_tolerance: float | None = pydantic.Field(default=None, ge=0, le=1)
    weigh_work: bool = False
    directory_by_load: bool = False
    from_servers: int = pydantic.Field(default=0, ge=0, le=100_000)


class EvidenceSettings(Model):
    """Findings about servers that the entry hosts share.

    ``from_servers`` is the number of servers in the roster, of all services, from
    which it is used; 0 turns it off.
    """

    from_servers: int = pydantic.Field(default=0, ge=0, le=100_000)


class HedgingSettings(Model):
    """Second copies of requests that may be repeated and whose answer is late.

    ``extra_fraction`` is the limit on second copies, as a fraction of the requests of
    a service, over all entry hosts together; 0 turns hedging off.
    """

    extra_fraction: float = pydantic.Field(default=0.0, ge=0, le=1)


class MapSettings(Model):
    """How the expert maps of large lock-step groups are switched.

    ``relayed_from_ranks`` is the group size from which calls to ranks go through
    other engines' agents, agents plan layers and orders answer with the engine's
    state; 0 turns it off. ``poll_interval_s`` is the interval at which the demand for
    experts is read, ``demand_half_life_s`` the time after which it has half weight.
    """

    relayed_from_ranks: int = pydantic.Field(default=0, ge=0, le=100_000)
    poll_interval_s: float = pydantic.Field(default=0.2, ge=0.02, le=10)
    demand_half_life_s: float = pydantic.Field(default=0.5, ge=0.05, le=60)


class GatewaySettings(Model):
    """Settings of an entry host that forwards requests unchanged.

    If ``directory_address`` is set, callers may ask there which entry hosts to
    connect to.
    """

    name: Name
    availability_zone: Name
    caller_address: Address
    readiness_address: Address
    directory_address: Address | None = None
    peer_address: Address
    metrics_address: Address | None = None
    dialect: str = "native"
    roster: RosterSettings
    answer_valid_s: float = pydantic.Field(default=2.0, gt=0, le=600)
    repeats: RepeatSettings = RepeatSettings()
    admission: StreamAdmissionSettings = StreamAdmissionSettings()
    server_choice: ServerChoiceSettings = ServerChoiceSettings()
    evidence: EvidenceSettings = EvidenceSettings()
    hedging: HedgingSettings = HedgingSettings()
    limits: Limits = Limits()
    stop_timeout_s: float = pydantic.Field(default=7.0, gt=0, le=3600)
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class ControlSettings(Model):
    """Settings of a log host of a forwarding deployment.

    With ``bootstrap`` the seed hosts form the initial membership; set it only when
    the whole system starts for the first time. ``tolerated_host_losses`` is how many
    log hosts may be lost at the same time, with their disks. The log grows to the
    voters that this needs as soon as enough log hosts are present.
    ``announce_interval_s`` is the interval at which backend servers announce
    themselves. With ``directory_by_load`` the log's leader leaves out overloaded entry
    hosts in its answers to callers.
    """

    name: Name
    availability_zone: Name
    control_address: Address
    directory_address: Address
    peer_address: Address
    metrics_address: Address | None = None
    data_folder: pathlib.Path
    bootstrap: bool = False
    tolerated_host_losses: int = pydantic.Field(default=1, ge=0, le=3)
    dialect: str = "native"
    roster: RosterSettings
    announce_interval_s: float = pydantic.Field(default=1.2, gt=0, le=60)
    maps: MapSettings = MapSettings()
    answer_valid_s: float = pydantic.Field(default=2.0, gt=0, le=600)
    snapshot_entries: int = pydantic.Field(default=200, ge=10, le=1_000_000)
    limits: Limits = Limits(body_bytes=8_388_608)
    stop_timeout_s: float = pydantic.Field(default=2.0, gt=0, le=3600)
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    directory_by_load: bool = False


class EngineAgentSettings(Model):
    """Settings of the agent beside a rank's engine.

    It listens on the engine's host, on the port that all peers use.
    """

    name: Name
    peer_address: Address
    engine_address: Address
    metrics_address: Address | None = None
    dialect: str = "native"
    limits: Limits = Limits()
    stop_timeout_s: float = pydantic.Field(default=1.0, gt=0, le=3600)
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class SettingsFile(Model):
    """One settings file: exactly one of its top-level keys is present."""

    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    gateway: GatewaySettings | None = None
    control: ControlSettings | None = None
    engineagent: EngineAgentSettings | None = None

    @pydantic.model_validator(mode="after")
    def _check_one_role(self) -> "SettingsFile":
        roles = [getattr(self, name) for name in type(self).model_fields]
        if sum(role is not None for role in roles) != 1:
            names = ", ".join(type(self).model_fields)
            raise ValueError(f"needs exactly one of the keys {names}")
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSource:
    """The file that one role's settings are read from, at start and on reload."""

    path: pathlib.Path
    role: str

    def read(self) -> typing.Any:
        """Reads the role's settings.

        Raises:
            errors.SettingsError: The file can't be read, a key is invalid, or the
                role's key is missing.
        """
        content = _load_file(self.path)
        if isinstance(content, dict) and list(content) == [self.role]:
            annotation = SettingsFile.model_fields[self.role].annotation
            try:
                # Validates with the role's own model, to avoid building the others.
                return next(_list_models(annotation)).model_validate(content[self.role])
            except pydantic.ValidationError:
                # The same error is raised below, with the full path of the key.
                pass
        role_settings = getattr(read_settings(self.path), self.role)
        if role_settings is None:
            message = f"{self.path}: has no key '{self.role}'"
            raise errors.SettingsError(message, "read settings")
        return role_settings


def read_settings(path: pathlib.Path) -> SettingsFile:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file can't be read or a key is invalid; the
            message names the file, the key and what is allowed.
    """
    try:
        return SettingsFile.model_validate(_load_file(path))
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            f"{path}: {describe_problems(error, SettingsFile)}", "check settings"
        ) from error


def _load_file(path: pathlib.Path) -> typing.Any:
    try:
        return json5.loads(path.read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except RecursionError as error:
        message = f"{path}: is nested too deeply"
        raise errors.SettingsError(message, "read settings") from error
    except (OSError, UnicodeError, ValueError) as error:
        message = f"{path}: can't be read as JSON with comments: {error}"
        raise errors.SettingsError(message, "read settings") from error


def describe_problems(
    error: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> str:
    """Describes each validation error of ``model`` by its key and what is allowed."""
    problems = []
    for problem in error.errors():
        location = problem["loc"]
        key = ".".join(str(part) for part in location) or "(whole file)"
        message = problem["msg"]
        if problem["type"] == "extra_forbidden":
            allowed = ", ".join(_find_model(model, location[:-1]).model_fields)
            message = f"unknown key; allowed are {allowed}"
        problems.append(f"{key}: {message}")
    return "; ".join(problems)


def _find_model(
    model: type[pydantic.BaseModel], location: tuple[int | str, ...]
) -> type[pydantic.BaseModel]:
    for part in location:
        if isinstance(part, str):
            model = next(_list_models(model.model_fields[part].annotation))
    return model


def _list_models(
    annotation: typing.Any,
) -> collections.abc.Iterator[type[pydantic.BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        yield annotation
    for inner in typing.get_args(annotation):
        yield from _list_models(inner)
