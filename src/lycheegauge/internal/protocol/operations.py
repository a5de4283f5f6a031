"""JSON documents that operators send and receive."""

import dataclasses
import typing

import pydantic
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import calls, intentmodels, intents

REVISION_MAX = 2**63 - 1
"""Highest revision that a message can contain."""


class ConfirmBody(calls.Model):
    """Confirms a plan; a repeated ``request_id`` returns the first outcome."""

    request_id: calls.Identifier
    plan: intents.Plan

    @pydantic.field_validator("plan")
    @classmethod
    def _check_plan(cls, plan: intents.Plan) -> intents.Plan:
        # The operator may have edited the plan. A number that does not fit into a
        # message would otherwise fail only when the plan is replicated.
        if not 0 <= plan.base_revision <= REVISION_MAX:
            raise ValueError(f"base_revision: must be from 0 to {REVISION_MAX}")
        intent = intentmodels.parse_intent(encode_document(plan.intent).decode())
        if isinstance(intent, result.Failure):
            raise ValueError(f"intent: {intent.failure().message}")
        return plan


class ReplaceVoterBody(calls.Model):
    """Replaces a voter of the log with another host that has a disk."""

    request_id: calls.Identifier
    old_host: calls.Identifier
    new_host: calls.Identifier


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one process, as known to the log's leader.

    ``revision`` is the configuration that it applied last. ``detail`` says that it
    is an entry host, or names the service of a backend server.
    """

    name: str
    availability_zone: str
    detail: str
    revision: int
    leaving: bool = False
    out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StatusDocument:
    """The status of the whole system, as known to the log's leader.

    ``missing`` lists the processes that have not yet applied the revision.
    """

    revision: int
    in_force: bool
    missing: tuple[str, ...]
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    availability_zones_out: tuple[str, ...]
    backend_servers_out: tuple[str, ...]
    entry_hosts: tuple[MemberStatus, ...]
    backend_servers: tuple[MemberStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainedStep:
    """A step of a request; ``at_s`` is in seconds from the request's start."""

    at_s: float
    step: str
    peer: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The steps of a request, which explain how it was routed."""

    request_id: str
    organisation: str
    service: str
    steps: tuple[ExplainedStep, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDocument:
    """A failed operator call; ``error`` is the name of a class in ``errors``."""

    error: str
    message: str
    step: str = ""
    peer: str = ""
    plan: intents.Plan | None = None


Document = typing.TypeVar("Document")


def encode_document(document: typing.Any) -> bytes:
    """Encodes a data class as JSON."""
    adapter: pydantic.TypeAdapter[typing.Any] = pydantic.TypeAdapter(type(document))
    return adapter.dump_json(document, indent=2)


def parse_document(
    kind: type[Document], text: str | bytes
) -> result.Result[Document, errors.BorderError]:
    """Parses and validates JSON sent by an operator or a peer."""
    adapter: pydantic.TypeAdapter[Document] = pydantic.TypeAdapter(kind)
    try:
        return result.Success(adapter.validate_json(text))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        key = ".".join(str(part) for part in problem["loc"]) or "(whole body)"
        message = f"{key}: {problem['msg']}"
        return result.Failure(errors.BorderError(message, "read body"))


def describe_error(
    error: errors.LycheegaugeError, plan: intents.Plan | None = None
) -> ErrorDocument:
    """Builds the document that reports an error to an operator."""
    name = type(error).__name__
    return ErrorDocument(name, error.message, error.step, error.peer, plan)
