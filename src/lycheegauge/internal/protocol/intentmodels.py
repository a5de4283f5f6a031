"""Models that validate operators' intents and convert them to data classes."""

import collections.abc
import json
import typing

import json5
import pydantic
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import intents

MAX_INTENT_CHARACTERS = 2 * 1024 * 1024
MAX_COMMENTED_INTENT_CHARACTERS = 32 * 1024

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
PositiveCount = typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]


class StrictModel(pydantic.BaseModel):
    """Base model that rejects unknown keys and does not convert types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class ServiceModel(StrictModel):
    """A service in an operator's intent."""

    name: Name
    kind: typing.Literal["model", "plain"]
    needed_capacity: Count = 0


class ModelGroupModel(StrictModel):
    """A model group in an operator's intent."""

    name: Name
    service: Name
    ranks: typing.Annotated[int, pydantic.Field(ge=1, le=1024)]
    layers: typing.Annotated[int, pydantic.Field(ge=1, le=1024)]
    experts: typing.Annotated[int, pydantic.Field(ge=1, le=4096)]
    replica_slots: PositiveCount


class OrganisationModel(StrictModel):
    """An organisation in an operator's intent."""

    name: Name
    weight: typing.Annotated[float, pydantic.Field(gt=0, le=1_000_000)] = 1.0
    rate_limit: typing.Annotated[float, pydantic.Field(ge=0, le=1_000_000)] = 0.0
    concurrency_limit: Count = 0


class IntentModel(StrictModel):
    """A complete intent as an operator sends it."""

    services: typing.Annotated[
        tuple[ServiceModel, ...], pydantic.Field(max_length=256)
    ] = ()
    model_groups: typing.Annotated[
        tuple[ModelGroupModel, ...], pydantic.Field(max_length=256)
    ] = ()
    organisations: typing.Annotated[
        tuple[OrganisationModel, ...], pydantic.Field(max_length=10_000)
    ] = ()
    availability_zones_out: typing.Annotated[
        tuple[Name, ...], pydantic.Field(max_length=64)
    ] = ()
    backend_servers_out: typing.Annotated[
        tuple[Name, ...], pydantic.Field(max_length=2_000)
    ] = ()


def parse_intent(text: str) -> result.Result[intents.Intent, errors.BorderError]:
    """Parses and validates an intent written in JSON with comments.

    The failure names the key, the problem and the allowed values.
    """
    try:
        content = _parse(text)
    except (ValueError, RecursionError) as error:
        return _fail(f"the intent is no JSON with comments: {_shorten(error)}")
    if not isinstance(content, dict):
        return _fail("the intent must be an object with the keys " + _list_keys())
    try:
        # Strict validation of Python values requires tuples, which JSON lacks.
        model = IntentModel.model_validate_json(json.dumps(content))
    except pydantic.ValidationError as error:
        return _fail("; ".join(_describe(detail) for detail in error.errors()[:5]))
    except (ValueError, RecursionError) as error:
        return _fail(f"the intent is no JSON with comments: {_shorten(error)}")
    duplicates = list(_find_duplicates(model))
    if duplicates:
        return _fail("; ".join(duplicates[:5]))
    return result.Success(_convert(model))


def _parse(text: str) -> typing.Any:
    if len(text) > MAX_INTENT_CHARACTERS:
        raise ValueError(f"it is longer than {MAX_INTENT_CHARACTERS} characters")
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError:
        # The parser of JSON with comments is pure Python and takes seconds for
        # a megabyte, which would block the entry host for that time.
        if len(text) > MAX_COMMENTED_INTENT_CHARACTERS:
            raise ValueError(
                f"with comments it may have {MAX_COMMENTED_INTENT_CHARACTERS} "
                "characters; send a longer one as JSON without comments"
            ) from None
        return json5.loads(text, allow_duplicate_keys=False)


def _reject_duplicate_keys(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    content = dict(pairs)
    if len(content) < len(pairs):
        raise ValueError("a key stands twice in one object")
    return content


def _fail(message: str) -> result.Result[intents.Intent, errors.BorderError]:
    return result.Failure(errors.BorderError(message, "read intent"))


def _shorten(error: BaseException) -> str:
    return str(error)[:200] or type(error).__name__


def _list_keys(model: type[pydantic.BaseModel] = IntentModel) -> str:
    return ", ".join(model.model_fields)


_MODELS_BY_KEY: dict[str, type[pydantic.BaseModel]] = {
    "services": ServiceModel,
    "model_groups": ModelGroupModel,
    "organisations": OrganisationModel,
}


def _describe(detail: typing.Any) -> str:
    location = [str(part) for part in detail["loc"]]
    where = ".".join(location)[:200]
    if detail["type"] != "extra_forbidden":
        return f"{where}: {detail['msg']}"
    model = IntentModel if len(location) == 1 else _MODELS_BY_KEY[location[0]]
    return f"{where}: unknown key; allowed are {_list_keys(model)}"


def _find_duplicates(model: IntentModel) -> collections.abc.Iterator[str]:
    names_by_key = {
        "services": [service.name for service in model.services],
        "model_groups": [group.name for group in model.model_groups],
        "organisations": [item.name for item in model.organisations],
        "availability_zones_out": list(model.availability_zones_out),
        "backend_servers_out": list(model.backend_servers_out),
    }
    for key, names in names_by_key.items():
        seen: set[str] = set()
        for name in names:
            if name in seen:
                yield f"{key}: {name} stands twice; each name may stand once"
            seen.add(name)


def _convert(model: IntentModel) -> intents.Intent:
    return intents.Intent(
        tuple(
            intents.Service(
                item.name, intents.ServiceKind(item.kind), item.needed_capacity
            )
            for item in model.services
        ),
        tuple(intents.ModelGroup(**dict(item)) for item in model.model_groups),
        tuple(intents.Organisation(**dict(item)) for item in model.organisations),
        model.availability_zones_out,
        model.backend_servers_out,
    )
