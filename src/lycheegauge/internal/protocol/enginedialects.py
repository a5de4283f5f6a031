"""The words in which an engine reports its group and takes orders on its map."""

import dataclasses
import json
import typing

import pydantic
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import maporders, nativedialect

NONE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """One call to an engine; a call without a body is a GET."""

    target: str
    body: bytes = b""


class EngineDialect(typing.Protocol):
    """What an agent asks an engine, and what it reads of the answers."""

    def ask_report(self) -> EngineCall:
        """Asks for the engine's state."""

    def ask_counts(self) -> EngineCall:
        """Asks how often each expert was chosen."""

    def ask_experts(self) -> EngineCall:
        """Asks which experts the rank holds."""

    def write_order(self, order: maporders.MapOrder) -> EngineCall:
        """Writes an order."""

    def read_report(
        self, report: bytes, counts: bytes, experts: bytes
    ) -> result.Result[maporders.EngineReport, errors.BorderError]:
        """Reads the state, and the rest unless it is empty."""


_dialects: dict[str, EngineDialect] = {}


def register_dialect(
    name: str,
) -> typing.Callable[[type[EngineDialect]], type[EngineDialect]]:
    """Registers a dialect under the name that settings choose it by."""

    def register(dialect_class: type[EngineDialect]) -> type[EngineDialect]:
        _dialects[name] = dialect_class()
        return dialect_class

    return register


def get_dialect(name: str) -> EngineDialect:
    """Returns a registered dialect.

    Raises:
        errors.SettingsError: None has that name.
    """
    if name not in _dialects:
        known = ", ".join(sorted(_dialects))
        message = f"unknown engine dialect {name!r}; registered are {known}"
        raise errors.SettingsError(message, "choose engine dialect")
    return _dialects[name]


_COUNTS = pydantic.TypeAdapter(tuple[int, ...])
_EXPERTS = pydantic.TypeAdapter(tuple[tuple[int, ...], ...])


class ReportModel(nativedialect.Model):
    """An engine's state in the product's own words."""

    server: str
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    is_busy: bool = False
    pace: float = 1.0
    step: int
    map_version: int = 0
    prepared_version: int = NONE
    armed_version: int = NONE
    armed_step: int = NONE
    held_step: int = NONE


@register_dialect("native")
class NativeEngineDialect:
    """The product's own words."""

    def ask_report(self) -> EngineCall:
        """Asks for the engine's state."""
        return EngineCall("/v1/rank")

    def ask_counts(self) -> EngineCall:
        """Asks how often each expert was chosen."""
        return EngineCall("/v1/rank/counts")

    def ask_experts(self) -> EngineCall:
        """Asks which experts the rank holds."""
        return EngineCall("/v1/rank/experts")

    def write_order(self, order: maporders.MapOrder) -> EngineCall:
        """Writes an order."""
        document = {
            "kind": order.kind.value,
            "epoch": order.epoch,
            "fence": order.fence,
            "version": order.version,
            "step": order.step,
            "layers": [
                [rank.experts for rank in layer.ranks] for layer in order.layers
            ],
        }
        return EngineCall("/v1/rank/orders", json.dumps(document).encode())

    def read_report(
        self, report: bytes, counts: bytes, experts: bytes
    ) -> result.Result[maporders.EngineReport, errors.BorderError]:
        """Reads the state and the rest."""
        try:
            model = ReportModel.model_validate_json(report)
            chosen = _COUNTS.validate_json(counts or b"[]")
            held = _EXPERTS.validate_json(experts or b"[]")
        except pydantic.ValidationError as error:
            return nativedialect.describe(error, "read engine report")
        return result.Success(
            maporders.EngineReport(
                **model.model_dump(),
                counts=chosen,
                experts=tuple(maporders.RankExperts(layer) for layer in held),
            )
        )
